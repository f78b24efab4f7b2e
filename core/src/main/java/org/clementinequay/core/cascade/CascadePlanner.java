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
 * Chooses a cascade plan: enumerates every non-empty subset of the candidates in their order, drops
 * those whose time does not fit the deadline, and minimises expected cost subject to a lower
 * confidence bound of the quality. The least cost under one linear constraint is a mixture of at
 * most two plans (linear programming), so the request's random number selects between a plan above
 * the target and one below it. A small share of the requests explores plans that end with the most
 * expensive version, which keeps the rates of unused drafts up to date at little cost in quality.
 */
public final class CascadePlanner {
  /**
   * Maximum number of candidates of one cascade; the number of plans is 2 to this power, less 1.
   */
  public static final int MAX_CANDIDATES = 5;

  /** Share of the requests that explore. */
  static final double EXPLORATION_SHARE = 0.01;

  /** Standard deviations above the mean time that give its 95th percentile, if it is normal. */
  private static final double P95_SIGMAS = 1.645;

  /**
   * Number of bad answers per accepted draft that a second rating rejects. If the ratings of one
   * answer have independent errors of equal standard deviation, small against that of the scores,
   * the difference between two ratings has a standard deviation that is larger by the square root
   * of two than that of the difference between a rating and the true score.
   */
  private static final double BAD_PER_REJECTED = Math.sqrt(0.5);

  /**
   * Penalty on a plan that takes the whole remaining time, as a fraction of the most expensive
   * version's cost, if the weights of latency and cost are equal.
   */
  private static final double LATENCY_PRICE = 0.05;

  /**
   * Factors on {@link #confidenceSigmas} that are tried in turn until a plan meets the target. With
   * the factor 1 alone, a new account would be served by the most expensive version only.
   */
  private static final double[] CONFIDENCE_FACTORS = {1, 0.5};

  private final LearnedRates rates;
  private final double confidenceSigmas;
  private final double latencyPrice;

  /**
   * Creates a planner; the weights set the penalty on time and the confidence level of the quality.
   */
  public CascadePlanner(LearnedRates rates, ObjectiveWeights weights) {
    this.rates = rates;
    double sum = weights.cost() + weights.latency() + weights.exposure();
    double exposure = sum > 0 ? weights.exposure() / sum : 0;
    this.confidenceSigmas = 0.5 + 1.5 * exposure;
    this.latencyPrice =
        LATENCY_PRICE * weights.latency() / Math.max(weights.cost(), 0.01 * Math.max(sum, 1e-9));
  }

  /** Returns by how many standard errors the expected quality must exceed the target. */
  public double confidenceSigmas() {
    return confidenceSigmas;
  }

  /**
   * Chooses the plan of one request: the fastest one if none fits the deadline, and the one with
   * the highest upper bound of the quality if none meets the target.
   */
  public CascadePlan choose(CascadeRequest request, long nowNanos) {
    RequestEstimates estimates = new RequestEstimates(request, nowNanos);
    List<PlanOption> withinDeadline = new ArrayList<>();
    PlanOption fastest = null;
    for (int mask = 1; mask < 1 << request.candidates().size(); mask++) {
      PlanOption option = evaluate(request, estimates, mask);
      if (option.p95Millis <= request.remainingMillis()) {
        withinDeadline.add(option);
      }
      if (fastest == null || option.p95Millis < fastest.p95Millis) {
        fastest = option;
      }
    }
    if (withinDeadline.isEmpty()) {
      return fastest.toPlan(0);
    }
    if (request.draw() < EXPLORATION_SHARE) {
      return explore(
              withinDeadline, request.draw() / EXPLORATION_SHARE, request.candidates().size())
          .asExploring();
    }
    double draw = (request.draw() - EXPLORATION_SHARE) / (1 - EXPLORATION_SHARE);
    for (double factor : CONFIDENCE_FACTORS) {
      CascadePlan plan =
          cheapestMixture(withinDeadline, request.qualityTarget(), factor * confidenceSigmas, draw);
      if (plan != null) {
        return plan;
      }
    }
    return highestUpperBound(withinDeadline);
  }

