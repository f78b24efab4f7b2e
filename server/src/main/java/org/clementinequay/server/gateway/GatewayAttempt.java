package org.clementinequay.server.gateway;

import java.nio.ByteBuffer;
import org.clementinequay.core.cascade.EscalationRule;
import org.clementinequay.core.dispatch.AnswerBudget;
import org.clementinequay.core.dispatch.CorruptStreamException;
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
final class GatewayAttempt implements UpstreamListener, AnswerBudget.Holder {
  /**
   * Largest response body that is buffered, in bytes; streams are relayed without this limit. Some
   * dozens of such bodies fit into the heap of the smallest hosts.
   */
  private static final int MAX_BUFFERED_BODY_BYTES = 1 << 20;

  /** Bytes of an unfinished answer that are not counted: ordinary events take no lock. */
  private static final int MAX_UNCOUNTED_BYTES = 16 << 10;

  /** Length of a response body that states none. */
  private static final long UNKNOWN_LENGTH = -1;

  /** Confidence of a response that states none. */
  private static final int DEFAULT_CONFIDENCE = 100;

  private final RequestForwarder forwarder;
  private final Gateway gateway;
  final UpstreamInstance instance;
  private final EngineSelector.Choice choice;
  final long startedNanos;
  private final AnswerJudge judge;
  private final StreamRelay relay;
  private final SilenceStep silence;
  private final WholeBody bufferedBody = new WholeBody();
  UpstreamTransport.Call call;
  private ResponseHead head;

  /** Whether the body is relayed event by event. */
  private boolean relaying;

  /** Whether the body has a length or chunks, so that its end is not that of the connection. */
  private boolean framed;

  /** Length that the upstream states of the body, in bytes. */
  private long statedLength = UNKNOWN_LENGTH;

  private boolean released;
  private long countedBytes;

  /** Whether the upstream may have received the request. */
  boolean maybeSent;

  /** Whether this host held the request back, which says nothing about the upstream. */
  private boolean heldBack;

  boolean slow;

  GatewayAttempt(
      RequestForwarder forwarder, UpstreamInstance instance, EngineSelector.Choice choice) {
    this.forwarder = forwarder;
    this.gateway = forwarder.gateway;
    this.startedNanos = gateway.clock.nanoTime();
    this.instance = instance;
    this.choice = choice;
    this.judge = new AnswerJudge(forwarder.request, forwarder.route.kind());
    this.relay = new StreamRelay(forwarder, instance.id());
    this.silence = new SilenceStep(forwarder, instance, choice.prefillMillis(), relay);
  }

  /** Fails over to another upstream if this one is stalled and the budget allows a retry. */
  void checkProgress(long nowNanos) {
    if (forwarder.answerRoom.isWaiting()) {
      // This host holds the answer back.
      silence.recordReceived();
      return;
    }
    if (silence.isStalled(nowNanos) && forwarder.tryRetryElsewhere()) {
      failOver("no progress for " + silence.millis(nowNanos) + " ms");
    }
  }

  /** Removes the work of this attempt from the load of the engine; later calls have no effect. */
  void release() {
    if (!released) {
      released = true;
      if (relaying) {
        recordTokenTime();
      }
      gateway.engineSelector.recordEnd(choice);
      hold(0);
      forwarder.openCalls.add(gateway::recheckWaiting);
    }
  }

