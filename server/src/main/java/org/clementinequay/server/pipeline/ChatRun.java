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
 * Runs the plan of one chat completion step by step. A failed attempt is retried on another
 * upstream as long as nothing was sent to the caller; after that its stream is resumed on the same
 * upstream.
 */
final class ChatRun implements ChatAttempt.Listener {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int MAX_ATTEMPTS_PER_STEP = 3;
  private static final int MAX_RESUMPTIONS = 2;
  private static final int DEFAULT_COMPLETION_TOKENS = 256;
  private static final int BYTES_PER_TOKEN = 4;

  private final Dispatcher dispatcher;
  private final Exchange exchange;
  private final Filter.Next next;
  private final ResponseWriter responseWriter;
  private final int expectedTokens;
  private final int estimatedPromptTokens;

  private final boolean rateAnswer;
  private int stepIndex;
  private long attemptStartedNanos;
  private long lastOutputNanos;
  private int attemptsInStep;
  private int resumptions;
  private int attemptNumber;
  private boolean mayHaveRun;
  private final Set<String> triedUpstreams = new HashSet<>();
  private boolean writePending;
  private Runnable afterPendingWrite;

  ChatRun(
      Dispatcher dispatcher, Exchange exchange, ResponseWriter responseWriter, Filter.Next next) {
    this.dispatcher = dispatcher;
    this.exchange = exchange;
    this.responseWriter = responseWriter;
    this.next = next;
    ObjectNode chat = exchange.request().chat();
    this.expectedTokens = chat.path("max_tokens").asInt(DEFAULT_COMPLETION_TOKENS);
    this.estimatedPromptTokens = exchange.request().body().length / BYTES_PER_TOKEN;
    this.rateAnswer = dispatcher.learning.shouldRate(exchange, dispatcher.configuration);
  }

  void start() {
    startAttempt();
  }

  private PlanStep currentStep() {
    return exchange.plan.get(stepIndex);
  }

  private void startAttempt() {
    long remainingMillis = remainingMillis();
    if (remainingMillis <= 0) {
      fail(RefusalReason.DEADLINE_EXCEEDED, "the deadline has passed");
      return;
    }
    ModelVersion version = currentStep().version();
    Optional<RefusalReason> refusal =
        VersionCheck.refusal(dispatcher.configuration, exchange, version);
    if (refusal.isPresent()) {
      skipStep(refusal.get(), "version " + version + " accepts no new requests");
      return;
    }
    PlacementRequest request =
        new PlacementRequest(
            dispatcher.clock.nanoTime(),
            exchange.requestClass.priority(),
            remainingMillis,
            estimatedPromptTokens,
            expectedTokens,
            affinityKey());
    Optional<Upstream> upstream;
    try {
      upstream = dispatcher.place(version.toString(), triedUpstreams, request, expectedTokens);
    } catch (RequestFailedException e) {
      failOverloaded(e);
      return;
    }
    if (upstream.isEmpty()) {
      skipStep(RefusalReason.NO_UPSTREAM, "no upstream is available for " + version + " now");
      return;
    }
    sendAttempt(upstream.get(), version, remainingMillis);
  }

  private void sendAttempt(Upstream upstream, ModelVersion version, long remainingMillis) {
    attemptsInStep++;
    attemptNumber++;
    attemptStartedNanos = dispatcher.clock.nanoTime();
    triedUpstreams.add(upstream.name());
    AttemptId id = exchange.id().attempt(attemptNumber);
    ChatAttempt attempt =
        new ChatAttempt(
            id,
            upstream,
            this,
            dispatcher.clock,
            collectsAnswer() || rateAnswer,
            !collectsAnswer(),
            0);
    byte[] body = ChatRequestBody.forUpstream(exchange.request().chat(), version);
    attempt.setCall(
        dispatcher.transport.createChatCall(
            upstream, id, priority(remainingMillis), body, remainingMillis, attempt));
    attempt.start();
  }

  private int priority(long remainingMillis) {
    return DispatchPriority.of(exchange.requestClass.priority(), remainingMillis);
  }

  private boolean collectsAnswer() {
    return currentStep().draft() || !exchange.request().stream();
  }

