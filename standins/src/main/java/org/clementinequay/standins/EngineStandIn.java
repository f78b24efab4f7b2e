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
 * A model engine that produces numbered words at a fixed pace. Serves the engine interface of the
 * design page, {@code POST /fault} ({@code kind}, {@code after}, {@code count}) and {@code GET
 * /ran}.
 */
public final class EngineStandIn extends StandInServer {
  private static final int DEFAULT_TOKENS = 16;
  private static final long TICK_NANOS = 2_000_000;
  private static final int CHARS_PER_TOKEN = 4;
  private static final int KEPT_ATTEMPTS = 100_000;

  private final EngineSettings settings;
  private final Object lock = new Object();
  private final Map<String, EngineStream> running = new ConcurrentHashMap<>();
  private final PriorityQueue<EngineStream> queue =
      new PriorityQueue<>(Comparator.comparingInt(stream -> stream.priority));
  private final Map<String, EngineRequest> attempts = new ConcurrentHashMap<>();
  private final AtomicInteger ran = new AtomicInteger();
  private final AtomicInteger faultyStreams = new AtomicInteger();
  private final AtomicInteger cancelled = new AtomicInteger();
  private volatile EngineFault fault = EngineFault.NONE;
  private volatile int faultAfter;
  private volatile boolean leaving;
  private volatile Set<String> versions;
  private long fencing;
  private ScheduledExecutorService ticker;

