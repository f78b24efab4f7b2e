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

/** Connects requests to what is learned of versions: plans, ratings of drafts, sampled ratings. */
public final class CascadeLearning {
  /** Part of the released answers that is rated; a rating costs about as much as a cheap answer. */
  private static final double SAMPLED_PART = 0.05;

  /** Score from which an answer counts as good where no cascade states one. */
  private static final double DEFAULT_GOOD_SCORE = 0.5;

  /** Expected time of an answer of an unknown version, in milliseconds. */
  private static final double DEFAULT_ANSWER_MILLIS = 2000;

  /** Expected time to rate a draft, in milliseconds. */
  private static final double CHECK_MILLIS = 50;

  private static final int DEFAULT_COMPLETION_TOKENS = 256;
  private static final int CHARS_PER_TOKEN = 4;
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final LearnedRates rates;
  private final RatingSampler sampler = new RatingSampler(SAMPLED_PART);
  private final RatingQueue queue;
  private final RandomGenerator random;
  private final RuntimeClock clock;
  private final VersionObserver observer;

  /** Creates the connection; the observer is told of attempts and ratings. */
  public CascadeLearning(
      LearnedRates rates,
      RatingQueue queue,
      RandomGenerator random,
      RuntimeClock clock,
      VersionObserver observer) {
    this.rates = rates;
    this.queue = queue;
    this.random = random;
    this.clock = clock;
    this.observer = observer;
  }

  /** Chooses the plan of a request among the versions, cheapest first. */
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
            CHECK_MILLIS,
            draw(),
            candidates);
    return new CascadePlanner(rates, weights).choose(request, now);
  }

  private static double expectedCost(Exchange exchange, VersionSpec spec) {
    int completion = exchange.request().chat().path("max_tokens").asInt(DEFAULT_COMPLETION_TOKENS);
    return spec.costMicros(exchange.request().body().length / CHARS_PER_TOKEN, completion);
  }

  /** Takes up the rating of a draft. */
  void draftRated(Exchange exchange, int step, double score) {
    boolean good = score >= exchange.plan.get(step).acceptScore();
    rates.record(key(exchange, step, RateKey.Kind.PASS), good, clock.nanoTime());
    observer.answerRated(exchange.plan.get(step).version(), good);
  }

  /** Takes up the time of a whole answer. */
  void answered(Exchange exchange, ModelVersion version, long startedNanos) {
    long now = clock.nanoTime();
    double millis = (now - startedNanos) / (double) NANOS_PER_MILLI;
    rates.recordTime(exchange.requestClassName(), version, millis, now);
    observer.attemptEnded(version, false);
  }

  /** Takes up an attempt that failed on the upstream's side. */
  void failed(ModelVersion version) {
    observer.attemptEnded(version, true);
  }

  /**
   * Decides whether the answer of this request is rated after its release. Every answer of a
   * version that is being rolled out is: with a sample of them no stage would end within hours.
   */
  boolean sampled(Exchange exchange, ConfigurationSource configuration) {
    boolean rollingOut =
        configuration.current().stream()
            .flatMap(
                c ->
                    exchange.plan.stream().flatMap(s -> c.document().version(s.version()).stream()))
            .anyMatch(spec -> spec.state() == VersionState.ROLLING_OUT);
    return rollingOut
        || sampler.sample(
            exchange.account().name(), exchange.requestClassName(), draw(), clock.nanoTime());
  }

  /** Has a released answer rated, without delay for the caller. */
  void rateReleased(Exchange exchange, int step, String text) {
    PlanStep released = exchange.plan.get(step);
    queue.rate(
        released.version(),
        exchange.requestClassName(),
        ChatBody.prompt(exchange),
        text,
        score -> releasedRated(exchange, step, score));
  }

  private void releasedRated(Exchange exchange, int step, OptionalDouble score) {
    if (score.isEmpty()) {
      return;
    }
    PlanStep released = exchange.plan.get(step);
    double least = released.acceptScore() > 0 ? released.acceptScore() : DEFAULT_GOOD_SCORE;
    boolean good = score.getAsDouble() >= least;
    RateKey.Kind kind = released.draft() ? RateKey.Kind.KEPT : RateKey.Kind.PASS;
    if (exchange.session.isEmpty()) {
      rates.record(key(exchange, step, kind), good, clock.nanoTime());
    }
    observer.answerRated(released.version(), good);
  }

  private static RateKey key(Exchange exchange, int step, RateKey.Kind kind) {
    List<ModelVersion> path =
        exchange.plan.subList(0, step + 1).stream().map(PlanStep::version).toList();
    return new RateKey(
        exchange.account().name(), exchange.requestClassName(), new RatePath(path), kind);
  }

  private double draw() {
    synchronized (random) {
      return random.nextDouble();
    }
  }
}
