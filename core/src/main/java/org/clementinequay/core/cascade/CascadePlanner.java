package org.clementinequay.core.cascade;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.ObjectiveWeights;

/**
 * Chooses a cascade plan: enumerates every ordered subset of the candidates, drops those whose time
 * does not fit the deadline, and minimises expected cost subject to a lower confidence bound of the
 * quality. The least cost under one linear constraint is a mixture of at most two plans (linear
 * programming), so the request's draw selects between a plan above the target and one below it. A
 * small part of the requests explores plans that end with the dearest version, which keeps the
 * rates of unused drafts known at little cost in quality.
 */
public final class CascadePlanner {
  /** Most candidates of one cascade; there are two to this power plans. */
  public static final int MAX_CANDIDATES = 5;

  /** Part of the requests that explore. */
  static final double EXPLORE = 0.01;

  /** One-sided normal quantile of the time that must fit the deadline: the 95th percentile. */
  private static final double TIME_SIGMAS = 1.645;

  /**
   * Bad answers per accepted draft that a second rating rejects. If the ratings of one answer have
   * independent errors of the same spread, small against the spread of the scores, two ratings
   * differ by the square root of two more than a rating differs from the truth.
   */
  private static final double REJECTED_TO_BAD = Math.sqrt(0.5);

  /**
   * Price of waiting for the whole deadline, as a part of the dearest version's cost, if latency
   * weighs as much as cost.
   */
  private static final double LATENCY_PRICE = 0.05;

  /**
   * Parts of the confidence that are tried in turn until a plan meets the target; without the
   * smaller ones a new account would be served by the dearest version alone.
   */
  private static final double[] CONFIDENCE_PARTS = {1, 0.5};

  private final LearnedRates rates;
  private final double confidenceSigmas;
  private final double latencyPrice;

  /** Creates a planner; the weights set the price of time and the confidence in the quality. */
  public CascadePlanner(LearnedRates rates, ObjectiveWeights weights) {
    this.rates = rates;
    double sum = weights.cost() + weights.latency() + weights.exposure();
    double exposure = sum > 0 ? weights.exposure() / sum : 0;
    this.confidenceSigmas = 0.5 + 1.5 * exposure;
    this.latencyPrice =
        LATENCY_PRICE * weights.latency() / Math.max(weights.cost(), 0.01 * Math.max(sum, 1e-9));
  }

  /** Returns how many standard errors the expected quality must stay above the target. */
  public double confidenceSigmas() {
    return confidenceSigmas;
  }

  /** Chooses the plan of one request. */
  public CascadePlan choose(CascadeRequest request, long nowNanos) {
    Figures figures = new Figures(request, nowNanos);
    List<Option> fitting = new ArrayList<>();
    Option fastest = null;
    for (int mask = 1; mask < 1 << request.candidates().size(); mask++) {
      Option option = evaluate(request, figures, mask);
      if (option.safeMillis <= request.remainingMillis()) {
        fitting.add(option);
      }
      if (fastest == null || option.safeMillis < fastest.safeMillis) {
        fastest = option;
      }
    }
    if (fitting.isEmpty()) {
      return fastest.plan(0);
    }
    if (request.draw() < EXPLORE) {
      return explore(fitting, request.draw() / EXPLORE, request.candidates().size()).asExploring();
    }
    double draw = (request.draw() - EXPLORE) / (1 - EXPLORE);
    for (double part : CONFIDENCE_PARTS) {
      CascadePlan plan =
          cheapestMixture(fitting, request.qualityTarget(), part * confidenceSigmas, draw);
      if (plan != null) {
        return plan;
      }
    }
    return mostPromising(fitting);
  }

  private static CascadePlan explore(List<Option> fitting, double draw, int candidates) {
    int last = 1 << (candidates - 1);
    List<Option> ending = new ArrayList<>(fitting);
    ending.removeIf(option -> (option.mask & last) == 0);
    List<Option> from = ending.isEmpty() ? fitting : ending;
    return from.get((int) (draw * from.size())).plan(0);
  }

  /**
   * Returns the plan with the highest upper confidence bound of the quality. Where no plan is known
   * to meet the target this learns about those that may; the highest mean would keep a plan just
   * below the target and never rate the dearest version's direct answers.
   */
  private CascadePlan mostPromising(List<Option> options) {
    return Collections.max(options, Comparator.comparingDouble(o -> o.lower(-confidenceSigmas)))
        .plan(confidenceSigmas);
  }

  /** Returns the choice of the draw, or null if no plan meets the target with the confidence. */
  private static CascadePlan cheapestMixture(
      List<Option> options, double target, double sigmas, double draw) {
    Option above = null;
    Option below = null;
    double part = 0;
    double best = Double.POSITIVE_INFINITY;
    for (Option a : options) {
      double qa = a.lower(sigmas);
      if (qa < target) {
        continue;
      }
      for (Option b : options) {
        double qb = b.lower(sigmas);
        double x = qb >= target || b.score >= a.score ? 0 : (qa - target) / (qa - qb);
        double score = x * b.score + (1 - x) * a.score;
        if (score < best) {
          best = score;
          above = a;
          below = b;
          part = x;
        }
      }
    }
    if (above == null) {
      return null;
    }
    return (draw < part ? below : above).plan(sigmas);
  }

