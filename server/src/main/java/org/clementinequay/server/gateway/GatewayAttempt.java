package org.clementinequay.server.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
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
import org.eclipse.jetty.util.Callback;

/** One send of a request to one upstream. Its state is guarded by the run. */
final class GatewayAttempt implements UpstreamListener {
  /** Largest body of an answer that is not a stream, in bytes. */
  private static final int MAX_ANSWER_BYTES = 8 << 20;

  /** Events from which the pace of a stream is measured. */
  private static final int EVENTS_FOR_PACE = 4;

  /** Confidence of an answer that states none. */
  private static final int CERTAIN = 100;

  private static final int SERVER_ERROR = 500;

  /**
   * Statuses by which callers understand that the request has not run. Where the upstream did not
   * state that, they are not passed on.
   */
  private static final Set<Integer> PROMISES = Set.of(408, 429, 503);

  private final GatewayRun run;
  private final Gateway gateway;
  final UpstreamInstance instance;
  private final EngineSelector.Choice choice;
  private final long sentNanos;
  private final ByteArrayOutputStream collected = new ByteArrayOutputStream();
  UpstreamTransport.Call call;
  private AnswerHead head;
  private long firstEventNanos;
  private long firstEventId;
  private boolean released;
  boolean slow;
  private long progressNanos;

  GatewayAttempt(GatewayRun run, UpstreamInstance instance, EngineSelector.Choice choice) {
    this.run = run;
    this.gateway = run.gateway;
    this.sentNanos = gateway.clock.nanoTime();
    this.progressNanos = sentNanos;
    this.instance = instance;
    this.choice = choice;
  }

  void checkProgress(long nowNanos) {
    long silence = (nowNanos - progressNanos) / 1_000_000;
    long upstreamSilence = Math.min(age(), gateway.engines.silenceMillis(instance.id(), nowNanos));
    StallRule.Progress progress =
        new StallRule.Progress(
            firstEventNanos != 0,
            choice.prefillMillis(),
            gateway.engines.outstanding(instance.id()) > 1,
            silence,
            upstreamSilence);
    if (StallRule.isStalled(run.route, progress) && run.tryMove()) {
      moveOn("no progress for " + silence + " ms");
    }
  }

  private void heard() {
    progressNanos = gateway.clock.nanoTime();
    gateway.engines.recordReceived(instance.id(), progressNanos);
  }

  void release() {
    if (!released) {
      released = true;
      if (relaying()) {
        learnPace();
      }
      gateway.engines.recordEnd(instance.id(), choice.workMillis());
    }
  }

  private boolean active() {
    return !run.settled && run.current == this;
  }

  private boolean relaying() {
    return head != null && head.success() && run.route.kind().streaming();
  }

  @Override
  public void headers(int status, HttpFields headers) {
    synchronized (run) {
      if (!active()) {
        return;
      }
      heard();
      AnswerHead answer = gateway.protocol.decodeAnswer(status, headers);
      if (!belongs(answer)) {
        drop("answer to another request, or not authentic");
        return;
      }
      head = answer;
      if (relaying() && !run.committed && run.placement.hasLargerModel()) {
        escalate();
      }
    }
  }

  /** Asks the largest model instead if the answer is too unsure and another attempt is allowed. */
  private void escalate() {
    int confidence = head.confidence().orElse(CERTAIN);
    double askedFor = confidenceAskedFor();
    if (confidence >= askedFor || !run.tryRepeat(false)) {
      return;
    }
    run.log(
        "larger_model",
        "confidence",
        confidence,
        "asked_for",
        Math.round(askedFor),
        "model",
        run.placement.model().orElse(""));
    run.placement.useLargestModel();
    run.mayHaveRun = true;
    run.tried.clear();
    run.abandonCurrent("a larger model is asked");
    run.attempt();
  }

  /** A success must name the request and carry the upstream's authentication code. */
  private boolean belongs(AnswerHead answer) {
    if (answer.requestId().isEmpty()) {
      return !answer.success();
    }
    return answer.requestId().equals(run.request.id()) && (answer.sealed() || !answer.success());
  }

  private double confidenceAskedFor() {
    return EscalationRule.confidenceThreshold(
        new EscalationRule.Progress(
            run.route.latencyObjectiveMillis(),
            run.elapsedMillis(),
            age() - choice.prefillMillis(),
            run.placement.largestModelPromptMillis()));
  }

  /** Goes on at another upstream, for which the budget was taken. */
  private void moveOn(String why) {
    run.current = null;
    release();
    run.mayHaveRun = true;
    boolean ejected =
        run.route.kind().streaming() && gateway.health.recordUnreachable(instance.id());
    call.abandon(new IOException(why));
    run.placement.failed(instance);
    run.log(
        "stalled", "upstream", instance.id(), "reason", why, "ejected", ejected, "age_ms", age());
    run.events.discardPartialEvent();
    run.attempt();
  }

  private long age() {
    return (gateway.clock.nanoTime() - sentNanos) / 1_000_000;
  }

  /** Closes the connection and goes on as after a failure. */
  private void drop(String why) {
    call.abandon(new IOException(why));
    broken(why, true);
  }

  @Override
  public void content(ByteBuffer bytes, Callback next) {
    synchronized (run) {
      if (!active() || head == null) {
        bytes.position(bytes.limit());
        next.succeeded();
        return;
      }
      heard();
      if (!relaying()) {
        collect(bytes, next);
        return;
      }
      try {
        byte[] whole = run.events.feed(bytes);
        if (whole.length == 0) {
          next.succeeded();
          return;
        }
        relay(whole, next);
      } catch (CorruptStreamException e) {
        next.succeeded();
        drop(e.getMessage());
      }
    }
  }

