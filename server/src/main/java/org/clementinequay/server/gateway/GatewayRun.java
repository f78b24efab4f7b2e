package org.clementinequay.server.gateway;

import java.io.IOException;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.clementinequay.core.dispatch.EventSplitter;
import org.clementinequay.core.forward.AccountKeys;
import org.clementinequay.core.forward.ForwardingConfiguration;
import org.clementinequay.core.forward.Route;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.placement.EngineSelector;

/**
 * Runs one caller's request: sends it to upstreams one after the other until one answers, as often
 * as its kind, its route and the retry budget allow, and relays the answer. A stream that breaks
 * off goes on at another upstream after the last whole event. All state is guarded by this object.
 */
final class GatewayRun {
  /** Time past the limit that an upstream has to report the end by itself, in milliseconds. */
  static final long LIMIT_GRACE_MILLIS = 100;

  /** Time that is too short for another attempt, in milliseconds. */
  private static final long SHORTEST_ATTEMPT_MILLIS = 30;

  /** Longest silence of a stream, in milliseconds; longer ones were taken for a dead connection. */
  private static final long STREAM_SILENCE_MILLIS = 5000;

  static final int BAD_GATEWAY = 502;
  static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  final Gateway gateway;
  final GatewayRequest request;
  final Route route;
  private final Optional<AccountKeys> account;
  private final byte[] body;
  final CallerReply reply;
  private final Runnable ended;
  private final long receivedNanos;
  private final long limitNanos;
  final String service;
  final Set<String> tried = new HashSet<>();
  final AttemptPlacement placement;
  final EventSplitter events;
  GatewayAttempt current;
  int attempts;
  boolean mayHaveRun;
  boolean committed;
  long firstEventNanos;
  boolean settled;

  GatewayRun(
      Gateway gateway,
      GatewayRequest request,
      Route route,
      Optional<AccountKeys> account,
      byte[] body,
      CallerReply reply,
      long receivedNanos,
      Runnable ended) {
    this.gateway = gateway;
    this.request = request;
    this.route = route;
    this.account = account;
    this.body = body;
    this.reply = reply;
    this.receivedNanos = receivedNanos;
    this.ended = ended;
    long millis = Math.min(request.deadlineMillis().orElse(Long.MAX_VALUE), route.timeoutMillis());
    this.limitNanos = receivedNanos + millis * 1_000_000;
    this.service = route.selectService(gateway.random.nextDouble());
    this.placement = new AttemptPlacement(gateway, request, route, service);
    this.events = new EventSplitter(request.lastEventId().orElse(0));
  }

  synchronized void start() {
    if (settled) {
      // The caller left between the watch of its connection and this call.
      return;
    }
    gateway.active.add(this);
    gateway.requested(service);
    attempt();
  }

  /** The caller closed its connection. */
  synchronized void callerGone() {
    if (settled) {
      return;
    }
    log("caller_gone", "attempts", attempts);
    settle(0, "caller left");
    abandonCurrent("the caller left");
    reply.abort("the caller left");
  }

  /** Ends the request if its time is over. */
  synchronized void checkLimit() {
    if (settled || remainingMillis() > -LIMIT_GRACE_MILLIS) {
      return;
    }
    boolean running = current != null;
    abandonCurrent("the time limit was reached");
    fail(running || mayHaveRun ? GATEWAY_TIMEOUT : UNAVAILABLE, "time limit");
  }

  /** Moves on from an upstream that makes no progress. */
  synchronized void checkProgress(long nowNanos) {
    if (!settled && current != null) {
      current.checkProgress(nowNanos);
    }
  }

  void attempt() {
    if (settled) {
      return;
    }
    long remaining = remainingMillis();
    if (remaining < SHORTEST_ATTEMPT_MILLIS) {
      fail(mayHaveRun ? GATEWAY_TIMEOUT : UNAVAILABLE, "no time is left");
      return;
    }
    Optional<AttemptPlacement.Placed> placed = placement.place(tried);
    if (placed.isEmpty()) {
      fail(mayHaveRun ? BAD_GATEWAY : UNAVAILABLE, "no upstream is available");
      return;
    }
    send(placed.get().instance(), placed.get().choice(), remaining);
  }

