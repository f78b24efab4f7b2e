package org.clementinequay.server.gateway;

import static org.testng.Assert.assertFalse;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import org.clementinequay.core.dispatch.RetryWindow;
import org.clementinequay.core.forward.CallerLimits;
import org.clementinequay.core.forward.EngineProfile;
import org.clementinequay.core.forward.ForwardingConfiguration;
import org.clementinequay.core.forward.RequestKind;
import org.clementinequay.core.forward.Route;
import org.clementinequay.core.forward.RouteTable;
import org.clementinequay.core.forward.ServiceProfile;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.ingress.Admission;
import org.clementinequay.core.ingress.IngressHolder;
import org.clementinequay.core.time.ManualClock;
import org.clementinequay.server.upstream.UpstreamListener;
import org.clementinequay.server.upstream.UpstreamTransport;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.util.Callback;

/** Gateway for tests, with a manual clock and upstreams and a caller that the test simulates. */
final class GatewayFixture {
  static final String REQUEST_ID = "r-1";

  final ManualClock clock = new ManualClock(Instant.EPOCH);
  final List<SentAttempt> sent = new ArrayList<>();
  final List<String> log = new ArrayList<>();
  final List<Integer> finishedStatuses = new ArrayList<>();
  final RecordedResponse response = new RecordedResponse();
  private final List<RequestForwarder> forwarders = new ArrayList<>();
  final Gateway gateway;
  final UpstreamReachability reachability;
  List<PromptPart> promptParts = List.of();
  Set<String> allowedRegions = Set.of();
  long deadlineMillis = 5000;
  OptionalLong lastEventId = OptionalLong.empty();
  boolean finishedCallbackRun;

  GatewayFixture() {
    this(null);
  }

  /** Creates a gateway; without a sender, attempts are recorded in {@link #sent}. */
  GatewayFixture(UpstreamSender sender) {
    this(sender, null, builder -> builder);
  }

  /** Creates a gateway in which some requests may wait for room. */
  GatewayFixture(int maxWaitingRequests) {
    this(null, null, builder -> builder.maxWaitingRequests(maxWaitingRequests));
  }

  /** Creates a gateway; with a probe, many hosts share the engines. */
  GatewayFixture(UpstreamSender sender, UpstreamProbe probe) {
    this(sender, probe, builder -> builder);
  }

  static GatewayFixture with(UnaryOperator<Gateway.Builder> options) {
    return new GatewayFixture(null, null, options);
  }

  private GatewayFixture(
      UpstreamSender sender, UpstreamProbe probe, UnaryOperator<Gateway.Builder> options) {
    reachability = probe == null ? null : new UpstreamReachability(clock, probe);
    gateway =
        options
            .apply(Gateway.builder())
            .reachability(reachability, () -> 100)
            .host("h1", "d")
            .clock(clock)
            .protocol(new Protocol())
            .sender(sender == null ? this::send : sender)
            .log((event, fields) -> log.add(event))
            .observer(
                (account, route, status, reason, first, total) -> finishedStatuses.add(status))
            .random(new SplittableRandom(7))
            .retryBudgets(() -> new RetryWindow(Duration.ofSeconds(10), 0.5, 10))
            .sessionIdleTime(Duration.ofSeconds(5))
            .build();
    EngineProfile engine =
        new EngineProfile(
            8,
            1000,
            1,
            List.of(new EngineProfile.Model("small", 0.01), new EngineProfile.Model("large", 1)));
    gateway.configure(
        new ForwardingConfiguration(
            1,
            new RouteTable(List.of()),
            List.of(new ServiceProfile("s", 10, Duration.ofSeconds(3), 10, Optional.of(engine))),
            Optional.empty(),
            new CallerLimits(1000, 1000, 1000, 1000)));
    gateway.updateInstances(List.of(instance("a"), instance("b"), instance("c")));
  }

  /** Returns a gateway of a host that sends no requests and logs nothing. */
  static Gateway idleGateway(String host, String domain, ManualClock clock) {
    return Gateway.builder()
        .host(host, domain)
        .clock(clock)
        .protocol(new Protocol())
        .sender((request, listener) -> null)
        .log((event, fields) -> {})
        .retryBudgets(() -> new RetryWindow(Duration.ofSeconds(10), 0.5, 10))
        .sessionIdleTime(Duration.ofSeconds(5))
        .build();
  }

  static UpstreamInstance instance(String id) {
    return instance(id, false);
  }

  static UpstreamInstance instance(String id, boolean leaving) {
    return new UpstreamInstance(id, "s", "10.0.0.1:1", "d", "v1", 8, leaving, 1);
  }

  RequestForwarder start(RequestKind kind, List<String> modelsBySize) {
    RequestForwarder forwarder = create(kind, modelsBySize);
    forwarder.start();
    return forwarder;
  }

  /** Returns a forwarder that has not been started. */
  RequestForwarder create(RequestKind kind, List<String> modelsBySize) {
    Route route =
        Route.builder("route")
            .kind(kind)
            .timeoutMillis(10_000)
            .latencyObjectiveMillis(1000)
            .eventGapObjectiveMillis(1000)
            .maxAttempts(3)
            .targets(List.of(new Route.WeightedTarget("s", 1)))
            .modelsBySize(modelsBySize)
            .allowedRegions(allowedRegions)
            .build();
    GatewayRequest request =
        new GatewayRequest(
            Optional.of(REQUEST_ID),
            "POST",
            "h",
            "/x/",
            "/x/",
            Optional.empty(),
            OptionalLong.of(deadlineMillis),
            lastEventId,
            Optional.empty(),
            10,
            10,
            OptionalInt.empty(),
            promptParts,
            HttpFields.EMPTY);
    RequestForwarder forwarder =
        new RequestForwarder(
            gateway,
            request,
            route,
            Optional.empty(),
            new byte[0],
            response,
            clock.nanoTime(),
            () -> finishedCallbackRun = true);
    forwarders.add(forwarder);
    return forwarder;
  }

