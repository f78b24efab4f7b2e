package org.clementinequay.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.concurrent.TimeoutException;
import org.clementinequay.core.forward.AccountKeys;
import org.clementinequay.core.forward.CallerLimits;
import org.clementinequay.core.forward.ForwardingConfiguration;
import org.clementinequay.core.forward.Route;
import org.clementinequay.core.ingress.TurnAway;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Request;

/**
 * Receipt of one request: judges its head, receives its body, and forwards or refuses it. What the
 * head alone refuses gets its answer behind its body, which is not held.
 */
final class RequestReceipt implements BodyReceiver.Listener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Limits until a configuration is known. */
  private static final CallerLimits DEFAULT_LIMITS =
      new CallerLimits(16 << 10, 4 << 20, 3000, 15_000);

  private record Refusal(int status, String reason) {}

  private final Gateway gateway;
  private final Request request;
  private final int headBytes;
  private final CallerExchange exchange;
  private final CloseAwareEndPoint endPoint;
  private final CallerLimits limits;
  private Optional<GatewayRequest> parsed = Optional.empty();
  private final Optional<Refusal> refusal;

  RequestReceipt(
      Gateway gateway,
      Request request,
      int headBytes,
      CallerExchange exchange,
      CloseAwareEndPoint endPoint) {
    this.gateway = gateway;
    this.request = request;
    this.headBytes = headBytes;
    this.exchange = exchange;
    this.endPoint = endPoint;
    this.limits = limits(gateway);
    this.refusal = judgeHead();
  }

  static CallerLimits limits(Gateway gateway) {
    return gateway.configuration().map(ForwardingConfiguration::limits).orElse(DEFAULT_LIMITS);
  }

  void start() {
    boolean tooLong = request.getLength() > limits.maxBodyBytes();
    if (refusal.isPresent()
        && (tooLong || request.getHeaders().contains(HttpHeader.EXPECT, "100-continue"))) {
      refuse(refusal.get());
      return;
    }
    if (tooLong) {
      tooLong();
      return;
    }
    BodyReceiver receiver =
        new BodyReceiver(request, endPoint.share(), limits.maxBodyBytes(), refusal.isEmpty(), this);
    endPoint.setReceiver(receiver);
    endPoint.share().beginBody(accountName(), bodyMillis());
    receiver.advance();
  }

  private Optional<Refusal> judgeHead() {
    if (!endPoint.share().takeDecodedHead(gateway.protocol.decodedBytes(request))) {
      return Optional.of(new Refusal(HttpStatus.SERVICE_UNAVAILABLE_503, TurnAway.MEMORY.reason()));
    }
    try {
      parsed = Optional.of(gateway.protocol.decode(request));
    } catch (MalformedRequestException e) {
      return Optional.of(new Refusal(HttpStatus.BAD_REQUEST_400, e.getMessage()));
    }
    if (headBytes > limits.maxHeaderBytes()) {
      return Optional.of(
          new Refusal(
              HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431,
              "the head of the request is too long"));
    }
    return judgeRoute(gateway.configuration());
  }

  private Optional<Refusal> judgeRoute(Optional<ForwardingConfiguration> configuration) {
    if (configuration.isEmpty()) {
      return Optional.of(
          new Refusal(HttpStatus.SERVICE_UNAVAILABLE_503, "no configuration is known yet"));
    }
    Optional<Route> route = route(configuration.get());
    if (route.isEmpty()) {
      return Optional.of(new Refusal(HttpStatus.NOT_FOUND_404, "no such route"));
    }
    boolean requiresKey = configuration.get().requiresApiKeys() && !route.get().anonymousAccess();
    if (requiresKey && account(configuration.get()).isEmpty()) {
      return Optional.of(new Refusal(HttpStatus.UNAUTHORIZED_401, "unknown API key"));
    }
    return Optional.empty();
  }

  private Optional<Route> route(ForwardingConfiguration configuration) {
    return parsed.flatMap(head -> configuration.routes().find(head.host(), head.path()));
  }

  private Optional<AccountKeys> account(ForwardingConfiguration configuration) {
    return parsed.flatMap(GatewayRequest::apiKey).flatMap(configuration::account);
  }

  private String accountName() {
    return gateway.configuration().flatMap(this::account).map(AccountKeys::name).orElse("");
  }

  /** Returns the time for the body; a request whose body takes longer has no time left to run. */
  private long bodyMillis() {
    long most =
        gateway
            .configuration()
            .flatMap(this::route)
            .map(Route::timeoutMillis)
            .orElse(limits.idleTimeoutMillis());
    return parsed.map(head -> Math.min(most, head.deadlineMillis().orElse(most))).orElse(most);
  }

  private String id() {
    return parsed.flatMap(GatewayRequest::id).orElse("");
  }

  private void refuse(Refusal value) {
    exchange.refuse(id(), value.status(), value.reason());
  }

  @Override
  public void complete(byte[] body) {
    endPoint.setReceiver(null);
    exchange.bodyRead();
    Optional<ForwardingConfiguration> configuration = gateway.configuration();
    // The configuration may have changed while the body came.
    Optional<Refusal> current = refusal.or(() -> judgeRoute(configuration));
    if (current.isPresent()) {
      refuse(current.get());
      return;
    }
    try {
      forward(configuration.orElseThrow(), body);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("a request could not be handled");
      exchange.refuse("", HttpStatus.INTERNAL_SERVER_ERROR_500, "internal error");
    }
  }

  @Override
  public void tooLong() {
    refuse(refusal.orElse(new Refusal(HttpStatus.PAYLOAD_TOO_LARGE_413, "the body is too long")));
  }

  @Override
  public void turnedAway(TurnAway limit) {
    refuse(refusal.orElse(new Refusal(HttpStatus.SERVICE_UNAVAILABLE_503, limit.reason())));
  }

  @Override
  public void broken(Throwable failure) {
    gateway.log.record("body_broken", "request", id(), "reason", Failures.summary(failure));
    // A request whose body is incomplete was not passed on.
    refuse(
        refusal.orElse(
            failure instanceof TimeoutException
                ? new Refusal(HttpStatus.REQUEST_TIMEOUT_408, "the body took too long")
                : new Refusal(HttpStatus.BAD_REQUEST_400, "the body is malformed or incomplete")));
  }

  private void forward(ForwardingConfiguration configuration, byte[] body) {
    RequestForwarder forwarder =
        new RequestForwarder(
            gateway,
            parsed.orElseThrow(),
            route(configuration).orElseThrow(),
            account(configuration),
            body,
            exchange,
            exchange.receivedNanos,
            endPoint::stopWatching);
    if (!exchange.forwardedBy(forwarder)) {
      return;
    }
    endPoint.watchForClose(forwarder::callerDisconnected);
    forwarder.start();
  }
}
