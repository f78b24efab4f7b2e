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
 * Runs a call to a plain service. An idempotent call may be repeated on another upstream; a
 * non-idempotent one is offered to at most one upstream, once.
 */
final class RouteRun {
  private static final int MAX_ATTEMPTS = 3;
  private static final int MAX_ANSWER_BYTES = 1 << 20;

  private final Dispatcher dispatcher;
  private final Exchange exchange;
  private final Filter.Next next;
  private final Set<String> tried = new HashSet<>();
  private int attempts;
  private boolean offered;

  RouteRun(Dispatcher dispatcher, Exchange exchange, Filter.Next next) {
    this.dispatcher = dispatcher;
    this.exchange = exchange;
    this.next = next;
  }

  void start() {
    attempt();
  }

  private void attempt() {
    long remaining = (exchange.deadlineNanos - dispatcher.clock.nanoTime()) / 1_000_000;
    if (remaining <= 0) {
      fail(RefusalReason.DEADLINE_EXCEEDED, "the deadline passed");
      return;
    }
    PlacementRequest request =
        new PlacementRequest(
            dispatcher.clock.nanoTime(),
            exchange.requestClass.priority(),
            remaining,
            0,
            0,
            OptionalLong.empty());
    Optional<Upstream> upstream;
    try {
      upstream = dispatcher.place(exchange.route.name(), tried, request, 0);
    } catch (RequestFailedException e) {
      next.fail(e);
      return;
    }
    if (upstream.isEmpty()) {
      fail(RefusalReason.NO_UPSTREAM, "no upstream serves route " + exchange.route.name());
      return;
    }
    attempts++;
    tried.add(upstream.get().name());
    AttemptId id = exchange.id().attempt(attempts);
    long timeout = Math.min(remaining, exchange.route.timeoutMillis());
    dispatcher
        .client
        .call(
            upstream.get(),
            exchange.route.name(),
            id,
            exchange.request().body(),
            timeout,
            new Call(id, upstream.get()))
        .start();
  }

  private void ended(Call call) {
    boolean own = call.id.toString().equals(call.answeredAttempt);
    if (call.status < 500 && own && !call.tooLarge) {
      dispatcher.succeeded(call.upstream, 0);
      record(call, AttemptState.ACCEPTED, exchange.route.costMicros());
      exchange.answer = Answer.ofRoute(call.status, call.contentType, call.body.toByteArray());
      next.proceed();
      return;
    }
    broken(call, true);
  }

  private void broken(Call call, boolean wasOffered) {
    offered |= wasOffered;
    dispatcher.failed(call.upstream, 0);
    if (wasOffered) {
      record(call, AttemptState.FAILED, 0);
    }
    boolean repeatable = exchange.route.idempotent() || !offered;
    if (repeatable && attempts < MAX_ATTEMPTS && dispatcher.retries.tryRetry()) {
      attempt();
    } else {
      fail(RefusalReason.UPSTREAM_FAILED, "the upstream did not answer whole and in time");
    }
  }

  private void record(Call call, AttemptState state, long costMicros) {
    offered = true;
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
        offered
            ? RequestFailedException.unknown(reason, message)
            : RequestFailedException.notRun(reason, message));
  }

  private final class Call implements UpstreamListener {
    private final AttemptId id;
    private final Upstream upstream;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private String answeredAttempt;
    private String contentType;
    private boolean tooLarge;

    private Call(AttemptId id, Upstream upstream) {
      this.id = id;
      this.upstream = upstream;
    }

    @Override
    public void headers(int newStatus, HttpFields headers) {
      status = newStatus;
      answeredAttempt = headers.get(UpstreamClient.ATTEMPT_ID);
      contentType = headers.get(HttpHeader.CONTENT_TYPE);
    }

    @Override
    public void content(ByteBuffer bytes, Callback more) {
      tooLarge |= body.size() + bytes.remaining() > MAX_ANSWER_BYTES;
      byte[] part = new byte[bytes.remaining()];
      bytes.get(part);
      if (!tooLarge) {
        body.writeBytes(part);
      }
      more.succeeded();
    }

    @Override
    public void ended() {
      RouteRun.this.ended(this);
    }

    @Override
    public void failed(Throwable cause, boolean wasOffered) {
      broken(this, wasOffered);
    }
  }
}