  private void collect(ByteBuffer bytes, Callback next) {
    byte[] part = new byte[bytes.remaining()];
    bytes.get(part);
    next.succeeded();
    if (collected.size() + part.length > MAX_ANSWER_BYTES) {
      drop("the answer is longer than " + MAX_ANSWER_BYTES + " bytes");
      return;
    }
    collected.writeBytes(part);
  }

  private void relay(byte[] whole, Callback next) {
    if (firstEventNanos == 0) {
      firstEventNanos = gateway.clock.nanoTime();
      firstEventId = run.events.lastId();
    }
    if (!run.committed) {
      run.committed = true;
      run.firstEventNanos = firstEventNanos;
      run.log(
          "first_event",
          "upstream",
          instance.id(),
          "model",
          run.placement.model().orElse(""),
          "confidence",
          head.confidence().orElse(-1),
          "ms",
          run.elapsedMillis());
      run.reply.head(head.status(), head.returned());
    }
    run.reply.part(
        ByteBuffer.wrap(whole),
        Callback.from(
            next::succeeded,
            failure -> {
              next.succeeded();
              run.callerGone();
            }));
  }

  @Override
  public void ended() {
    synchronized (run) {
      if (!active()) {
        return;
      }
      if (head == null) {
        broken("no answer", true);
      } else if (relaying()) {
        streamEnded();
      } else {
        answerEnded();
      }
    }
  }

  private void streamEnded() {
    if (run.events.hasPartialEvent() || !run.committed) {
      broken("the stream ended inside an event", true);
      return;
    }
    succeeded();
    run.settle(head.status(), "none");
    run.log(
        "done",
        "upstream",
        instance.id(),
        "events",
        run.events.lastId(),
        "ms",
        run.elapsedMillis());
    run.reply.end();
  }

  private void answerEnded() {
    if (head.misdirected() || head.notRun()) {
      rejected();
    } else if (head.status() >= SERVER_ERROR || PROMISES.contains(head.status())) {
      serverFailed();
    } else {
      succeeded();
      run.settle(head.status(), "none");
      run.log(
          "done", "upstream", instance.id(), "status", head.status(), "ms", run.elapsedMillis());
      run.reply.whole(head.status(), head.returned(), collected.toByteArray());
    }
  }

  private void rejected() {
    run.current = null;
    release();
    run.log("rejected", "upstream", instance.id(), "status", head.status());
    if (head.misdirected()) {
      // Another process has the address; the listed one has ended and was not sent anything.
      gateway.health.recordUnreachable(instance.id());
      run.attempts--;
    } else {
      gateway.health.recordAbandoned(instance.id());
    }
    run.again(false, "the upstreams are full");
  }

  private void serverFailed() {
    run.current = null;
    release();
    run.mayHaveRun = true;
    gateway.health.recordSuccess(instance.id());
    observe(true);
    run.placement.failed(instance);
    run.log("upstream_failed", "upstream", instance.id(), "status", head.status());
    if (run.tryRepeat(true)) {
      run.attempt();
      return;
    }
    if (run.committed) {
      run.fail(GatewayRun.BAD_GATEWAY, "the upstream failed");
      return;
    }
    run.settle(head.status(), "upstream failed");
    if (PROMISES.contains(head.status())) {
      run.reply.whole(
          GatewayRun.BAD_GATEWAY,
          Refusals.headers(GatewayRun.BAD_GATEWAY, 0),
          Refusals.body("the upstream failed"));
    } else {
      run.reply.whole(head.status(), head.returned(), collected.toByteArray());
    }
  }

  private void succeeded() {
    run.current = null;
    release();
    run.mayHaveRun = true;
    run.rememberVersion(instance);
    gateway.health.recordSuccess(instance.id());
    observe(false);
  }

  /** Learns how fast the engine is, also from a stream that was broken off. */
  private void learnPace() {
    long generated = run.events.lastId() - firstEventId;
    long nanos = gateway.clock.nanoTime() - firstEventNanos;
    if (firstEventNanos == 0 || generated <= EVENTS_FOR_PACE) {
      return;
    }
    double pace =
        nanos / 1e6 / (generated * run.placement.tokensPerEvent()) / run.placement.weight();
    gateway.engines.recordTokenTime(instance.id(), pace);
    slow = gateway.slowAnswers.observe(run.service, pace, !ofTarget());
  }

  private boolean ofTarget() {
    return gateway
        .shift(run.service)
        .map(shift -> shift.order().target().equals(instance.version()))
        .orElse(false);
  }

  void observe(boolean failure) {
    if (!run.route.kind().streaming() && !failure) {
      double millis = (gateway.clock.nanoTime() - sentNanos) / 1e6;
      slow = gateway.slowAnswers.observe(run.route.name(), millis, !ofTarget());
    }
    gateway
        .shift(run.service)
        .ifPresent(
            shift ->
                shift.recordAnswer(
                    gateway.hostName, run.route.name(), instance.version(), failure, slow));
  }

  @Override
  public void failed(Throwable cause, boolean offered) {
    synchronized (run) {
      if (!active()) {
        return;
      }
      broken(Failures.summary(cause), offered);
    }
  }

  private void broken(String why, boolean offered) {
    run.current = null;
    release();
    run.mayHaveRun |= offered;
    if (!offered) {
      run.attempts--;
    }
    boolean ejected =
        offered
            ? gateway.health.recordFailure(instance.id())
            : gateway.health.recordUnreachable(instance.id());
    if (offered) {
      run.placement.failed(instance);
    }
    run.log(
        "broken",
        "upstream",
        instance.id(),
        "reason",
        why,
        "offered",
        offered,
        "ejected",
        ejected,
        "age_ms",
        age());
    run.events.discardPartialEvent();
    run.again(offered, "the upstream did not answer whole");
  }
}
