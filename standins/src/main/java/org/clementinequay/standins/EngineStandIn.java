package org.clementinequay.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Stand-in for a model engine that generates numbered words at a fixed rate. Besides the engine
 * interface described in {@code docs/design.md}, it serves {@code POST /fault} (fields {@code
 * kind}, {@code after} and {@code count}, or {@code leaving}) and {@code GET /ran} (number of
 * started attempts).
 */
public final class EngineStandIn extends StandInServer {
  private static final int DEFAULT_ANSWER_TOKENS = 16;
  private static final long TICK_INTERVAL_NANOS = 2_000_000;
  private static final int CHARS_PER_TOKEN = 4;
  private static final int MAX_STORED_ATTEMPTS = 100_000;

  private final EngineSettings settings;
  private final Object lock = new Object();
  private final Map<String, EngineStream> runningStreams = new ConcurrentHashMap<>();
  private final PriorityQueue<EngineStream> queuedStreams =
      new PriorityQueue<>(Comparator.comparingInt(stream -> stream.priority));
  private final Map<String, EngineRequest> requestsByAttempt = new ConcurrentHashMap<>();
  private final AtomicInteger startedAttempts = new AtomicInteger();
  private final AtomicInteger remainingFaultyStreams = new AtomicInteger();
  private final AtomicInteger cancelledAttempts = new AtomicInteger();
  private volatile EngineFault fault = EngineFault.NONE;
  private volatile int faultAfterTokens;
  private volatile boolean leaving;
  private volatile Set<String> versions;
  private long highestFencingNumber;
  private ScheduledExecutorService ticker;

  /** Creates a stand-in on a loopback port; 0 selects a free port. */
  public EngineStandIn(int port, EngineSettings settings) {
    super(port);
    this.settings = settings;
    this.versions = settings.versions();
  }

  static EngineStandIn parse(String[] args) {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> port = parser.accepts("port").withRequiredArg().ofType(Integer.class);
    OptionSpec<String> versions =
        parser.accepts("versions").withRequiredArg().withValuesSeparatedBy(',');
    OptionSpec<Integer> slots =
        parser.accepts("slots").withRequiredArg().ofType(Integer.class).defaultsTo(64);
    OptionSpec<Double> firstTokenMillis =
        parser.accepts("first-token-ms").withRequiredArg().ofType(Double.class).defaultsTo(30.0);
    OptionSpec<Double> tokenMillis =
        parser.accepts("token-ms").withRequiredArg().ofType(Double.class).defaultsTo(5.0);
    OptionSpec<Void> checksFencing = parser.accepts("checks-fencing");
    OptionSet options = parser.parse(args);
    EngineSettings settings =
        new EngineSettings(
            Set.copyOf(options.valuesOf(versions)),
            options.valueOf(slots),
            options.valueOf(firstTokenMillis),
            options.valueOf(tokenMillis),
            options.has(checksFencing));
    return new EngineStandIn(options.valueOf(port), settings);
  }

