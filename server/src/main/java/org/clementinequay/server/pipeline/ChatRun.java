package org.clementinequay.server.pipeline;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import org.clementinequay.core.AttemptId;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.RequestFailedException;
import org.clementinequay.core.billing.AttemptState;
import org.clementinequay.core.billing.BilledAttempt;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.core.config.VersionSpec;
import org.clementinequay.core.placement.DispatchPriority;
import org.clementinequay.core.placement.PlacementRequest;
import org.eclipse.jetty.util.Callback;

/**
 * Runs the plan of one chat completion: step after step, each with retries on other upstreams while
 * nothing was released to the caller, and with a resumption of the stream afterwards.
 */
final class ChatRun implements ChatAttempt.Owner {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_ATTEMPTS_PER_STEP = 3;
  private static final int MAX_RESUMPTIONS = 2;
  private static final int DEFAULT_COMPLETION_TOKENS = 256;
  private static final int CHARS_PER_TOKEN = 4;

  private final Dispatcher dispatcher;
  private final Exchange exchange;
  private final Filter.Next next;
  private final ResponseWriter replies;
  private final int expectedTokens;
  private final int promptTokens;

  private final boolean sampled;
  private int stepIndex;
  private long attemptStartedNanos;
  private long lastOutputNanos;
  private int triesInStep;
  private int resumptions;
  private int attemptNumber;
  private boolean offered;
  private final Set<String> triedUpstreams = new HashSet<>();
  private boolean writing;
  private Runnable afterWrite;

  ChatRun(Dispatcher dispatcher, Exchange exchange, ResponseWriter replies, Filter.Next next) {
    this.dispatcher = dispatcher;
    this.exchange = exchange;
    this.replies = replies;
    this.next = next;
    ObjectNode chat = exchange.request().chat();
    this.expectedTokens = chat.path("max_tokens").asInt(DEFAULT_COMPLETION_TOKENS);
    this.promptTokens = exchange.request().body().length / CHARS_PER_TOKEN;
    this.sampled = dispatcher.learning.sampled(exchange, dispatcher.configuration);
  }

  void start() {
    attempt();
  }

  private PlanStep step() {
    return exchange.plan.get(stepIndex);
  }

  private void attempt() {
    long remaining = remainingMillis();
    if (remaining <= 0) {
      fail(RefusalReason.DEADLINE_EXCEEDED, "the deadline passed");
      return;
    }
    ModelVersion version = step().version();
    Optional<RefusalReason> refusal =
        VersionCheck.refusal(dispatcher.configuration, exchange, version);
    if (refusal.isPresent()) {
      skipStep(refusal.get(), "version " + version + " takes no new work");
      return;
    }
    PlacementRequest request =
        new PlacementRequest(
            dispatcher.clock.nanoTime(),
            exchange.requestClass.priority(),
            remaining,
            promptTokens,
            expectedTokens,
            affinityKey());
    Optional<Upstream> upstream;
    try {
      upstream = dispatcher.place(version.toString(), triedUpstreams, request, expectedTokens);
    } catch (RequestFailedException e) {
      shed(e);
      return;
    }
    if (upstream.isEmpty()) {
      skipStep(RefusalReason.NO_UPSTREAM, "no upstream serves " + version + " now");
      return;
    }
    send(upstream.get(), version, remaining);
  }

  private void send(Upstream upstream, ModelVersion version, long remaining) {
    triesInStep++;
    attemptNumber++;
    attemptStartedNanos = dispatcher.clock.nanoTime();
    triedUpstreams.add(upstream.name());
    AttemptId id = exchange.id().attempt(attemptNumber);
    ChatAttempt attempt =
        new ChatAttempt(
            id, upstream, this, dispatcher.clock, collects() || sampled, !collects(), 0);
    byte[] body = ChatBody.forUpstream(exchange.request().chat(), version);
    attempt.call(
        dispatcher.client.complete(upstream, id, priority(remaining), body, remaining, attempt));
    attempt.start();
  }