  private static CascadePlan explore(List<PlanOption> withinDeadline, double draw, int candidates) {
    int mostExpensiveBit = 1 << (candidates - 1);
    List<PlanOption> endingWithMostExpensive = new ArrayList<>(withinDeadline);
    endingWithMostExpensive.removeIf(option -> (option.mask & mostExpensiveBit) == 0);
    List<PlanOption> choices =
        endingWithMostExpensive.isEmpty() ? withinDeadline : endingWithMostExpensive;
    return choices.get((int) (draw * choices.size())).toPlan(0);
  }

  /**
   * Returns the plan with the highest upper confidence bound of the quality. Where no plan is known
   * to meet the target, this gathers ratings of the plans that may meet it. Choosing by the highest
   * mean would stay with a plan just below the target and never rate the answers that the most
   * expensive version gives as the first step.
   */
  private CascadePlan highestUpperBound(List<PlanOption> options) {
    return Collections.max(
            options, Comparator.comparingDouble(o -> o.qualityLowerBound(-confidenceSigmas)))
        .toPlan(confidenceSigmas);
  }

  /**
   * Returns the plan that the random number selects from the cheapest mixture of two, or null if no
   * plan's quality exceeds the target by the given number of standard errors.
   */
  private static CascadePlan cheapestMixture(
      List<PlanOption> options, double target, double sigmas, double draw) {
    PlanOption above = null;
    PlanOption below = null;
    double belowShare = 0;
    double best = Double.POSITIVE_INFINITY;
    for (PlanOption upper : options) {
      double qualityAbove = upper.qualityLowerBound(sigmas);
      if (qualityAbove < target) {
        continue;
      }
      for (PlanOption lower : options) {
        double qualityBelow = lower.qualityLowerBound(sigmas);
        double share =
            qualityBelow >= target || lower.score >= upper.score
                ? 0
                : (qualityAbove - target) / (qualityAbove - qualityBelow);
        double score = share * lower.score + (1 - share) * upper.score;
        if (score < best) {
          best = score;
          above = upper;
          below = lower;
          belowShare = share;
        }
      }
    }
    if (above == null) {
      return null;
    }
    return (draw < belowShare ? below : above).toPlan(sigmas);
  }

  private PlanOption evaluate(CascadeRequest request, RequestEstimates estimates, int mask) {
    List<CascadeRequest.Candidate> steps = new ArrayList<>();
    for (int i = 0; i < request.candidates().size(); i++) {
      if ((mask & (1 << i)) != 0) {
        steps.add(request.candidates().get(i));
      }
    }
    double reachProbability = 1;
    double cost = 0;
    double millis = 0;
    double allStepsMillis = 0;
    double timeVariance = 0;
    RatePath path = null;
    List<LearnedRates.Estimate> passRates = new ArrayList<>();
    List<LearnedRates.Estimate> keptRates = new ArrayList<>();
    for (int i = 0; i < steps.size(); i++) {
      CascadeRequest.Candidate step = steps.get(i);
      boolean last = i == steps.size() - 1;
      ModelVersion version = step.version();
      path = path == null ? new RatePath(List.of(version)) : path.append(version);
      LearnedRates.Estimate time = estimates.time(step);
      double stepMillis = time.mean() + (last ? 0 : request.ratingMillis());
      cost += reachProbability * step.costMicros();
      millis += reachProbability * stepMillis;
      allStepsMillis += stepMillis;
      timeVariance += time.variance();
      passRates.add(estimates.rate(path, RateKey.Kind.PASS));
      keptRates.add(last ? new LearnedRates.Estimate(1, 0) : trueKeptRate(estimates, path));
      reachProbability *= 1 - passRates.get(i).mean();
    }
    double maxCost = request.candidates().get(request.candidates().size() - 1).costMicros();
    double deadlineFraction = millis / Math.max(1, request.remainingMillis());
    return new PlanOption(
        steps.stream().map(CascadeRequest.Candidate::version).toList(),
        mask,
        cost,
        millis,
        quality(passRates, keptRates),
        Math.sqrt(variance(passRates, keptRates)),
        cost + latencyPrice * maxCost * deadlineFraction,
        allStepsMillis + P95_SIGMAS * Math.sqrt(timeVariance));
  }