  /**
   * Returns the key by which requests of a conversation are placed on the same upstream: the first
   * message, which every request of the conversation repeats and which upstreams cache. A session
   * token cannot be the key, because every answer carries a new one.
   */
  private OptionalLong affinityKey() {
    String firstMessage = exchange.request().chat().path("messages").path(0).toString();
    return OptionalLong.of((exchange.account().name() + firstMessage).hashCode());
  }

  @Override
  public void onEvents(ChatAttempt attempt, ByteBuffer events, Callback callback) {
    synchronized (this) {
      writePending = true;
    }
    long now = dispatcher.clock.nanoTime();
    if (exchange.replyStarted) {
      dispatcher.streamGapListener.accept(exchange, now - lastOutputNanos);
    }
    lastOutputNanos = now;
    if (!exchange.replyStarted) {
      exchange.replyStarted = true;
      exchange.firstTokenNanos = now;
      responseWriter.beginStream(exchange, currentStep().version(), attemptNumber);
    }
    exchange
        .reply()
        .write(
            events,
            Callback.from(
                () -> {
                  callback.succeeded();
                  writeCompleted();
                },
                failure -> {
                  exchange.callerDisconnected = true;
                  callback.failed(failure);
                  writeCompleted();
                }));
  }

  /** Runs the action, which ends the attempt, once no write to the caller is pending. */
  private void runAfterWrite(Runnable action) {
    synchronized (this) {
      if (writePending) {
        afterPendingWrite = action;
        return;
      }
    }
    action.run();
  }

  private void writeCompleted() {
    Runnable deferredAction;
    synchronized (this) {
      writePending = false;
      deferredAction = afterPendingWrite;
      afterPendingWrite = null;
    }
    if (deferredAction != null) {
      deferredAction.run();
    }
  }

  @Override
  public void onComplete(ChatAttempt attempt) {
    runAfterWrite(() -> handleComplete(attempt));
  }

  private void handleComplete(ChatAttempt attempt) {
    dispatcher.recordSuccess(attempt.upstream, expectedTokens);
    dispatcher.learning.recordAnswer(exchange, currentStep().version(), attemptStartedNanos);
    if (resumptions == 0) {
      dispatcher.tracker.recordSpeed(
          attempt.upstream.name(),
          (int) attempt.completionTokens(),
          dispatcher.clock.nanoTime() - attempt.firstEventNanos());
    }
    if (currentStep().draft()) {
      rateDraft(attempt);
    } else {
      acceptAnswer(attempt);
    }
  }

  private void rateDraft(ChatAttempt attempt) {
    dispatcher.ratingQueue.rate(
        currentStep().version(),
        exchange.requestClassName(),
        ChatRequestBody.prompt(exchange),
        attempt.text(),
        score -> handleDraftRating(attempt, score));
  }

  /** Accepts or rejects a draft; one without a rating is rejected, as quality goes before cost. */
  private void handleDraftRating(ChatAttempt attempt, OptionalDouble score) {
    score.ifPresent(value -> dispatcher.learning.recordDraftRating(exchange, stepIndex, value));
    boolean accepted = score.isPresent() && score.getAsDouble() >= currentStep().acceptScore();
    if (accepted) {
      acceptAnswer(attempt);
      return;
    }
    record(attempt, AttemptState.REJECTED_DRAFT);
    advanceStep();
    startAttempt();
  }

  private void acceptAnswer(ChatAttempt attempt) {
    record(attempt, AttemptState.ACCEPTED);
    exchange.answer =
        Answer.ofChat(currentStep().version(), collectsAnswer() ? attempt.text() : null, attempt);
    // The text of a resumed attempt lacks its first part, so it is not rated.
    if (rateAnswer && resumptions == 0) {
      dispatcher.learning.rateReleased(exchange, stepIndex, attempt.text());
    }
    next.proceed();
  }

  @Override
  public void onFailure(ChatAttempt attempt, Throwable cause) {
    runAfterWrite(() -> handleFailure(attempt, cause));
  }