  /** Creates the stand-in for a loopback port; 0 chooses a free one. */
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
    OptionSpec<Double> first =
        parser.accepts("first-token-ms").withRequiredArg().ofType(Double.class).defaultsTo(30.0);
    OptionSpec<Double> token =
        parser.accepts("token-ms").withRequiredArg().ofType(Double.class).defaultsTo(5.0);
    OptionSpec<Void> fencing = parser.accepts("checks-fencing");
    OptionSet options = parser.parse(args);
    EngineSettings settings =
        new EngineSettings(
            Set.copyOf(options.valuesOf(versions)),
            options.valueOf(slots),
            options.valueOf(first),
            options.valueOf(token),
            options.has(fencing));
    return new EngineStandIn(options.valueOf(port), settings);
  }

  @Override
  public void start() throws Exception {
    ticker = Executors.newSingleThreadScheduledExecutor(task -> new Thread(task, "engine-ticker"));
    ticker.scheduleAtFixedRate(this::tick, TICK_NANOS, TICK_NANOS, TimeUnit.NANOSECONDS);
    super.start();
  }

  @Override
  public void stop() {
    ticker.shutdownNow();
    super.stop();
  }

  /** Injects a fault into the next streams, after the given number of tokens. */
  public void injectFault(EngineFault kind, int afterTokens, int count) {
    faultAfter = afterTokens;
    faultyStreams.set(count);
    fault = kind;
  }

  /** Reports itself as leaving. */
  public void markLeaving() {
    leaving = true;
  }

  /** Returns how many attempts were started. */
  public int startedAttempts() {
    return ran.get();
  }

  /** Returns how many attempts were cancelled by the router. */
  public int cancelledAttempts() {
    return cancelled.get();
  }

  /** Returns how many attempts run now. */
  public int runningAttempts() {
    return running.size();
  }

  private void tick() {
    long now = System.nanoTime();
    long first = (long) (settings.firstTokenMillis() * 1e6);
    long token = (long) (settings.tokenMillis() * 1e6);
    for (EngineStream stream : running.values()) {
      stream.advance(now, first, token);
    }
  }

  @Override
  protected boolean handle(Request request, Response response, Callback callback) throws Exception {
    String path = Request.getPathInContext(request);
    if (path.startsWith("/v1/attempts/")) {
      String attempt = path.substring("/v1/attempts/".length());
      return request.getMethod().equals("DELETE")
          ? cancel(attempt, response, callback)
          : resume(attempt, request, response, callback);
    }
    return switch (path) {
      case "/v1/chat/completions" -> complete(request, response, callback);
      case "/load" -> reply(response, callback, 200, load());
      case "/orders" -> order(request, response, callback);
      case "/fault" -> handleFault(readJson(request), response, callback);
      case "/ran" -> reply(response, callback, 200, JSON.createObjectNode().put("ran", ran.get()));
      default -> reply(response, callback, 404);
    };
  }

  private boolean complete(Request request, Response response, Callback callback) throws Exception {
    JsonNode body = readJson(request);
    String model = body.path("model").asText();
    if (!versions.contains(model)) {
      return reply(response, callback, 404, JSON.createObjectNode().put("error", "not loaded"));
    }
    EngineFault streamFault = EngineFault.NONE;
    if (fault != EngineFault.NONE && faultyStreams.getAndDecrement() > 0) {
      streamFault = fault;
    }
    if (streamFault == EngineFault.ERROR) {
      return reply(response, callback, 500);
    }
    String priority = request.getHeaders().get("X-Priority");
    EngineRequest parsed =
        new EngineRequest(
            request.getHeaders().get("X-Attempt-Id"),
            model,
            priority == null ? 0 : Integer.parseInt(priority),
            body.path("messages").toString().length() / CHARS_PER_TOKEN,
            body.path("max_tokens").asInt(DEFAULT_TOKENS),
            0,
            streamFault,
            faultAfter);
    ran.incrementAndGet();
    if (attempts.size() < KEPT_ATTEMPTS) {
      attempts.put(parsed.attemptId(), parsed);
    }
    return open(parsed, response, callback);
  }

  private boolean resume(String attempt, Request request, Response response, Callback callback) {
    EngineRequest first = attempts.get(attempt);
    if (first == null) {
      return reply(response, callback, 404);
    }
    int from = Integer.parseInt(Request.extractQueryParameters(request).getValue("from"));
    EngineStream old = running.remove(attempt);
    if (old != null) {
      old.cancel();
    }
    return open(first.resumedFrom(from), response, callback);
  }

  private boolean open(EngineRequest request, Response response, Callback callback) {
    response.getHeaders().put("Content-Type", "text/event-stream");
    response.getHeaders().put("X-Attempt-Id", request.attemptId());
    EngineStream stream =
        new EngineStream(request, response, callback, () -> ended(request.attemptId()));
    synchronized (lock) {
      if (running.size() < settings.slots()) {
        stream.start(System.nanoTime());
        running.put(request.attemptId(), stream);
      } else {
        queue.add(stream);
      }
    }
    return true;
  }

  private void ended(String attemptId) {
    synchronized (lock) {
      running.remove(attemptId);
      EngineStream next = running.size() < settings.slots() ? queue.poll() : null;
      if (next != null) {
        next.start(System.nanoTime());
        running.put(next.attemptId, next);
      }
    }
  }

  private boolean cancel(String attempt, Response response, Callback callback) {
    EngineStream stream = running.get(attempt);
    if (stream == null) {
      synchronized (lock) {
        List<EngineStream> queued = new ArrayList<>(queue);
        stream = queued.stream().filter(s -> s.attemptId.equals(attempt)).findFirst().orElse(null);
        queue.remove(stream);
      }
    }
    if (stream != null) {
      cancelled.incrementAndGet();
      stream.cancel();
    }
    return reply(response, callback, 204);
  }

  private ObjectNode load() {
    ObjectNode report = JSON.createObjectNode();
    report.put("running", running.size());
    synchronized (lock) {
      report.put("queued", queue.size());
    }
    report.put(
        "tokens_per_second", running.size() * 1000.0 / Math.max(0.1, settings.tokenMillis()));
    report.put("leaving", leaving);
    versions.forEach(report.putArray("versions")::add);
    report.put("reported_at_ms", System.currentTimeMillis());
    return report;
  }

  private boolean order(Request request, Response response, Callback callback) throws Exception {
    synchronized (lock) {
      if (request.getMethod().equals("POST")) {
        JsonNode body = readJson(request);
        long number = body.path("fencing").asLong();
        if (settings.checksFencing() && number < fencing) {
          return reply(response, callback, 409, JSON.createObjectNode().put("fencing", fencing));
        }
        fencing = Math.max(fencing, number);
        List<String> target = new ArrayList<>();
        body.path("versions").forEach(version -> target.add(version.asText()));
        versions = Set.copyOf(target);
      }
      ObjectNode state = JSON.createObjectNode().put("fencing", fencing);
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
