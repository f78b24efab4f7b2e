package org.clementinequay.server.pipeline;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.random.RandomGenerator;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.cascade.CascadePlan;
import org.clementinequay.core.cascade.CascadePlanner;
import org.clementinequay.core.cascade.CascadeRequest;
import org.clementinequay.core.cascade.LearnedRates;
import org.clementinequay.core.cascade.RateKey;
import org.clementinequay.core.cascade.RatePath;
import org.clementinequay.core.cascade.RatingSampler;
import org.clementinequay.core.config.ObjectiveWeights;
import org.clementinequay.core.config.VersionSpec;
import org.clementinequay.core.config.VersionState;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Plans cascades by the learned rates of the versions, and records the ratings of drafts, the
 * ratings of sampled released answers and the answer times from which these rates are learned.
 */
public final class CascadeLearning {
  /**
   * Share of the released answers that are rated; one rating costs about as much as a cheap answer.
   */
  private static final double RATED_SHARE = 0.05;

  /** Minimum score of a good answer if no cascade configures one. */
  private static final double DEFAULT_GOOD_SCORE = 0.5;

  /** Expected time of an answer of a version without measurements, in milliseconds. */
  private static final double DEFAULT_ANSWER_MILLIS = 2000;

  /** Expected time to rate a draft, in milliseconds. */
  private static final double RATING_MILLIS = 50;

  private static final int DEFAULT_COMPLETION_TOKENS = 256;
  private static final int BYTES_PER_TOKEN = 4;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final LearnedRates rates;
  private final RatingSampler sampler = new RatingSampler(RATED_SHARE);
  private final RatingQueue ratingQueue;
  private final RandomGenerator random;
  private final RuntimeClock clock;
  private final VersionObserver observer;

  /** Creates an instance that also notifies the observer of attempts and ratings. */
  public CascadeLearning(
      LearnedRates rates,
      RatingQueue ratingQueue,
      RandomGenerator random,
      RuntimeClock clock,
      VersionObserver observer) {
    this.rates = rates;
    this.ratingQueue = ratingQueue;
    this.random = random;
    this.clock = clock;
    this.observer = observer;
  }

  /** Chooses the plan of a request from the versions, which are ordered cheapest first. */
  CascadePlan plan(Exchange exchange, ActiveConfiguration active, List<ModelVersion> versions) {
    List<CascadeRequest.Candidate> candidates = new ArrayList<>();
    for (ModelVersion version : versions) {
      VersionSpec spec = active.document().version(version).orElseThrow();
      candidates.add(
          new CascadeRequest.Candidate(
              version, expectedCost(exchange, spec), DEFAULT_ANSWER_MILLIS));
    }
    long now = clock.nanoTime();
    ObjectiveWeights weights = active.document().weights();
    CascadeRequest request =
        new CascadeRequest(
            exchange.account().name(),
            exchange.requestClassName(),
            exchange.requestClass.qualityTarget(),
            (exchange.deadlineNanos - now) / NANOS_PER_MILLI,
            RATING_MILLIS,
            draw(),
            candidates);
    return new CascadePlanner(rates, weights).choose(request, now);
  }

  private static double expectedCost(Exchange exchange, VersionSpec spec) {
    int completionTokens =
        exchange.request().chat().path("max_tokens").asInt(DEFAULT_COMPLETION_TOKENS);
    return spec.costMicros(exchange.request().body().length / BYTES_PER_TOKEN, completionTokens);
  }

  /** Records whether the rating of a draft reached the accept score of its plan step. */
  void recordDraftRating(Exchange exchange, int stepIndex, double score) {
    boolean good = score >= exchange.plan.get(stepIndex).acceptScore();
    rates.record(key(exchange, stepIndex, RateKey.Kind.PASS), good, clock.nanoTime());
    observer.answerRated(exchange.plan.get(stepIndex).version(), good);
  }

  /** Records the time from {@code startedNanos} until now as that of a complete answer. */
  void recordAnswer(Exchange exchange, ModelVersion version, long startedNanos) {
    long now = clock.nanoTime();
    double millis = (now - startedNanos) / (double) NANOS_PER_MILLI;
    rates.recordTime(exchange.requestClassName(), version, millis, now);
    observer.attemptEnded(version, false);
  }

  /** Records an attempt that failed through a fault of the upstream. */
  void recordFailure(ModelVersion version) {
    observer.attemptEnded(version, true);
  }

  /**
   * Decides whether the answer of this request is rated after its release. It always is if the plan
   * has a version that is being rolled out: with only a sample of its answers rated, no rollout
   * stage would end within hours.
   */
  boolean shouldRate(Exchange exchange, ConfigurationSource configuration) {
    boolean rollingOut =
        configuration.current().stream()
            .flatMap(
                active ->
                    exchange.plan.stream()
                        .flatMap(step -> active.document().version(step.version()).stream()))
            .anyMatch(spec -> spec.state() == VersionState.ROLLING_OUT);
    return rollingOut
        || sampler.sample(
            exchange.account().name(), exchange.requestClassName(), draw(), clock.nanoTime());
  }

  /** Queues a released answer for rating, without delaying the caller. */
  void rateReleased(Exchange exchange, int stepIndex, String text) {
    PlanStep released = exchange.plan.get(stepIndex);
    ratingQueue.rate(
        released.version(),
        exchange.requestClassName(),
        ChatRequestBody.prompt(exchange),
        text,
        score -> recordReleasedRating(exchange, stepIndex, score));
  }

  private void recordReleasedRating(Exchange exchange, int stepIndex, OptionalDouble score) {
    if (score.isEmpty()) {
      return;
    }
    PlanStep released = exchange.plan.get(stepIndex);
    double minScore = released.acceptScore() > 0 ? released.acceptScore() : DEFAULT_GOOD_SCORE;
    boolean good = score.getAsDouble() >= minScore;
    RateKey.Kind kind = released.draft() ? RateKey.Kind.KEPT : RateKey.Kind.PASS;
    if (exchange.session.isEmpty()) {
      rates.record(key(exchange, stepIndex, kind), good, clock.nanoTime());
    }
    observer.answerRated(released.version(), good);
  }

  private static RateKey key(Exchange exchange, int stepIndex, RateKey.Kind kind) {
    List<ModelVersion> path =
        exchange.plan.subList(0, stepIndex + 1).stream().map(PlanStep::version).toList();
    return new RateKey(
        exchange.account().name(), exchange.requestClassName(), new RatePath(path), kind);
  }

  private double draw() {
    synchronized (random) {
      return random.nextDouble();
    }
  }
}