  private void send(UpstreamInstance instance, EngineSelector.Choice choice, long remaining) {
    attempts++;
    tried.add(instance.id());
    GatewayAttempt attempt = new GatewayAttempt(this, instance, choice);
    current = attempt;
    boolean streaming = route.kind().streaming();
    AttemptHead head =
        new AttemptHead(
            instance.id(),
            remaining,
            account.map(AccountKeys::name),
            placement.model(),
            streaming ? OptionalInt.of(urgency()) : OptionalInt.empty(),
            events.lastId() > 0 ? OptionalLong.of(events.lastId()) : OptionalLong.empty());
    attempt.call =
        gateway.sender.call(
            new OutboundRequest(
                instance.address(),
                request.method(),
                request.pathQuery(),
                gateway.protocol.attemptHeaders(request, head),
                body,
                !route.kind().retryable(),
                streaming ? Math.min(remaining, STREAM_SILENCE_MILLIS) : remaining),
            attempt);
    gateway.engines.recordStart(instance.id(), choice.workMillis(), placement.sharedPart());
    log(
        "send",
        "attempt",
        attempts,
        "upstream",
        instance.id(),
        "version",
        instance.version(),
        "model",
        placement.model().orElse(""),
        "wait_ms",
        Math.round(choice.waitMillis()),
        "work_ms",
        Math.round(choice.workMillis()),
        "left_ms",
        remaining,
        "list_age_ms",
        gateway.directoryAgeNanos() / 1_000_000,
        "configuration",
        gateway.configuration().map(ForwardingConfiguration::version).orElse(0L));
    rememberVersion(instance);
    attempt.call.start();
  }

  void rememberVersion(UpstreamInstance instance) {
    request
        .session()
        .ifPresent(
            session ->
                gateway.sessions.recordUse(session, instance.version(), gateway.clock.nanoTime()));
  }

  private int urgency() {
    return Math.min(
        9, account.map(AccountKeys::priority).orElse(OptionalInt.empty()).orElse(route.priority()));
  }

  long remainingMillis() {
    return (limitNanos - gateway.clock.nanoTime()) / 1_000_000;
  }

  void abandonCurrent(String why) {
    if (current != null) {
      GatewayAttempt attempt = current;
      current = null;
      attempt.release();
      if (attempt.slow) {
        attempt.observe(false);
      }
      gateway.health.recordAbandoned(attempt.instance.id());
      attempt.call.abort(new IOException(why));
    }
  }

  /** Returns whether another upstream could take over now, and takes a repeat of the budget. */
  boolean tryMove() {
    return attemptLeft() && placement.possible(tried) && gateway.tryRepeat(service);
  }

  /**
   * Takes a repeat of the budget if kind, route and time allow another attempt.
   *
   * @param afterRun whether the upstream may have run the request
   */
  boolean tryRepeat(boolean afterRun) {
    return (!afterRun || route.kind().retryable()) && attemptLeft() && gateway.tryRepeat(service);
  }

  private boolean attemptLeft() {
    return attempts < route.maxAttempts() && remainingMillis() >= SHORTEST_ATTEMPT_MILLIS;
  }

  /** Tries another upstream if kind, route, budget and time allow it; otherwise fails. */
  void again(boolean afterRun, String why) {
    if (tryRepeat(afterRun)) {
      attempt();
      return;
    }
    fail(mayHaveRun ? BAD_GATEWAY : UNAVAILABLE, why);
  }

  void fail(int status, String why) {
    log(
        "failed",
        "status",
        committed ? 0 : status,
        "reason",
        why,
        "attempts",
        attempts,
        "may_have_run",
        mayHaveRun,
        "ms",
        elapsedMillis());
    settle(committed ? 0 : status, why);
    if (committed) {
      reply.abort(why);
      return;
    }
    reply.whole(
        status, Refusals.headers(status, Refusals.DEFAULT_RETRY_SECONDS), Refusals.body(why));
  }

  void settle(int status, String reason) {
    settled = true;
    gateway.observer.finished(
        account.map(AccountKeys::name).orElse(""),
        route.name(),
        status,
        reason,
        firstEventNanos == 0 ? 0 : firstEventNanos - receivedNanos,
        gateway.clock.nanoTime() - receivedNanos);
    gateway.active.remove(this);
    ended.run();
  }

  long elapsedMillis() {
    return (gateway.clock.nanoTime() - receivedNanos) / 1_000_000;
  }

  void log(String event, Object... fields) {
    Object[] all = new Object[fields.length + 4];
    all[0] = "request";
    all[1] = request.id().orElse("");
    all[2] = "route";
    all[3] = route.name();
    System.arraycopy(fields, 0, all, 4, fields.length);
    gateway.log.record(event, all);
  }
}
