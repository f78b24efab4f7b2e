package org.clementinequay.server.pipeline;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.clementinequay.core.AttemptId;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.RequestFailedException;
import org.clementinequay.core.billing.AttemptState;
import org.clementinequay.core.billing.BilledAttempt;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.core.placement.PlacementRequest;
import org.clementinequay.server.upstream.UpstreamClient;
import org.clementinequay.server.upstream.UpstreamListener;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.util.Callback;

/**
 * Runs the call of a route on a plain service. A call of an idempotent route may be repeated on
 * another upstream; any other call is sent to at most one upstream, once.
 */
final class RouteRun {
  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_ANSWER_BYTES = 1 << 20;

  private final Dispatcher dispatcher;
  private final Exchange exchange;
  private final Filter.Next next;
  private final Set<String> triedUpstreams = new HashSet<>();
  private int attempts;
  private boolean mayHaveRun;

  RouteRun(Dispatcher dispatcher, Exchange exchange, Filter.Next next) {
    this.dispatcher = dispatcher;
    this.exchange = exchange;
    this.next = next;
  }

  void start() {
    startAttempt();
  }

  private void startAttempt() {
    long remainingMillis = (exchange.deadlineNanos - dispatcher.clock.nanoTime()) / 1_000_000;
    if (remainingMillis <= 0) {
      fail(RefusalReason.DEADLINE_EXCEEDED, "the deadline has passed");
      return;
    }
    PlacementRequest request =
        new PlacementRequest(
            dispatcher.clock.nanoTime(),
            exchange.requestClass.priority(),
            remainingMillis,
            0,
            0,
            OptionalLong.empty());
    Optional<Upstream> upstream;
    try {
      upstream = dispatcher.place(exchange.route.name(), triedUpstreams, request, 0);
    } catch (RequestFailedException e) {
      next.fail(e);
      return;
    }
    if (upstream.isEmpty()) {
      fail(
          RefusalReason.NO_UPSTREAM, "no upstream is available for route " + exchange.route.name());
      return;
    }
    attempts++;
    triedUpstreams.add(upstream.get().name());
    AttemptId id = exchange.id().attempt(attempts);
    long timeoutMillis = Math.min(remainingMillis, exchange.route.timeoutMillis());
    dispatcher
        .transport
        .createRouteCall(
            upstream.get(),
            exchange.route.name(),
            id,
            exchange.request().body(),
            timeoutMillis,
            new RouteCall(id, upstream.get()))
        .start();
  }

  private void handleResponse(RouteCall call) {
    boolean attemptIdMatches = call.id.toString().equals(call.responseAttemptId);
    if (call.status < 500 && attemptIdMatches && !call.tooLarge) {
      dispatcher.recordSuccess(call.upstream, 0);
      record(call, AttemptState.ACCEPTED, exchange.route.costMicros());
      exchange.answer = Answer.ofRoute(call.status, call.contentType, call.body.toByteArray());
      next.proceed();
      return;
    }
    handleFailure(call, true);
  }

  private void handleFailure(RouteCall call, boolean maybeSent) {
    mayHaveRun |= maybeSent;
    dispatcher.recordFailure(call.upstream, 0);
    if (maybeSent) {
      record(call, AttemptState.FAILED, 0);
    }
    boolean retryable = exchange.route.idempotent() || !mayHaveRun;
    if (retryable && attempts < MAX_ATTEMPTS && dispatcher.retryBudget.tryRetry()) {
      startAttempt();
    } else {
      fail(RefusalReason.UPSTREAM_FAILED, "the upstream did not answer whole and in time");
    }
  }

  private void record(RouteCall call, AttemptState state, long costMicros) {
    mayHaveRun = true;
    exchange.addAttempt(
        new BilledAttempt(
            call.id.number(),
            exchange.route.name(),
            call.upstream.name(),
            state,
            0,
            0,
            costMicros));
  }

  private void fail(RefusalReason reason, String message) {
    next.fail(
        mayHaveRun
            ? RequestFailedException.unknown(reason, message)
            : RequestFailedException.notRun(reason, message));
  }

  private final class RouteCall implements UpstreamListener {
    private final AttemptId id;
    private final Upstream upstream;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private String responseAttemptId;
    private String contentType;
    private boolean tooLarge;

    private RouteCall(AttemptId id, Upstream upstream) {
      this.id = id;
      this.upstream = upstream;
    }

    @Override
    public void headers(int newStatus, HttpFields headers) {
      status = newStatus;
      responseAttemptId = headers.get(UpstreamClient.ATTEMPT_ID_HEADER);
      contentType = headers.get(HttpHeader.CONTENT_TYPE);
    }

    @Override
    public void content(ByteBuffer bytes, Callback callback) {
      tooLarge |= body.size() + bytes.remaining() > MAX_ANSWER_BYTES;
      byte[] part = new byte[bytes.remaining()];
      bytes.get(part);
      if (!tooLarge) {
        body.writeBytes(part);
      }
      callback.succeeded();
    }

    @Override
    public void ended() {
      RouteRun.this.handleResponse(this);
    }

    @Override
    public void failed(Throwable cause, boolean maybeSent) {
      handleFailure(this, maybeSent);
    }
  }
}
