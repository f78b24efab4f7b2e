package org.clementinequay.server.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.Set;
import org.clementinequay.core.cascade.EscalationRule;
import org.clementinequay.core.dispatch.CorruptStreamException;
import org.clementinequay.core.dispatch.StallRule;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.placement.EngineSelector;
import org.clementinequay.server.upstream.UpstreamListener;
import org.clementinequay.server.upstream.UpstreamTransport;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.util.Callback;

/**
 * One attempt to get a response to a request from one upstream. Its state is guarded by the lock of
 * the forwarder.
 */
final class GatewayAttempt implements UpstreamListener {
  /**
   * Largest response body that is buffered, in bytes; streams are relayed without this limit. Some
   * dozens of such bodies fit into the heap of the smallest hosts.
   */
  private static final int MAX_BUFFERED_BODY_BYTES = 1 << 20;

  /** Number of events that a stream must exceed before its time per token is measured. */
  private static final int TOKEN_TIME_EVENT_THRESHOLD = 4;

  /** Confidence of a response that states none. */
  private static final int DEFAULT_CONFIDENCE = 100;

  private static final int OK = 200;
  private static final int SERVER_ERROR = 500;

  /**
   * Time after the first event from which the upstream has outlived the beginning of the answer, in
   * nanoseconds.
   */
  private static final long BEGINNING_NANOS = 300_000_000L;