  private int priority(long remainingMillis) {
    return DispatchPriority.of(exchange.requestClass.priority(), remainingMillis);
  }

  private boolean collects() {
    return step().draft() || !exchange.request().stream();
  }

  /**
   * Affinity by the start of the conversation, which a session repeats with every request and which
   * upstreams cache. A session token would not do: it is renewed with every answer.
   */
  private OptionalLong affinityKey() {
    String start = exchange.request().chat().path("messages").path(0).toString();
    return OptionalLong.of((exchange.account().name() + start).hashCode());
  }

  @Override
  public void output(ChatAttempt attempt, ByteBuffer events, Callback callback) {
    synchronized (this) {
      writing = true;
    }
    long now = dispatcher.clock.nanoTime();
    if (exchange.replyStarted) {
      dispatcher.gaps.accept(exchange, now - lastOutputNanos);
    }
    lastOutputNanos = now;
    if (!exchange.replyStarted) {
      exchange.replyStarted = true;
      exchange.firstTokenNanos = now;
      replies.beginStream(exchange, step().version(), attemptNumber);
    }
    exchange
        .reply()
        .write(
            events,
            Callback.from(
                () -> {
                  callback.succeeded();
                  written();
                },
                failure -> {
                  exchange.callerGone = true;
                  callback.failed(failure);
                  written();
                }));
  }

  /** Defers an end that arrives while a write to the caller is pending. */
  private void whenIdle(Runnable action) {
    synchronized (this) {
      if (writing) {
        afterWrite = action;
        return;
      }
    }
    action.run();
  }

  private void written() {
    Runnable deferred;
    synchronized (this) {
      writing = false;
      deferred = afterWrite;
      afterWrite = null;
    }
    if (deferred != null) {
      deferred.run();
    }
  }

  @Override
  public void whole(ChatAttempt attempt) {
    whenIdle(() -> finishWhole(attempt));
  }

  private void finishWhole(ChatAttempt attempt) {
    dispatcher.succeeded(attempt.upstream, expectedTokens);
    dispatcher.learning.answered(exchange, step().version(), attemptStartedNanos);
    if (resumptions == 0) {
      dispatcher.tracker.recordSpeed(
          attempt.upstream.name(),
          (int) attempt.completionTokens(),
          dispatcher.clock.nanoTime() - attempt.firstEventNanos());
    }
    if (step().draft()) {
      rateDraft(attempt);
    } else {
      accept(attempt);
    }
  }

  private void rateDraft(ChatAttempt attempt) {
    dispatcher.ratings.rate(
        step().version(),
        exchange.requestClassName(),
        ChatBody.prompt(exchange),
        attempt.text(),
        score -> draftRated(attempt, score));
  }

  /** A draft without a rating counts as rejected: quality goes before cost. */
  private void draftRated(ChatAttempt attempt, OptionalDouble score) {
    score.ifPresent(value -> dispatcher.learning.draftRated(exchange, stepIndex, value));
    boolean accepted = score.isPresent() && score.getAsDouble() >= step().acceptScore();
    if (accepted) {
      accept(attempt);
      return;
    }
    record(attempt, AttemptState.REJECTED_DRAFT);
    nextStep();
    attempt();
  }

  private void accept(ChatAttempt attempt) {
    record(attempt, AttemptState.ACCEPTED);
    exchange.answer = Answer.ofChat(step().version(), collects() ? attempt.text() : null, attempt);
    // A resumed stream lacks its first part, so it is not rated.
    if (sampled && resumptions == 0) {
      dispatcher.learning.rateReleased(exchange, stepIndex, attempt.text());
    }
    next.proceed();
  }

  @Override
  public void broken(ChatAttempt attempt, Throwable cause) {
    whenIdle(() -> finishBroken(attempt, cause));
  }