  private boolean isActive() {
    return !forwarder.finished && forwarder.current == this;
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
          if (isActive() && forwarder.admission.mustRefuseForStop()) {
            forwarder.refuseForStop();
          }
          maybeSent = isActive() && forwarder.placement.admits(instance);
          heldBack = !maybeSent;
          return maybeSent;
        });
  }

  @Override
  public void headers(int status, HttpFields headers) {
    forwarder.update(() -> handleHead(status, headers));
  }

  private void handleHead(int status, HttpFields headers) {
    ResponseHead response = gateway.protocol.decodeResponse(status, headers);
    if (response.leaving() && !response.misdirected()) {
      gateway.recordLeaving(instance);
    }
    if (!isActive()) {
      return;
    }
    silence.recordReceived();
    if (!AnswerJudge.hasFinalStatus(response)) {
      abandonAndFail("response with status " + status);
      return;
    }
    if (!judge.isOwn(response)) {
      abandonAndFail("response to another request, or without authentication code");
      return;
    }
    if (AnswerJudge.isEncoded(response, headers)) {
      abandonAndFail("encoded response, which no caller requests");
      return;
    }
    head = response;
    relaying = judge.isStream(response, forwarder.committed);
    statedLength = headers.getLongField(HttpHeader.CONTENT_LENGTH);
    framed =
        headers.contains(HttpHeader.CONTENT_LENGTH)
            || headers.contains(HttpHeader.TRANSFER_ENCODING);
    if (judge.isUnidentifiedRefusal(head)) {
      forwarder.history.recordMayHaveRun();
      forwarder.abortCall(this, "refusal without the id of the request");
      attemptRejected();
      return;
    }
    if (head.success()) {
      gateway.fullUpstreams.recordRoom(instance.id());
    }
    if (relaying && !forwarder.committed && forwarder.placement.hasLargerModel()) {
      escalate();
    }
  }

  /**
   * Replaces the attempt by one on the largest model if the confidence of the answer is too low and
   * another attempt is allowed. A request that runs at most once keeps its answer: the smaller
   * model has run it.
   */
  private void escalate() {
    int confidence = head.confidence().orElse(DEFAULT_CONFIDENCE);
    double required = requiredConfidence();
    if (confidence >= required || !forwarder.tryRetry()) {
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
    forwarder.history.recordMayHaveRun();
    forwarder.history.forgetTried();
    forwarder.abandonCurrent("a larger model is asked");
    forwarder.startAttempt();
  }

  private double requiredConfidence() {
    return EscalationRule.confidenceThreshold(
        new EscalationRule.Progress(
            forwarder.route.latencyObjectiveMillis(),
            forwarder.times.elapsedMillis(),
            ageMillis() - choice.prefillMillis(),
            forwarder.placement.largestModelPromptMillis()));
  }

  /** Continues on another upstream; the caller has taken a retry from the budget. */
  private void failOver(String reason) {
    forwarder.current = null;
    release();
    forwarder.history.recordMayHaveRun();
    boolean ejected = false;
    if (silence.isBusy()) {
      gateway.health.recordAbandoned(instance.id());
    } else if (forwarder.route.kind().streaming()) {
      ejected = gateway.health.recordUnreachable(instance.id());
    }
    if (!relay.begun()) {
      gateway.firstEventTimes.record(forwarder.service, ageMillis(), gateway.clock.nanoTime());
    }
    forwarder.abortCall(this, reason);
    forwarder.placement.recordFailure(instance);
    forwarder.history.recordSilent(instance.id());
    gateway.recordStalled(new StalledAttempt(instance, forwarder.route.name()));
    forwarder.log(
        "stalled",
        "upstream",
        instance.id(),
        "reason",
        reason,
        "evidence",
        silence.evidenceLabel(),
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
      boolean begun = relay.begun();
      boolean relayed = relay.relay(head, bytes, next);
      hold(forwarder.events.bufferBytes());
      if (relayed) {
        if (!begun) {
          gateway.firstEventTimes.record(forwarder.service, ageMillis(), gateway.clock.nanoTime());
        }
        silence.recordReceived();
      }
    } catch (CorruptStreamException e) {
      abandonAndFail(e.getMessage());
    }
  }

  private void bufferBody(ByteBuffer bytes, Callback next) {
    int length = bufferedBody.size() + bytes.remaining();
    if (Math.max(length, statedLength) > MAX_BUFFERED_BODY_BYTES) {
      bytes.position(bytes.limit());
      forwarder.openCalls.add(next::succeeded);
      abandonAndFail("the response body is longer than " + MAX_BUFFERED_BODY_BYTES + " bytes");
      return;
    }
    if (statedLength == UNKNOWN_LENGTH) {
      store(bytes, next);
      // The array may be twice as long.
      hold(2L * bufferedBody.size());
      return;
    }
    forwarder.answerRoom.whenTaken(statedLength, () -> store(bytes, next));
  }

  private void store(ByteBuffer bytes, Callback next) {
    if (isActive()) {
      bufferedBody.reserve((int) statedLength);
      byte[] part = new byte[bytes.remaining()];
      bytes.get(part);
      bufferedBody.writeBytes(part);
      forwarder.response.recordReceived(part.length);
    }
    forwarder.openCalls.add(next::succeeded);
  }

  /** Counts the bytes that this attempt holds of its answer, unless they are few. */
  private void hold(long bytes) {
    long counted = bytes > MAX_UNCOUNTED_BYTES ? bytes : 0;
    if (counted == countedBytes) {
      return;
    }
    countedBytes = counted;
    for (AnswerBudget.Holder other : gateway.answerBudget.resize(this, counted)) {
      // Others have locks of their own.
      forwarder.openCalls.add(other::giveWay);
    }
  }

  @Override
  public void giveWay() {
    forwarder.update(
        () -> {
          if (isActive()) {
            abandonAndFail("too much is held of unfinished answers");
          }
        });
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
      forwarder.answerRoom.whenTaken(bufferedBody.size(), this::responseEnded);
    }
  }

  private void streamEnded() {
    if (forwarder.events.hasPartialEvent()) {
      attemptFailed("the stream ended inside an event", true);
      return;
    }
    if (!relay.begun() && !statesThatNothingIsLeft()) {
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
        forwarder.times.elapsedMillis());
    if (forwarder.committed) {
      forwarder.openCalls.addInOrder(forwarder.response::end);
    } else {
      forwarder.sendComplete(head.status(), head.returned(), bufferedBody.bytes());
    }
  }

  /**
   * Returns whether an answer without an event ends a stream of which the caller has events. One
   * that ends with its connection does not: an upstream that stops behind the head looks the same.
   */
  private boolean statesThatNothingIsLeft() {
    return framed && head.status() == AnswerJudge.OK && forwarder.events.lastId() > 0;
  }

  private void responseEnded() {
    if (!isActive()) {
      return;
    }
    switch (judge.judge(head, forwarder.committed)) {
      case REJECTED -> attemptRejected();
      case FAILED -> upstreamFailed();
      case ANSWER -> responseComplete();
      default -> throw new IllegalStateException("unknown verdict");
    }
  }

  private void responseComplete() {
    attemptSucceeded();
    forwarder.finishComplete(head);
    forwarder.log(
        "done",
        "upstream",
        instance.id(),
        "status",
        head.status(),
        "ms",
        forwarder.times.elapsedMillis());
    forwarder.sendComplete(head.status(), head.returned(), bufferedBody.bytes());
  }

  private void attemptRejected() {
    forwarder.current = null;
    release();
    forwarder.log("rejected", "upstream", instance.id(), "status", head.status());
    if (head.misdirected()) {
      // Another process has the address now. The listed instance has ended and received nothing, so
      // this does not count as an attempt.
      gateway.health.recordUnreachable(instance.id());
      forwarder.history.recordMisdirected();
    } else {
      gateway.health.recordAbandoned(instance.id());
      forwarder.history.recordRejected(instance.id());
      gateway.fullUpstreams.recordFull(
          instance.id(), gateway.random.nextDouble(), gateway.clock.nanoTime());
    }
    forwarder.waiting.retryAfterRejection();
  }

  private void upstreamFailed() {
    forwarder.current = null;
    release();
    forwarder.history.recordMayHaveRun();
    gateway.health.recordSuccess(instance.id());
    recordOutcome(true);
    forwarder.placement.recordFailure(instance);
    forwarder.log("upstream_failed", "upstream", instance.id(), "status", head.status());
    if (forwarder.tryRetry()) {
      forwarder.startAttempt();
      return;
    }
    if (forwarder.committed) {
      forwarder.fail(ErrorResponses.BAD_GATEWAY, "the upstream failed");
      return;
    }
    forwarder.finish(head.status(), "upstream failed");
    if (AnswerJudge.promisesNotRun(head.status())) {
      forwarder.sendComplete(
          ErrorResponses.BAD_GATEWAY,
          ErrorResponses.headers(ErrorResponses.BAD_GATEWAY, 0),
          ErrorResponses.body("the upstream failed"));
    } else {
      forwarder.sendComplete(head.status(), head.returned(), bufferedBody.bytes());
    }
  }

  private void attemptSucceeded() {
    forwarder.current = null;
    release();
    forwarder.history.recordMayHaveRun();
    forwarder.recordSessionVersion(instance);
    gateway.health.recordSuccess(instance.id());
    recordOutcome(false);
    if (relay.begun()) {
      relay.recordBeginning();
      forwarder.placement.recordOutput(forwarder.events.lastId());
    }
  }

  /**
   * Records the engine's time per token, relative to the reference model, also of a stream that
   * broke off.
   */
  private void recordTokenTime() {
    double tokenMillis = relay.tokenMillis();
    if (Double.isNaN(tokenMillis)) {
      return;
    }
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

  /** Records a failure of the attempt and returns whether it ejected the upstream. */
  private boolean recordInHealth(boolean offered) {
    if (offered) {
      return gateway.health.recordFailure(instance.id());
    }
    if (heldBack) {
      gateway.health.recordAbandoned(instance.id());
      return false;
    }
    return gateway.health.recordUnreachable(instance.id());
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
    if (offered) {
      forwarder.history.recordMayHaveRun();
    } else {
      forwarder.history.recordNotSent();
    }
    boolean ejected = recordInHealth(offered);
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
        relay.begun(),
        "prompt",
        forwarder.sharedPartIds);
    if (offered && !relay.hasOutlivedBeginning()) {
      gateway.crashGuard.attemptBroken(instance, startedNanos, forwarder.sharedPartIds);
    }
    forwarder.events.discardPartialEvent();
    forwarder.retryOrFail("the upstream did not answer whole");
  }
}