  /** Returns the share of accepted drafts that are good, from the share of second acceptances. */
  private static LearnedRates.Estimate trueKeptRate(RequestEstimates estimates, RatePath path) {
    LearnedRates.Estimate keptRate = estimates.rate(path, RateKey.Kind.KEPT);
    return new LearnedRates.Estimate(
        1 - (1 - keptRate.mean()) * BAD_PER_REJECTED,
        keptRate.variance() * BAD_PER_REJECTED * BAD_PER_REJECTED);
  }

  /**
   * Returns the expected quality: the share of requests that end with a good accepted draft or a
   * good last answer.
   */
  private static double quality(
      List<LearnedRates.Estimate> passRates, List<LearnedRates.Estimate> keptRates) {
    double result = 0;
    for (int i = passRates.size() - 1; i >= 0; i--) {
      double pass = passRates.get(i).mean();
      result = pass * keptRates.get(i).mean() + (1 - pass) * result;
    }
    return result;
  }

  /** Returns the variance of the estimated quality by the delta method. */
  private static double variance(
      List<LearnedRates.Estimate> passRates, List<LearnedRates.Estimate> keptRates) {
    double variance = 0;
    double reachProbability = 1;
    for (int i = 0; i < passRates.size(); i++) {
      double remainingQuality =
          quality(
              passRates.subList(i + 1, passRates.size()),
              keptRates.subList(i + 1, keptRates.size()));
      double passDerivative = reachProbability * (keptRates.get(i).mean() - remainingQuality);
      double keptDerivative = reachProbability * passRates.get(i).mean();
      variance +=
          passDerivative * passDerivative * passRates.get(i).variance()
              + keptDerivative * keptDerivative * keptRates.get(i).variance();
      reachProbability *= 1 - passRates.get(i).mean();
    }
    return variance;
  }

  /**
   * A plan with its estimates.
   *
   * @param mask set of the candidates that are steps, a bit for each
   * @param standardError standard error of the quality
   * @param score expected cost plus the penalty on time
   * @param p95Millis 95th percentile of the time if all steps are run, in milliseconds
   */
  private record PlanOption(
      List<ModelVersion> steps,
      int mask,
      double cost,
      double millis,
      double quality,
      double standardError,
      double score,
      double p95Millis) {
    private double qualityLowerBound(double sigmas) {
      return quality - sigmas * standardError;
    }

    private CascadePlan toPlan(double sigmas) {
      return new CascadePlan(steps, cost, millis, quality, qualityLowerBound(sigmas), false);
    }
  }

  /** Caches the estimates for one request, so that each is computed once. */
  private final class RequestEstimates {
    private final CascadeRequest request;
    private final long nowNanos;
    private final Map<RateKey, LearnedRates.Estimate> rateEstimates = new HashMap<>();
    private final Map<ModelVersion, LearnedRates.Estimate> timeEstimates = new HashMap<>();

    private RequestEstimates(CascadeRequest request, long nowNanos) {
      this.request = request;
      this.nowNanos = nowNanos;
    }

    private LearnedRates.Estimate rate(RatePath path, RateKey.Kind kind) {
      RateKey key = new RateKey(request.account(), request.requestClass(), path, kind);
      return rateEstimates.computeIfAbsent(key, k -> rates.rate(k, nowNanos));
    }

    private LearnedRates.Estimate time(CascadeRequest.Candidate candidate) {
      return timeEstimates.computeIfAbsent(
          candidate.version(),
          v -> rates.time(request.requestClass(), v, candidate.defaultMillis(), nowNanos));
    }
  }
}