  private void finishBroken(ChatAttempt attempt, Throwable cause) {
    offered |= attempt.offered();
    logger.atInfo().log(
        "attempt %s on %s ended without its answer: %s",
        attempt.id, attempt.upstream.name(), cause);
    if (exchange.callerGone) {
      dispatcher.abandoned(attempt.upstream, expectedTokens);
      stop(attempt);
      record(attempt, AttemptState.CANCELLED);
      fail(RefusalReason.ANSWER_INCOMPLETE, "the caller closed the connection");
      return;
    }
    if (attempt.upstreamAtFault() && remainingMillis() > 0) {
      dispatcher.failed(attempt.upstream, expectedTokens);
      dispatcher.learning.failed(step().version());
    } else {
      dispatcher.abandoned(attempt.upstream, expectedTokens);
    }
    if (exchange.replyStarted) {
      resume(attempt);
      return;
    }
    stop(attempt);
    if (attempt.offered()) {
      record(attempt, AttemptState.FAILED);
    }
    if (triesInStep >= MAX_ATTEMPTS_PER_STEP || !dispatcher.retries.tryRetry()) {
      skipStep(RefusalReason.UPSTREAM_FAILED, "upstreams failed to answer");
      return;
    }
    attempt();
  }

  /** Continues a stream of which the caller has a part; only its own engine has the rest. */
  private void resume(ChatAttempt attempt) {
    boolean may = resumptions < MAX_RESUMPTIONS && remainingMillis() > 0;
    if (!may
        || !dispatcher.retries.tryRetry()
        || !dispatcher.health.tryStart(attempt.upstream.name())) {
      stop(attempt);
      record(attempt, AttemptState.FAILED);
      fail(RefusalReason.ANSWER_INCOMPLETE, "the answer broke off and could not be resumed");
      return;
    }
    resumptions++;
    dispatcher.tracker.recordStart(attempt.upstream.name(), expectedTokens);
    ChatAttempt rest =
        new ChatAttempt(
            attempt.id,
            attempt.upstream,
            this,
            dispatcher.clock,
            false,
            true,
            attempt.nextSequence());
    rest.call(
        dispatcher.client.resume(
            attempt.upstream, attempt.id, attempt.nextSequence(), remainingMillis(), rest));
    rest.start();
  }

  private void stop(ChatAttempt attempt) {
    attempt.abandon(new IOException("attempt abandoned"));
    if (attempt.offered()) {
      dispatcher.client.cancel(attempt.upstream, attempt.id);
    }
  }

  /** Goes on with the next step if this one cannot run; the last one fails the request. */
  private void skipStep(RefusalReason reason, String message) {
    if (stepIndex + 1 < exchange.plan.size()) {
      nextStep();
      attempt();
    } else {
      fail(reason, message);
    }
  }

  private void shed(RequestFailedException refusal) {
    if (offered) {
      // An earlier step ran, so that the request as a whole cannot be reported as not-run.
      fail(refusal.reason(), refusal.getMessage());
    } else {
      next.fail(refusal);
    }
  }

  private void nextStep() {
    stepIndex++;
    triesInStep = 0;
    triedUpstreams.clear();
  }

  private void record(ChatAttempt attempt, AttemptState state) {
    offered = true;
    ModelVersion version = step().version();
    long prompt = attempt.promptTokens() > 0 ? attempt.promptTokens() : promptTokens;
    long completion = attempt.completionTokens();
    long cost =
        dispatcher
            .configuration
            .current()
            .flatMap(c -> c.document().version(version))
            .map((VersionSpec spec) -> spec.costMicros(prompt, completion))
            .orElse(0L);
    exchange.addAttempt(
        new BilledAttempt(
            attempt.id.number(),
            version.toString(),
            attempt.upstream.name(),
            state,
            prompt,
            completion,
            cost));
  }

  private void fail(RefusalReason reason, String message) {
    next.fail(
        offered
            ? RequestFailedException.unknown(reason, message)
            : RequestFailedException.notRun(reason, message));
  }

  private long remainingMillis() {
    return (exchange.deadlineNanos - dispatcher.clock.nanoTime()) / 1_000_000;
  }
}