  /**
   * Statuses from which callers conclude that the request has not run. They are not passed on
   * unless the upstream stated so explicitly.
   */
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 429, 503);

  private final RequestForwarder forwarder;
  private final Gateway gateway;
  final UpstreamInstance instance;
  private final EngineSelector.Choice choice;
  final long startedNanos;
  private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream();
  UpstreamTransport.Call call;
  private ResponseHead head;

  /** Whether the body is relayed event by event. */
  private boolean relaying;

  /** Whether the body has a length or chunks, so that its end is not that of the connection. */
  private boolean framed;

  private long firstEventNanos;
  private long firstEventId;
  private boolean released;

  /** Whether the upstream may have received the request. */
  boolean maybeSent;

  boolean slow;
  private long lastReceivedNanos;
  private boolean answerBegunRecorded;

  GatewayAttempt(
      RequestForwarder forwarder, UpstreamInstance instance, EngineSelector.Choice choice) {
    this.forwarder = forwarder;
    this.gateway = forwarder.gateway;
    this.startedNanos = gateway.clock.nanoTime();
    this.lastReceivedNanos = startedNanos;
    this.instance = instance;
    this.choice = choice;
  }

  /** Fails over to another upstream if this one is stalled and the budget allows a retry. */
  void checkProgress(long nowNanos) {
    long silenceMillis = (nowNanos - lastReceivedNanos) / 1_000_000;
    long upstreamSilenceMillis =
        Math.min(ageMillis(), gateway.engineSelector.silenceMillis(instance.id(), nowNanos));
    StallRule.Progress progress =
        new StallRule.Progress(
            firstEventNanos != 0,
            choice.prefillMillis(),
            gateway.engineSelector.outstanding(instance.id()) > 1,
            silenceMillis,
            upstreamSilenceMillis);
    if (StallRule.isStalled(forwarder.route, progress) && forwarder.tryRetryElsewhere()) {
      failOver("no progress for " + silenceMillis + " ms");
    }
  }

  /**
   * Records progress: the head of a response or a new complete event. Other bytes are none, because
   * an upstream in trouble may send bytes without end that are no answer.
   */
  private void recordReceived() {
    lastReceivedNanos = gateway.clock.nanoTime();
    gateway.engineSelector.recordReceived(instance.id(), lastReceivedNanos);
  }

  /** Removes the work of this attempt from the load of the engine; later calls have no effect. */
  void release() {
    if (!released) {
      released = true;
      if (relaying) {
        recordTokenTime();
      }
      gateway.engineSelector.recordEnd(choice);
    }
  }

  private boolean isActive() {
    return !forwarder.finished && forwarder.current == this;
  }

  /** Returns whether a response is a stream of events; a stream that has begun takes only 200. */
  private boolean isStream(ResponseHead response) {
    return forwarder.route.kind().streaming()
        && (forwarder.committed ? response.status() == OK : response.success());
  }

  /**
   * Returns false, so that nothing is sent, if the caller or the upstream left while the request
   * waited for a connection, or if this host stops and the time left has become too short.
   */
  @Override
  public boolean isStillNeeded() {
    return forwarder.openCalls.update(
        () -> {
          if (isActive() && forwarder.response.isDisconnected()) {
            forwarder.callerDisconnected();
          }
          if (isActive() && forwarder.mustRefuseForStop()) {
            forwarder.refuseForStop();
          }
          maybeSent = isActive() && gateway.accepts(instance);
          return maybeSent;
        });
  }

  @Override
  public void headers(int status, HttpFields headers) {
    forwarder.update(() -> handleHead(status, headers));
  }

  private void handleHead(int status, HttpFields headers) {
    if (!isActive()) {
      return;
    }
    recordReceived();
    ResponseHead response = gateway.protocol.decodeResponse(status, headers);
    if (!isValid(response)) {
      abandonAndFail("response to another request, or without authentication code");
      return;
    }
    if (response.success() && headers.contains(HttpHeader.CONTENT_ENCODING)) {
      abandonAndFail("encoded response, which no caller requests");
      return;
    }
    head = response;
    relaying = isStream(response);
    framed =
        headers.contains(HttpHeader.CONTENT_LENGTH)
            || headers.contains(HttpHeader.TRANSFER_ENCODING);
    if (isUnidentifiedRefusal()) {
      forwarder.mayHaveRun = true;
      forwarder.abortCall(this, "refusal without the id of the request");
      attemptRejected();
      return;
    }
    if (relaying && !forwarder.committed && forwarder.placement.hasLargerModel()) {
      escalate();
    }
  }

  /**
   * Replaces the attempt by one on the largest model if the confidence of the answer is too low and
   * another attempt is allowed.
   */
  private void escalate() {
    int confidence = head.confidence().orElse(DEFAULT_CONFIDENCE);
    double required = requiredConfidence();
    if (confidence >= required || !forwarder.tryRetry(AttemptEnd.NOT_RUN)) {
      return;
    }
    forwarder.log(
        "larger_model",
        "confidence",
        confidence,
        "asked_for",
        Math.round(required),
        "model",
        forwarder.placement.model().orElse(""));
    forwarder.placement.useLargestModel();
    forwarder.mayHaveRun = true;
    forwarder.triedIds.clear();
    forwarder.abandonCurrent("a larger model is asked");
    forwarder.startAttempt();
  }

  /**
   * Returns whether a response belongs to this request: a success must repeat the id of the request
   * and have the upstream's authentication code.
   */
  private boolean isValid(ResponseHead response) {
    if (response.requestId().isEmpty()) {
      return !response.success();
    }
    return response.requestId().equals(forwarder.request.id())
        && (response.sealed() || !response.success());
  }

  /**
   * Returns whether a refusal on a connection that had other requests before lacks the id of the
   * request. A faulty upstream may have repeated an earlier refusal there, and run this request.
   */
  private boolean isUnidentifiedRefusal() {
    return (head.misdirected() || head.notRun())
        && head.requestId().isEmpty()
        && forwarder.route.kind().retryable();
  }

  private double requiredConfidence() {
    return EscalationRule.confidenceThreshold(
        new EscalationRule.Progress(
            forwarder.route.latencyObjectiveMillis(),
            forwarder.elapsedMillis(),
            ageMillis() - choice.prefillMillis(),
            forwarder.placement.largestModelPromptMillis()));
  }

  /** Continues on another upstream; the caller has taken a retry from the budget. */
  private void failOver(String reason) {
    forwarder.current = null;
    release();
    forwarder.mayHaveRun = true;
    boolean ejected =
        forwarder.route.kind().streaming() && gateway.health.recordUnreachable(instance.id());
    forwarder.abortCall(this, reason);
    forwarder.placement.recordFailure(instance);
    forwarder.recordSilent(instance);
    gateway.recordStalled(new StalledAttempt(instance, forwarder.route.name()));
    forwarder.log(
        "stalled",
        "upstream",
        instance.id(),
        "reason",
        reason,
        "ejected",
        ejected,
        "age_ms",
        ageMillis());
    forwarder.events.discardPartialEvent();
    forwarder.startAttempt();
  }

  private long ageMillis() {
    return (gateway.clock.nanoTime() - startedNanos) / 1_000_000;
  }

  /** Closes the connection and handles the attempt as failed after the request was sent. */
  private void abandonAndFail(String reason) {
    forwarder.abortCall(this, reason);
    attemptFailed(reason, true);
  }

  @Override
  public void content(ByteBuffer bytes, Callback next) {
    forwarder.update(() -> handleContent(bytes, next));
  }

  private void handleContent(ByteBuffer bytes, Callback next) {
    if (!isActive() || head == null) {
      bytes.position(bytes.limit());
      forwarder.openCalls.add(next::succeeded);
      return;
    }
    if (!relaying) {
      bufferBody(bytes, next);
      return;
    }
    try {
      byte[] completeEvents = forwarder.events.feed(bytes);
      if (completeEvents.length == 0) {
        forwarder.openCalls.add(next::succeeded);
        return;
      }
      recordReceived();
      relay(completeEvents, next);
      if (isAnswerBegun()) {
        recordAnswerBegun();
      }
    } catch (CorruptStreamException e) {
      forwarder.openCalls.add(next::succeeded);
      abandonAndFail(e.getMessage());
    }
  }

  private void bufferBody(ByteBuffer bytes, Callback next) {
    byte[] part = new byte[bytes.remaining()];
    bytes.get(part);
    forwarder.openCalls.add(next::succeeded);
    if (bufferedBody.size() + part.length > MAX_BUFFERED_BODY_BYTES) {
      abandonAndFail("the response body is longer than " + MAX_BUFFERED_BODY_BYTES + " bytes");
      return;
    }
    bufferedBody.writeBytes(part);
  }

  /** Returns whether the upstream has outlived the beginning of the answer. */
  private boolean isAnswerBegun() {
    return firstEventNanos != 0 && gateway.clock.nanoTime() - firstEventNanos >= BEGINNING_NANOS;
  }

  private void recordAnswerBegun() {
    if (!answerBegunRecorded) {
      answerBegunRecorded = true;
      gateway.crashGuard.answerBegun(forwarder.service, forwarder.sharedPartIds);
    }
  }

  private void relay(byte[] completeEvents, Callback next) {
    if (firstEventNanos == 0) {
      firstEventNanos = gateway.clock.nanoTime();
      firstEventId = forwarder.events.lastId();
    }
    if (!forwarder.committed) {
      forwarder.committed = true;
      forwarder.firstEventNanos = firstEventNanos;
      forwarder.log(
          "first_event",
          "upstream",
          instance.id(),
          "model",
          forwarder.placement.model().orElse(""),
          "confidence",
          head.confidence().orElse(-1),
          "ms",
          forwarder.elapsedMillis());
      ResponseHead first = head;
      forwarder.openCalls.addInOrder(
          () -> forwarder.response.sendHead(first.status(), first.returned()));
    }
    Callback sent =
        Callback.from(
            next::succeeded,
            failure -> {
              next.succeeded();
              forwarder.callerDisconnected();
            });
    forwarder.openCalls.addInOrder(
        () -> forwarder.response.sendPart(ByteBuffer.wrap(completeEvents), sent));
  }

  @Override
  public void ended() {
    forwarder.update(() -> handleEnd());
  }

  private void handleEnd() {
    if (!isActive()) {
      return;
    }
    if (head == null) {
      attemptFailed("the connection ended before the response head", true);
    } else if (relaying) {
      streamEnded();
    } else {
      responseEnded();
    }
  }

  private void streamEnded() {
    if (forwarder.events.hasPartialEvent()) {
      attemptFailed("the stream ended inside an event", true);
      return;
    }
    if (firstEventId == 0 && !statesThatNothingIsLeft()) {
      attemptFailed("the stream ended before its first event", true);
      return;
    }
    attemptSucceeded();
    forwarder.finishComplete(head);
    forwarder.log(
        "done",
        "upstream",
        instance.id(),
        "events",
        forwarder.events.lastId(),
        "ms",
        forwarder.elapsedMillis());
    if (forwarder.committed) {
      forwarder.openCalls.addInOrder(forwarder.response::end);
    } else {
      forwarder.sendComplete(head.status(), head.returned(), bufferedBody.toByteArray());
    }
  }

  /**
   * Returns whether an answer without an event ends a stream of which the caller has events. One
   * that ends with its connection does not: an upstream that stops behind the head looks the same.
   */
  private boolean statesThatNothingIsLeft() {
    return framed && head.status() == OK && forwarder.events.lastId() > 0;
  }

  private void responseEnded() {
    if (head.misdirected() || head.notRun()) {
      attemptRejected();
    } else if (forwarder.committed
        || head.status() >= SERVER_ERROR
        || NOT_RUN_STATUSES.contains(head.status())) {
      // Once a stream has begun, the caller can take no response but its rest.
      upstreamFailed();
    } else {
      attemptSucceeded();
      forwarder.finishComplete(head);
      forwarder.log(
          "done",
          "upstream",
          instance.id(),
          "status",
          head.status(),
          "ms",
          forwarder.elapsedMillis());
      forwarder.sendComplete(head.status(), head.returned(), bufferedBody.toByteArray());
    }
  }

  private void attemptRejected() {
    forwarder.current = null;
    release();
    forwarder.log("rejected", "upstream", instance.id(), "status", head.status());
    if (head.misdirected()) {
      // Another process has the address now. The listed instance has ended and received nothing, so
      // this does not count as an attempt.
      gateway.health.recordUnreachable(instance.id());
      forwarder.attempts--;
    } else {
      gateway.health.recordAbandoned(instance.id());
      forwarder.recordRejected();
    }
    forwarder.retryOrFail(AttemptEnd.NOT_RUN, "the upstreams are full");
  }

  private void upstreamFailed() {
    forwarder.current = null;
    release();
    forwarder.mayHaveRun = true;
    gateway.health.recordSuccess(instance.id());
    recordOutcome(true);
    forwarder.placement.recordFailure(instance);
    forwarder.log("upstream_failed", "upstream", instance.id(), "status", head.status());
    if (forwarder.tryRetry(AttemptEnd.MAY_HAVE_RUN)) {
      forwarder.startAttempt();
      return;
    }
    if (forwarder.committed) {
      forwarder.fail(RequestForwarder.BAD_GATEWAY, "the upstream failed");
      return;
    }
    forwarder.finish(head.status(), "upstream failed");
    if (NOT_RUN_STATUSES.contains(head.status())) {
      forwarder.sendComplete(
          RequestForwarder.BAD_GATEWAY,
          ErrorResponses.headers(RequestForwarder.BAD_GATEWAY, 0),
          ErrorResponses.body("the upstream failed"));
    } else {
      forwarder.sendComplete(head.status(), head.returned(), bufferedBody.toByteArray());
    }
  }

  private void attemptSucceeded() {
    forwarder.current = null;
    release();
    forwarder.mayHaveRun = true;
    forwarder.recordSessionVersion(instance);
    gateway.health.recordSuccess(instance.id());
    recordOutcome(false);
    if (firstEventNanos != 0) {
      recordAnswerBegun();
      forwarder.placement.recordOutput(forwarder.events.lastId());
    }
  }

  /**
   * Records the engine's time per token, relative to the reference model, also of a stream that
   * broke off.
   */
  private void recordTokenTime() {
    long generated = forwarder.events.lastId() - firstEventId;
    long nanos = gateway.clock.nanoTime() - firstEventNanos;
    if (firstEventNanos == 0 || generated <= TOKEN_TIME_EVENT_THRESHOLD) {
      return;
    }
    double tokenMillis =
        nanos
            / 1e6
            / (generated * forwarder.placement.tokensPerEvent())
            / forwarder.placement.weight();
    gateway.engineSelector.recordTokenTime(instance.id(), tokenMillis);
    slow = gateway.slowAnswers.observe(forwarder.service, tokenMillis, !isTargetVersion());
  }

  private boolean isTargetVersion() {
    return gateway
        .shift(forwarder.service)
        .map(shift -> shift.order().target().equals(instance.version()))
        .orElse(false);
  }

  void recordOutcome(boolean failure) {
    if (!forwarder.route.kind().streaming() && !failure) {
      double millis = (gateway.clock.nanoTime() - startedNanos) / 1e6;
      slow = gateway.slowAnswers.observe(forwarder.route.name(), millis, !isTargetVersion());
    }
    gateway
        .shift(forwarder.service)
        .ifPresent(
            shift ->
                shift.recordAnswer(
                    gateway.hostName, forwarder.route.name(), instance.version(), failure, slow));
  }

  @Override
  public void failed(Throwable cause, boolean offered) {
    forwarder.update(() -> handleFailure(cause, offered));
  }

  private void handleFailure(Throwable cause, boolean offered) {
    if (!isActive()) {
      return;
    }
    attemptFailed(Failures.summary(cause), offered);
  }

  private void attemptFailed(String reason, boolean offered) {
    forwarder.current = null;
    release();
    forwarder.mayHaveRun |= offered;
    if (!offered) {
      forwarder.attempts--;
    }
    boolean ejected =
        offered
            ? gateway.health.recordFailure(instance.id())
            : gateway.health.recordUnreachable(instance.id());
    if (offered) {
      forwarder.placement.recordFailure(instance);
    }
    forwarder.log(
        "broken",
        "upstream",
        instance.id(),
        "reason",
        reason,
        "offered",
        offered,
        "ejected",
        ejected,
        "age_ms",
        ageMillis(),
        "answer_begun",
        head != null,
        "first_event_received",
        firstEventNanos != 0,
        "prompt",
        forwarder.sharedPartIds);
    if (offered && !isAnswerBegun()) {
      gateway.crashGuard.attemptBroken(instance, startedNanos, forwarder.sharedPartIds);
    }
    forwarder.events.discardPartialEvent();
    forwarder.retryOrFail(
        offered ? AttemptEnd.MAY_HAVE_RUN : AttemptEnd.NOT_SENT,
        "the upstream did not answer whole");
  }
}