  private Option evaluate(CascadeRequest request, Figures figures, int mask) {
    List<CascadeRequest.Candidate> steps = new ArrayList<>();
    for (int i = 0; i < request.candidates().size(); i++) {
      if ((mask & (1 << i)) != 0) {
        steps.add(request.candidates().get(i));
      }
    }
    double reach = 1;
    double cost = 0;
    double millis = 0;
    double worst = 0;
    double timeVariance = 0;
    RatePath path = null;
    List<LearnedRates.Estimate> passes = new ArrayList<>();
    List<LearnedRates.Estimate> kept = new ArrayList<>();
    for (int i = 0; i < steps.size(); i++) {
      CascadeRequest.Candidate step = steps.get(i);
      boolean last = i == steps.size() - 1;
      ModelVersion version = step.version();
      path = path == null ? new RatePath(List.of(version)) : path.then(version);
      LearnedRates.Estimate time = figures.time(step);
      double stepMillis = time.mean() + (last ? 0 : request.checkMillis());
      cost += reach * step.costMicros();
      millis += reach * stepMillis;
      worst += stepMillis;
      timeVariance += time.variance();
      passes.add(figures.rate(path, RateKey.Kind.PASS));
      kept.add(last ? new LearnedRates.Estimate(1, 0) : trueKept(figures, path));
      reach *= 1 - passes.get(i).mean();
    }
    double dearest = request.candidates().get(request.candidates().size() - 1).costMicros();
    double waiting = millis / Math.max(1, request.remainingMillis());
    return new Option(
        steps.stream().map(CascadeRequest.Candidate::version).toList(),
        mask,
        cost,
        millis,
        quality(passes, kept),
        Math.sqrt(variance(passes, kept)),
        cost + latencyPrice * dearest * waiting,
        worst + TIME_SIGMAS * Math.sqrt(timeVariance));
  }

  /** Share of accepted drafts that are good, from the share that a second rating accepts. */
  private static LearnedRates.Estimate trueKept(Figures figures, RatePath path) {
    LearnedRates.Estimate kept = figures.rate(path, RateKey.Kind.KEPT);
    return new LearnedRates.Estimate(
        1 - (1 - kept.mean()) * REJECTED_TO_BAD,
        kept.variance() * REJECTED_TO_BAD * REJECTED_TO_BAD);
  }

  /** Expected quality: the accepted drafts that are good, plus the last answer where reached. */
  private static double quality(
      List<LearnedRates.Estimate> passes, List<LearnedRates.Estimate> kept) {
    double result = 0;
    for (int i = passes.size() - 1; i >= 0; i--) {
      double pass = passes.get(i).mean();
      result = pass * kept.get(i).mean() + (1 - pass) * result;
    }
    return result;
  }

  /** Variance of the quality by the delta method. */
  private static double variance(
      List<LearnedRates.Estimate> passes, List<LearnedRates.Estimate> kept) {
    double variance = 0;
    double reach = 1;
    for (int i = 0; i < passes.size(); i++) {
      double rest = quality(passes.subList(i + 1, passes.size()), kept.subList(i + 1, kept.size()));
      double byPass = reach * (kept.get(i).mean() - rest);
      double byKept = reach * passes.get(i).mean();
      variance +=
          byPass * byPass * passes.get(i).variance() + byKept * byKept * kept.get(i).variance();
      reach *= 1 - passes.get(i).mean();
    }
    return variance;
  }

  private record Option(
      List<ModelVersion> steps,
      int mask,
      double cost,
      double millis,
      double quality,
      double error,
      double score,
      double safeMillis) {
    private double lower(double sigmas) {
      return quality - sigmas * error;
    }

    private CascadePlan plan(double sigmas) {
      return new CascadePlan(steps, cost, millis, quality, lower(sigmas), false);
    }
  }

  /** Learned figures of one request, read once each. */
  private final class Figures {
    private final CascadeRequest request;
    private final long nowNanos;
    private final Map<RateKey, LearnedRates.Estimate> known = new HashMap<>();
    private final Map<ModelVersion, LearnedRates.Estimate> times = new HashMap<>();

    private Figures(CascadeRequest request, long nowNanos) {
      this.request = request;
      this.nowNanos = nowNanos;
    }

    private LearnedRates.Estimate rate(RatePath path, RateKey.Kind kind) {
      RateKey key = new RateKey(request.account(), request.requestClass(), path, kind);
      return known.computeIfAbsent(key, k -> rates.rate(k, nowNanos));
    }

    private LearnedRates.Estimate time(CascadeRequest.Candidate candidate) {
      return times.computeIfAbsent(
          candidate.version(),
          v -> rates.time(request.requestClass(), v, candidate.defaultMillis(), nowNanos));
    }
  }
}