  private void handleFailure(ChatAttempt attempt, Throwable cause) {
    mayHaveRun |= attempt.maybeSent();
    logger.atInfo().log(
        "attempt %s on %s ended without a complete answer: %s",
        attempt.id, attempt.upstream.name(), cause);
    if (exchange.callerDisconnected) {
      dispatcher.recordAbandoned(attempt.upstream, expectedTokens);
      abortAttempt(attempt);
      record(attempt, AttemptState.CANCELLED);
      fail(RefusalReason.ANSWER_INCOMPLETE, "the caller closed the connection");
      return;
    }
    if (attempt.upstreamAtFault() && remainingMillis() > 0) {
      dispatcher.recordFailure(attempt.upstream, expectedTokens);
      dispatcher.learning.recordFailure(currentStep().version());
    } else {
      dispatcher.recordAbandoned(attempt.upstream, expectedTokens);
    }
    if (exchange.replyStarted) {
      resume(attempt);
      return;
    }
    abortAttempt(attempt);
    if (attempt.maybeSent()) {
      record(attempt, AttemptState.FAILED);
    }
    if (attemptsInStep >= MAX_ATTEMPTS_PER_STEP || !dispatcher.retryBudget.tryRetry()) {
      skipStep(RefusalReason.UPSTREAM_FAILED, "the upstreams failed to answer");
      return;
    }
    startAttempt();
  }

  /**
   * Resumes a stream that the caller has in part; only the engine that ran the attempt has the
   * rest.
   */
  private void resume(ChatAttempt attempt) {
    boolean canResume = resumptions < MAX_RESUMPTIONS && remainingMillis() > 0;
    if (!canResume
        || !dispatcher.retryBudget.tryRetry()
        || !dispatcher.health.tryStart(attempt.upstream.name())) {
      abortAttempt(attempt);
      record(attempt, AttemptState.FAILED);
      fail(RefusalReason.ANSWER_INCOMPLETE, "the stream was interrupted and could not be resumed");
      return;
    }
    resumptions++;
    dispatcher.tracker.recordStart(attempt.upstream.name(), expectedTokens);
    ChatAttempt resumed =
        new ChatAttempt(
            attempt.id,
            attempt.upstream,
            this,
            dispatcher.clock,
            false,
            true,
            attempt.nextSequence());
    resumed.setCall(
        dispatcher.transport.createResumeCall(
            attempt.upstream, attempt.id, attempt.nextSequence(), remainingMillis(), resumed));
    resumed.start();
  }

  private void abortAttempt(ChatAttempt attempt) {
    attempt.abort(new IOException("attempt aborted"));
    if (attempt.maybeSent()) {
      dispatcher.transport.cancel(attempt.upstream, attempt.id);
    }
  }

  /** Continues with the next step of the plan, or fails the request after the last step. */
  private void skipStep(RefusalReason reason, String message) {
    if (stepIndex + 1 < exchange.plan.size()) {
      advanceStep();
      startAttempt();
    } else {
      fail(reason, message);
    }
  }

  private void failOverloaded(RequestFailedException refusal) {
    if (mayHaveRun) {
      // An earlier attempt may have run, so the request as a whole cannot be reported as not-run.
      fail(refusal.reason(), refusal.getMessage());
    } else {
      next.fail(refusal);
    }
  }

  private void advanceStep() {
    stepIndex++;
    attemptsInStep = 0;
    triedUpstreams.clear();
  }

  private void record(ChatAttempt attempt, AttemptState state) {
    mayHaveRun = true;
    ModelVersion version = currentStep().version();
    long billedPromptTokens =
        attempt.promptTokens() > 0 ? attempt.promptTokens() : estimatedPromptTokens;
    long billedCompletionTokens = attempt.completionTokens();
    long cost =
        dispatcher
            .configuration
            .current()
            .flatMap(c -> c.document().version(version))
            .map((VersionSpec spec) -> spec.costMicros(billedPromptTokens, billedCompletionTokens))
            .orElse(0L);
    exchange.addAttempt(
        new BilledAttempt(
            attempt.id.number(),
            version.toString(),
            attempt.upstream.name(),
            state,
            billedPromptTokens,
            billedCompletionTokens,
            cost));
  }

  private void fail(RefusalReason reason, String message) {
    next.fail(
        mayHaveRun
            ? RequestFailedException.unknown(reason, message)
            : RequestFailedException.notRun(reason, message));
  }

  private long remainingMillis() {
    return (exchange.deadlineNanos - dispatcher.clock.nanoTime()) / 1_000_000;
  }
}