  RequestForwarder forwarder() {
    return forwarders.get(0);
  }

  /** Fails if the current thread holds the lock of a forwarder. */
  private void checkOpenCall() {
    for (RequestForwarder forwarder : forwarders) {
      assertFalse(Thread.holdsLock(forwarder), "called under the lock of a forwarder");
    }
  }

  SentAttempt lastAttempt() {
    return sent.get(sent.size() - 1);
  }

  UpstreamTransport.Call send(OutboundRequest request, UpstreamListener listener) {
    SentAttempt attempt = new SentAttempt(request.headers(), listener);
    sent.add(attempt);
    return attempt;
  }

  /** Attempt that was sent to an upstream; the test supplies the response. */
  final class SentAttempt implements UpstreamTransport.Call {
    final HttpFields headers;
    private final UpstreamListener listener;
    boolean abandoned;
    boolean answered;

    /** Parts of the body of which the gateway took the bytes. */
    int contentTaken;

    private SentAttempt(HttpFields headers, UpstreamListener listener) {
      this.headers = headers;
      this.listener = listener;
    }

    boolean isStillNeeded() {
      return listener.isStillNeeded();
    }

    void respond(int status, HttpFields fields, String body) {
      answered = true;
      listener.headers(status, fields);
      sendContent(body);
      listener.ended();
    }

    void sendHead(int status) {
      listener.headers(status, ownRequestId());
    }

    void sendHead(int status, String confidence) {
      listener.headers(status, HttpFields.build(ownRequestId()).put("confidence", confidence));
    }

    void sendHead(int status, HttpHeader header, String value) {
      listener.headers(status, HttpFields.build(ownRequestId()).put(header, value));
    }

    void sendContent(String body) {
      listener.content(
          ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)),
          Callback.from(
              () -> {
                checkOpenCall();
                contentTaken++;
              }));
    }

    void endResponse() {
      listener.ended();
    }

    void fail(boolean offered) {
      listener.failed(new java.io.IOException("reset"), offered);
    }

    @Override
    public void start() {
      checkOpenCall();
    }

    @Override
    public void abort(Throwable cause) {
      checkOpenCall();
      abandoned = true;
    }
  }

  static HttpFields ownRequestId() {
    return HttpFields.build().put("id", REQUEST_ID);
  }

  /** Records the response that the caller received. */
  final class RecordedResponse implements CallerResponse {
    int status;
    HttpFields headers = HttpFields.EMPTY;
    final StringBuilder body = new StringBuilder();
    boolean complete;
    boolean aborted;
    boolean disconnected;
    Admission admission = Admission.ADMITTED;
    IngressHolder roomHolder;
    boolean roomReleased;

    @Override
    public Admission takeRoom(long bytes, IngressHolder holder) {
      roomHolder = holder;
      return admission;
    }

    @Override
    public void recordReceived(int bytes) {}

    @Override
    public void releaseRoom() {
      roomReleased = true;
    }

    @Override
    public void sendComplete(int newStatus, HttpFields newHeaders, byte[] bytes) {
      sendHead(newStatus, newHeaders);
      body.append(new String(bytes, StandardCharsets.UTF_8));
      complete = true;
    }

    @Override
    public void sendHead(int newStatus, HttpFields newHeaders) {
      checkOpenCall();
      status = newStatus;
      headers = newHeaders;
    }

    @Override
    public void sendPart(ByteBuffer bytes, Callback sentCallback) {
      checkOpenCall();
      body.append(StandardCharsets.UTF_8.decode(bytes));
      sentCallback.succeeded();
    }

    @Override
    public void end() {
      checkOpenCall();
      complete = true;
    }

    @Override
    public boolean isDisconnected() {
      return disconnected;
    }

    @Override
    public void abort(String reason) {
      checkOpenCall();
      aborted = true;
    }
  }

  private static final class Protocol implements GatewayProtocol {
    @Override
    public long decodedBytes(Request request) {
      throw new UnsupportedOperationException();
    }

    @Override
    public GatewayRequest decode(Request request) {
      throw new UnsupportedOperationException();
    }

    @Override
    public HttpFields attemptHeaders(GatewayRequest request, AttemptMetadata metadata) {
      HttpFields.Mutable fields = HttpFields.build().put("instance", metadata.instanceId());
      metadata.model().ifPresent(model -> fields.put("model", model));
      metadata.lastEventId().ifPresent(id -> fields.put("last", Long.toString(id)));
      return fields;
    }

    @Override
    public ResponseHead decodeResponse(int status, HttpFields headers) {
      String confidence = headers.get("confidence");
      return new ResponseHead(
          status,
          Optional.ofNullable(headers.get("id")),
          headers.contains("not-run"),
          status == 421,
          !headers.contains("unsealed"),
          headers.contains("leaving"),
          confidence == null ? OptionalInt.empty() : OptionalInt.of(Integer.parseInt(confidence)),
          headers);
    }
  }
}