  @Override
  public void start() throws Exception {
    ticker = Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "engine-ticker"));
    ticker.scheduleAtFixedRate(
        this::writeDueTokens, TICK_INTERVAL_NANOS, TICK_INTERVAL_NANOS, TimeUnit.NANOSECONDS);
    super.start();
  }

  @Override
  public void stop() {
    ticker.shutdownNow();
    super.stop();
  }

  /** Injects a fault into each of the next {@code count} streams, after {@code afterTokens}. */
  public void injectFault(EngineFault kind, int afterTokens, int count) {
    faultAfterTokens = afterTokens;
    remainingFaultyStreams.set(count);
    fault = kind;
  }

  /** Makes the load report announce that this engine is leaving; new attempts are still served. */
  public void markLeaving() {
    leaving = true;
  }

  /** Returns the number of attempts accepted since the start, without resumed streams. */
  public int startedAttempts() {
    return startedAttempts.get();
  }

  /** Returns the number of running or queued attempts that the router has cancelled. */
  public int cancelledAttempts() {
    return cancelledAttempts.get();
  }

  /** Returns the number of attempts that occupy a slot now; queued attempts do not count. */
  public int runningAttempts() {
    return runningStreams.size();
  }

  private void writeDueTokens() {
    long nowNanos = System.nanoTime();
    long firstTokenNanos = (long) (settings.firstTokenMillis() * 1e6);
    long tokenNanos = (long) (settings.tokenMillis() * 1e6);
    for (EngineStream stream : runningStreams.values()) {
      stream.writeDueTokens(nowNanos, firstTokenNanos, tokenNanos);
    }
  }

  @Override
  protected boolean handle(Request request, Response response, Callback callback) throws Exception {
    String path = Request.getPathInContext(request);
    if (path.startsWith("/v1/attempts/")) {
      String attemptId = path.substring("/v1/attempts/".length());
      return request.getMethod().equals("DELETE")
          ? handleCancel(attemptId, response, callback)
          : handleResume(attemptId, request, response, callback);
    }
    return switch (path) {
      case "/v1/chat/completions" -> handleCompletion(request, response, callback);
      case "/load" -> reply(response, callback, 200, loadReport());
      case "/orders" -> handleOrder(request, response, callback);
      case "/fault" -> handleFault(readJson(request), response, callback);
      case "/ran" ->
          reply(response, callback, 200, JSON.createObjectNode().put("ran", startedAttempts.get()));
      default -> reply(response, callback, 404);
    };
  }

  private boolean handleCompletion(Request request, Response response, Callback callback)
      throws Exception {
    JsonNode body = readJson(request);
    String model = body.path("model").asText();
    if (!versions.contains(model)) {
      return reply(response, callback, 404, JSON.createObjectNode().put("error", "not loaded"));
    }
    EngineFault streamFault = EngineFault.NONE;
    if (fault != EngineFault.NONE && remainingFaultyStreams.getAndDecrement() > 0) {
      streamFault = fault;
    }
    if (streamFault == EngineFault.ERROR) {
      return reply(response, callback, 500);
    }
    String priority = request.getHeaders().get("X-Priority");
    EngineRequest engineRequest =
        new EngineRequest(
            request.getHeaders().get("X-Attempt-Id"),
            model,
            priority == null ? 0 : Integer.parseInt(priority),
            body.path("messages").toString().length() / CHARS_PER_TOKEN,
            body.path("max_tokens").asInt(DEFAULT_ANSWER_TOKENS),
            0,
            streamFault,
            faultAfterTokens);
    startedAttempts.incrementAndGet();
    if (requestsByAttempt.size() < MAX_STORED_ATTEMPTS) {
      requestsByAttempt.put(engineRequest.attemptId(), engineRequest);
    }
    return openStream(engineRequest, response, callback);
  }

  private boolean handleResume(
      String attemptId, Request request, Response response, Callback callback) {
    EngineRequest original = requestsByAttempt.get(attemptId);
    if (original == null) {
      return reply(response, callback, 404);
    }
    int fromToken = Integer.parseInt(Request.extractQueryParameters(request).getValue("from"));
    EngineStream previousStream = runningStreams.remove(attemptId);
    if (previousStream != null) {
      previousStream.cancel();
    }
    return openStream(original.resumeFrom(fromToken), response, callback);
  }

  private boolean openStream(EngineRequest request, Response response, Callback callback) {
    response.getHeaders().put("Content-Type", "text/event-stream");
    response.getHeaders().put("X-Attempt-Id", request.attemptId());
    EngineStream stream =
        new EngineStream(request, response, callback, () -> onStreamEnded(request.attemptId()));
    synchronized (lock) {
      if (runningStreams.size() < settings.slots()) {
        stream.start(System.nanoTime());
        runningStreams.put(request.attemptId(), stream);
      } else {
        queuedStreams.add(stream);
      }
    }
    return true;
  }

  /** Releases the slot of an attempt and starts the queued stream of highest priority. */
  private void onStreamEnded(String attemptId) {
    synchronized (lock) {
      runningStreams.remove(attemptId);
      EngineStream nextStream =
          runningStreams.size() < settings.slots() ? queuedStreams.poll() : null;
      if (nextStream != null) {
        nextStream.start(System.nanoTime());
        runningStreams.put(nextStream.attemptId, nextStream);
      }
    }
  }

  private boolean handleCancel(String attemptId, Response response, Callback callback) {
    EngineStream stream = runningStreams.get(attemptId);
    if (stream == null) {
      synchronized (lock) {
        List<EngineStream> queueSnapshot = new ArrayList<>(queuedStreams);
        stream =
            queueSnapshot.stream()
                .filter(candidate -> candidate.attemptId.equals(attemptId))
                .findFirst()
                .orElse(null);
        queuedStreams.remove(stream);
      }
    }
    if (stream != null) {
      cancelledAttempts.incrementAndGet();
      stream.cancel();
    }
    return reply(response, callback, 204);
  }

  private ObjectNode loadReport() {
    ObjectNode report = JSON.createObjectNode();
    report.put("running", runningStreams.size());
    synchronized (lock) {
      report.put("queued", queuedStreams.size());
    }
    report.put(
        "tokens_per_second",
        runningStreams.size() * 1000.0 / Math.max(0.1, settings.tokenMillis()));
    report.put("leaving", leaving);
    versions.forEach(report.putArray("versions")::add);
    report.put("reported_at_ms", System.currentTimeMillis());
    return report;
  }

  private boolean handleOrder(Request request, Response response, Callback callback)
      throws Exception {
    synchronized (lock) {
      if (request.getMethod().equals("POST")) {
        JsonNode body = readJson(request);
        long fencingNumber = body.path("fencing").asLong();
        if (settings.checksFencing() && fencingNumber < highestFencingNumber) {
          return reply(
              response,
              callback,
              409,
              JSON.createObjectNode().put("fencing", highestFencingNumber));
        }
        highestFencingNumber = Math.max(highestFencingNumber, fencingNumber);
        List<String> loadedVersions = new ArrayList<>();
        body.path("versions").forEach(version -> loadedVersions.add(version.asText()));
        versions = Set.copyOf(loadedVersions);
      }
      ObjectNode state = JSON.createObjectNode().put("fencing", highestFencingNumber);
      versions.forEach(state.putArray("versions")::add);
      return reply(response, callback, 200, state);
    }
  }

  private boolean handleFault(JsonNode body, Response response, Callback callback) {
    if (body.path("leaving").asBoolean()) {
      markLeaving();
    } else {
      injectFault(
          EngineFault.valueOf(body.path("kind").asText("NONE")),
          body.path("after").asInt(),
          body.path("count").asInt(1));
    }
    return reply(response, callback, 204);
  }
}
