# Functions shared by the scripts of this directory: start and stop stand-ins and entry hosts.
# Processes are stopped only by the process id with which they were started.

root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
work="$(mktemp -d)"
pids=()

build_missing() {
  if [ ! -f "$root/server/target/server-0.1.0-all.jar" ] ||
     [ ! -f "$root/standins/target/standins-0.1.0-all.jar" ] ||
     [ ! -f "$root/bench/target/bench-0.1.0-all.jar" ]; then
    echo "building (once) ..."
    (cd "$root" && mvn -B -q -ntp -DskipTests package) || return 1
  fi
}

# require_free PORT...: exits the script if one of the loopback ports is in use.
require_free() {
  local port
  for port in "$@"; do
    if (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null; then
      echo "loopback port $port is in use; stop the process that listens on it" >&2
      exit 1
    fi
  done
}

# start NAME COMMAND...: runs a command in the background with its output in $work/NAME.log.
start() {
  local name="$1"
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
  last_pid=$!
}

standin() {
  local name="$1"
  shift
  start "$name" java -Xmx512m -jar "$root/standins/target/standins-0.1.0-all.jar" "$@"
}

# wait_http URL: waits until a GET of the URL succeeds; fails after 300 attempts (about 30 s).
wait_http() {
  for _ in $(seq 300); do
    if curl -fsS -o /dev/null "$1" 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "no answer from $1" >&2
  return 1
}

# stop_all: sends TERM to all started processes in reverse order and waits for each. Returns 1 if
# one of them failed.
stop_all() {
  local failed=0 i
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill -TERM "${pids[$i]}" 2>/dev/null || true
    wait "${pids[$i]}" 2>/dev/null
    local code=$?
    # 143 is the exit code of a JVM that TERM ends without a graceful shutdown, such as a stand-in.
    if [ "$code" -ne 0 ] && [ "$code" -ne 143 ]; then failed=1; fi
  done
  pids=()
  rm -rf "$work"
  return $failed
}

# register_host NAME ROLE DOMAIN ADDRESS: adds a host to the host list of the platform stand-in.
register_host() {
  curl -fsS -o /dev/null -d "{\"name\":\"$1\",\"role\":\"$2\",\"domain\":\"$3\",\"address\":\"$4\"}" \
    "http://127.0.0.1:21801/hosts"
}

# entry_settings FILE NAME DOMAIN CALLERS OPERATORS PEERS: writes the settings file of an entry host
# that listens on the three loopback ports. The operator is "morning" with password "quickstart".
entry_settings() {
  cat >"$1" <<EOF
{
  "name": "$2", "domain": "$3", "region": "pnw", "weight": 1,
  "listeners": {"callers": "127.0.0.1:$4", "operators": "127.0.0.1:$5", "peers": "127.0.0.1:$6"},
  "platform": {"tableService": "127.0.0.1:21801", "objectStore": "127.0.0.1:21801",
               "hostDirectory": "127.0.0.1:21801", "ratingService": "127.0.0.1:21802"},
  "sessionKeys": [{"id": "k1", "secret": "$session_secret"}],
  "operators": [{"name": "morning", "passwordHash": "$operator_hash"}],
  "drainSeconds": 20
}
EOF
}

# For stand-ins on loopback only: a fixed session token key and the password hash of "quickstart".
session_secret="MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY="
operator_hash='pbkdf2-sha256$600000$RUAPh/ifHa+fKAvcoh0e0Q==$0+xa7ijxP6b44We3h+itHJsa1C2xuLeiLO0eQOIWaDM='
