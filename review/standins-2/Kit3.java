package org.clementinequay.review3;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Stand-ins and helpers of the cases review/11 to review/15. Needs the JDK only. */
final class Kit3 {
  static final int HELD = 0;

  /** Not 1, which the JVM uses if it cannot start; the scripts turn it into 1. */
  static final int BROKEN = 10;

  static final int COULD_NOT_RUN = 2;

  private static final AtomicInteger NEXT_ADDRESS = new AtomicInteger(1);

  private Kit3() {}

  /** One case; its folder gets the record. */
  interface Case {
    int run(Path caseFolder) throws Exception;
  }

  /** Time after which a run ends whatever it does; a script may take 120 s. */
  private static final long LIMIT_MILLIS = 115_000;

  /** Runs a case and exits with its code; an unexpected failure of the stand-ins is no result. */
  static void runCase(String[] args, Case one) {
    int code = COULD_NOT_RUN;
    start(
        "limit",
        () -> {
          sleep(LIMIT_MILLIS);
          System.err.println("the run took too long");
          System.exit(COULD_NOT_RUN);
        });
    try {
      code = one.run(Path.of(args[0]));
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(code);
  }

  /** Returns a loopback address that no other stand-in of this run has. */
  static String address() {
    long pid = ProcessHandle.current().pid();
    return "127." + (100 + pid / 200 % 100) + "." + (1 + pid % 200) + "."
        + NEXT_ADDRESS.getAndIncrement();
  }

  static int freePort(String address) throws IOException {
    try (ServerSocket socket = new ServerSocket()) {
      socket.bind(new InetSocketAddress(address, 0));
      return socket.getLocalPort();
    }
  }

  static boolean trouble() {
    return !"0".equals(System.getenv("TROUBLE"));
  }

  static void sleep(long millis) {
    try {
      TimeUnit.MILLISECONDS.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static Thread start(String name, Step step) {
    Thread thread =
        new Thread(
            () -> {
              try {
                step.run();
              } catch (Exception e) {
                // The end of a connection ends its thread.
              }
            },
            name);
    thread.setDaemon(true);
    thread.start();
    return thread;
  }

  interface Step {
    void run() throws Exception;
  }

  /** Record of a run: what was sent, answered and run. */
  static final class Record implements Closeable {
    private final PrintWriter out;
    private final long start = System.nanoTime();

    Record(Path file) throws IOException {
      out = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void line(String format, Object... values) {
      String text = String.format(Locale.ROOT, format, values);
      out.printf(Locale.ROOT, "%8.3f %s%n", (System.nanoTime() - start) / 1e9, text);
      out.flush();
    }

    @Override
    public synchronized void close() {
      out.close();
    }
  }

  /** The platform's store: tables of rows, transactions and the change feed. */
  static final class Store implements Closeable {
    private record Row(String value, long revision, boolean tombstone) {}

    private final HttpServer server;
    private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();
    private long revision = 10;
    final String address;

    Store() throws IOException {
      String ip = Kit3.address();
      server = HttpServer.create(new InetSocketAddress(ip, 0), 64);
      address = ip + ":" + server.getAddress().getPort();
      server.setExecutor(
          Executors.newCachedThreadPool(
              task -> {
                Thread thread = new Thread(task, "store");
                thread.setDaemon(true);
                return thread;
              }));
      server.createContext("/v1/", this::handle);
      server.start();
    }

    synchronized long put(String table, String key, String value) {
      String encoded =
          Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
      return putRow(table, key, new Row(encoded, ++revision, false));
    }

    private synchronized long putRow(String table, String key, Row row) {
      tables.computeIfAbsent(table, t -> new TreeMap<>()).put(key, row);
      notifyAll();
      return row.revision();
    }

    synchronized void remove(String table, String key) {
      putRow(table, key, new Row("", ++revision, true));
    }

    synchronized String get(String table, String key) {
      Row row = tables.getOrDefault(table, new TreeMap<>()).get(key);
      return row == null || row.tombstone()
          ? null
          : new String(Base64.getDecoder().decode(row.value()), StandardCharsets.UTF_8);
    }

    private void handle(HttpExchange exchange) throws IOException {
      try {
        Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
        String path = exchange.getRequestURI().getPath();
        byte[] body = exchange.getRequestBody().readAllBytes();
        if (path.equals("/v1/rows-get")) {
          reply(exchange, 200, page(query, 0, false));
        } else if (path.equals("/v1/rows-feed")) {
          reply(exchange, 200, feed(query));
        } else if (path.equals("/v1/rows-tx")) {
          int status = commit(new String(body, StandardCharsets.UTF_8));
          reply(exchange, status, "{\"revision\":" + revision + ",\"nowMs\":" + now() + "}");
        } else {
          reply(exchange, 404, "{}");
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    private static long now() {
      return System.nanoTime() / 1_000_000;
    }

    private synchronized String page(Map<String, String> query, long after, boolean removed) {
      StringBuilder rows = new StringBuilder();
      String from = query.getOrDefault("from", "");
      tables
          .getOrDefault(query.get("table"), new TreeMap<>())
          .forEach(
              (key, row) -> {
                if (row.revision() <= after
                    || key.compareTo(from) < 0
                    || row.tombstone() && !removed) {
                  return;
                }
                rows.append(rows.length() == 0 ? "" : ",")
                    .append("{\"table\":\"").append(query.get("table"))
                    .append("\",\"part\":\"\",\"key\":\"").append(key)
                    .append("\",\"value\":\"").append(row.value())
                    .append("\",\"revision\":").append(row.revision())
                    .append(row.tombstone() ? ",\"tombstone\":true}" : "}");
              });
      return "{\"rows\":[" + rows + "],\"morePages\":false,\"revision\":" + revision
          + ",\"nowMs\":" + now() + "}";
    }

    private synchronized String feed(Map<String, String> query) throws InterruptedException {
      long after = Long.parseLong(query.get("after"));
      long end = now() + Long.parseLong(query.getOrDefault("waitMs", "0"));
      String none = "{\"rows\":[]";
      String page = page(query, after, true);
      while (page.startsWith(none) && now() < end) {
        wait(Math.max(1, end - now()));
        page = page(query, after, true);
      }
      return page;
    }

    private static final Pattern ROW =
        Pattern.compile("\\{\"table\":\"([^\"]*)\",\"part\":\"\",\"key\":\"([^\"]*)\""
            + "(?:,\"revision\":(\\d+))?(?:,\"value\":\"([^\"]*)\")?\\}");

    private synchronized int commit(String json) {
      String expected = json.substring(json.indexOf("\"expected\""), json.indexOf("\"writes\""));
      String writes = json.substring(json.indexOf("\"writes\""), json.indexOf("\"remove\""));
      String removes = json.substring(json.indexOf("\"remove\""));
      for (Matcher m = ROW.matcher(expected); m.find(); ) {
        Row row = tables.getOrDefault(m.group(1), new TreeMap<>()).get(m.group(2));
        long known = row == null || row.tombstone() ? 0 : row.revision();
        if (known != Long.parseLong(m.group(3))) {
          return 412;
        }
      }
      revision++;
      for (Matcher m = ROW.matcher(writes); m.find(); ) {
        putRow(m.group(1), m.group(2), new Row(m.group(4), revision, false));
      }
      for (Matcher m = ROW.matcher(removes); m.find(); ) {
        putRow(m.group(1), m.group(2), new Row("", revision, true));
      }
      return 200;
    }

    private static Map<String, String> query(String raw) {
      Map<String, String> result = new HashMap<>();
      for (String part : raw == null ? new String[0] : raw.split("&")) {
        int equals = part.indexOf('=');
        result.put(
            part.substring(0, equals),
            URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
      }
      return result;
    }

    private static void reply(HttpExchange exchange, int status, String text) throws IOException {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
      exchange.close();
    }

    @Override
    public void close() {
      server.stop(0);
    }
  }

  /** One entry host: a process with the command and the settings template of the deploy file. */
  static final class Host implements Closeable {
    final String name;
    final String ip = Kit3.address();
    final int callers;
    private final int ready;
    private final Path folder;
    private final Path settings;
    private final Record record;
    private Process process;

    Host(String name, String zone, Store store, Path folder, Record record) throws IOException {
      this.name = name;
      this.folder = folder;
      this.record = record;
      callers = freePort(ip);
      ready = freePort(ip);
      int peers = freePort(ip);
      Map<String, String> values = new HashMap<>();
      values.put("node", quoted(name));
      values.put("zone", quoted(zone));
      values.put("region", quoted("r"));
      values.put("listen.front", quoted(ip + ":" + callers));
      values.put("listen.ready", quoted(ip + ":" + ready));
      values.put("ip", ip);
      values.put("portRange.0", Integer.toString(peers));
      values.put("platform.address", quoted(store.address));
      values.put("limits.cpuShare", "0.75");
      values.put("bounds.graceS", "8");
      values.put("bounds.retryBudgetRatio", "0.9");
      values.put("bounds.budgetSlack", "58");
      values.put("bounds.budgetWindowS", "10");
      values.put("bounds.sessionS", "5");
      values.put("bounds.drainMs", "2000");
      values.put("bounds.configMs", "2000");
      values.put("zones", "{\"a\":\"r\",\"b\":\"r\"}");
      String template = Files.readString(Path.of("platform/node-settings.template"));
      Matcher placeholder = Pattern.compile("\\{\\{([A-Za-z0-9.]+)(?:\\|json)?\\}\\}").matcher(template);
      settings = folder.resolve(name + ".json");
      Files.writeString(
          settings,
          placeholder.replaceAll(
              match -> Matcher.quoteReplacement(values.getOrDefault(match.group(1), "null"))));
    }

    private static String quoted(String text) {
      return '"' + text + '"';
    }

    void start() throws IOException {
      Matcher run =
          Pattern.compile("(?m)^run = \"(.*)\"$")
              .matcher(Files.readString(Path.of("deploy/system.toml")));
      if (!run.find()) {
        throw new IOException("the deploy file has no command");
      }
      ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
      builder.environment().put("CLEMENTINEQUAY_NODE_FILE", settings.toString());
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".out").toFile()));
      builder.redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".err").toFile()));
      process = builder.start();
      // Also if this program is ended from outside.
      Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
      record.line("%s started", name);
    }

    /** Waits for a 200 of the readiness check; returns false if none comes. */
    boolean awaitReady(long millis) {
      long end = System.nanoTime() + millis * 1_000_000;
      while (System.nanoTime() < end) {
        if (isReady()) {
          return true;
        }
        if (!process.isAlive()) {
          return false;
        }
        Kit3.sleep(50);
      }
      return false;
    }

    boolean isReady() {
      try {
        HttpURLConnection check =
            (HttpURLConnection)
                URI.create("http://" + ip + ":" + ready + "/v1/ready").toURL().openConnection();
        check.setConnectTimeout(1000);
        check.setReadTimeout(1000);
        return check.getResponseCode() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    boolean isAlive() {
      return process.isAlive();
    }

    int exitCode() {
      return process.exitValue();
    }

    long pid() {
      return process.pid();
    }

    void signal(String signal) throws IOException, InterruptedException {
      record.line("%s gets SIG%s", name, signal);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    String errors() throws IOException {
      Path file = folder.resolve(name + ".err");
      return Files.exists(file) ? Files.readString(file) : "";
    }

    Socket connect() throws IOException {
      return new Socket(ip, callers);
    }

    Socket connect(int receiveBuffer) throws IOException {
      Socket socket = new Socket();
      socket.setReceiveBufferSize(receiveBuffer);
      socket.connect(new InetSocketAddress(ip, callers), 1000);
      return socket;
    }

    long residentMegabytes() {
      try {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
          if (line.startsWith("VmRSS:")) {
            return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
          }
        }
      } catch (IOException e) {
        return -1;
      }
      return -1;
    }

    @Override
    public void close() {
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }

  /** A request or a response: first line, header fields by lower-case name, body. */
  record Message(String first, Map<String, String> fields, byte[] body, boolean complete) {
    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String field(String name) {
      return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException("ended after: " + line);
      }
      if (c != '\r') {
        line.append((char) c);
      }
    }
    return line.toString();
  }

  /** Reads a head; the body is left. */
  static Message readHead(InputStream in) throws IOException {
    String first = line(in);
    Map<String, String> fields = new LinkedHashMap<>();
    for (String next = line(in); !next.isEmpty(); next = line(in)) {
      int colon = next.indexOf(':');
      fields.put(next.substring(0, colon).toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
    }
    return new Message(first, fields, new byte[0], true);
  }

  /** Reads a whole message; one whose body ends early is returned as incomplete. */
  static Message read(InputStream in) throws IOException {
    Message head = readHead(in);
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete = true;
    try {
      if (head.field("transfer-encoding").equalsIgnoreCase("chunked")) {
        for (int size = chunk(in); size > 0; size = chunk(in)) {
          body.write(exactly(in, size));
          line(in);
        }
        line(in);
      } else if (!head.field("content-length").isEmpty()) {
        body.write(exactly(in, Integer.parseInt(head.field("content-length"))));
      } else if (head.first().startsWith("HTTP/")) {
        body.write(in.readAllBytes());
      }
    } catch (IOException e) {
      complete = false;
    }
    return new Message(head.first(), head.fields(), body.toByteArray(), complete);
  }

  private static int chunk(InputStream in) throws IOException {
    return Integer.parseInt(line(in).split(";")[0].trim(), 16);
  }

  private static byte[] exactly(InputStream in, int size) throws IOException {
    byte[] bytes = in.readNBytes(size);
    if (bytes.length < size) {
      throw new EOFException("body ended early");
    }
    return bytes;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  /** A server of a service; a script answers each request on its own thread. */
  static final class Server implements Closeable {
    interface Script {
      /** Answers a request; returns whether the connection stays open. */
      boolean answer(Server server, Message request, Socket socket) throws Exception;
    }

    private final ServerSocket listener;
    private final Script script;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    final String id;
    final String address;
    final List<String> ran = new ArrayList<>();

    Server(String id, Script script) throws IOException {
      this(id, script, Kit3.address(), 0);
    }

    Server(String id, Script script, String ip, int port) throws IOException {
      this.id = id;
      this.script = script;
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(ip, port), 512);
      address = ip + ":" + listener.getLocalPort();
      Kit3.start(
          id,
          () -> {
            while (true) {
              Socket socket = listener.accept();
              Kit3.start(id, () -> serve(socket));
            }
          });
    }

    private void serve(Socket socket) throws Exception {
      open.add(socket);
      socket.setTcpNoDelay(true);
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        boolean kept = true;
        while (kept) {
          Message request = read(in);
          if (!request.complete()) {
            return;
          }
          if (!request.field("expect-instance").isEmpty()
              && !request.field("expect-instance").equals(id)) {
            write(socket, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id
                + "\r\nContent-Length: 0\r\n\r\n");
            continue;
          }
          synchronized (ran) {
            ran.add(request.field("request-id"));
          }
          kept = script.answer(this, request, socket);
        }
      } finally {
        open.remove(socket);
      }
    }

    /** Ends as a crashed process does: its listener and all of its connections are gone. */
    void crash() throws IOException {
      listener.close();
      for (Socket socket : open) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    }

    int runs(String requestId) {
      synchronized (ran) {
        return (int) ran.stream().filter(requestId::equals).count();
      }
    }

    int runs() {
      synchronized (ran) {
        return ran.size();
      }
    }

    String entry(String service, String zone, String version, String state) {
      return "{\"service\":\"" + service + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone
          + "\",\"version\":\"" + version + "\",\"slots\":64,\"state\":\"" + state
          + "\",\"coldLeftMs\":0,\"born\":1700000000000,\"seq\":1}";
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(bytes(text));
  }

  /** Head of a whole answer with the fields that servers send. */
  static String head(Server server, Message request, int status, String more) {
    return "HTTP/1.1 " + status + " X\r\nRequest-Id: " + request.field("request-id")
        + "\r\nResponse-Seal: seal-" + server.id + "\r\n" + more + "\r\n";
  }

  static void deleteFolder(Path folder) throws IOException {
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.deleteIfExists(file);
      }
    }
    Files.deleteIfExists(folder);
  }
}
