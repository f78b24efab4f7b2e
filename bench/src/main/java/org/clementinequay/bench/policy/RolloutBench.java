package org.clementinequay.bench.policy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.ObjectiveWeights;
import org.clementinequay.core.rollout.LiveMonitor;
import org.clementinequay.core.rollout.LocalRolloutMonitor;
import org.clementinequay.core.rollout.RolloutState;
import org.clementinequay.core.rollout.StageController;
import org.clementinequay.core.rollout.StageDecision;
import org.clementinequay.core.rollout.VersionCounts;

/**
 * Compares staged roll-outs that a sequential test controls with a roll-out that has a fixed share
 * and a fixed window.
 */
final class RolloutBench {
  private static final int HOSTS = 6;
  private static final int PARTITIONED_HOSTS = 2;
  private static final double REQUESTS_PER_SECOND = 40;
  private static final int DURATION_SECONDS = 5400;
  private static final int RATING_DELAY_SECONDS = 20;
  private static final double LIVE_BAD_RATE = 0.05;
  private static final double LIVE_ERROR_RATE = 0.002;
  private static final double SAMPLING_RATE = 0.10;
  private static final double BASELINE_SHARE = 0.10;
  private static final int BASELINE_SECONDS = 1800;
  private static final double BASELINE_Z_LIMIT = 2.576;
  private static final double ACCEPTED_EXCESS_RATE = 0.02;
  private static final int TICK_SECONDS = 5;
  private static final double NORMAL_APPROXIMATION_MEAN = 30;
  private static final int RUNS = 300;
  private static final int RUNS_WITHOUT_FAULT = 1000;
  private static final ModelVersion OLD_VERSION = new ModelVersion("m", "1");
  private static final ModelVersion NEW_VERSION = new ModelVersion("m", "2");

  private final Results results;

  RolloutBench(Results results) {
    this.results = results;
  }

  void run() throws IOException {
    List<Scenario> scenarios =
        List.of(
            new Scenario("no worse", LIVE_BAD_RATE, LIVE_ERROR_RATE, 0, false),
            new Scenario("8% bad", 0.08, LIVE_ERROR_RATE, 0, false),
            new Scenario("15% bad", 0.15, LIVE_ERROR_RATE, 0, false),
            new Scenario("40% bad", 0.40, LIVE_ERROR_RATE, 0, false),
            new Scenario("25% bad after 15 min", 0.25, LIVE_ERROR_RATE, 900, false),
            new Scenario("5% errors", LIVE_BAD_RATE, 0.05, 0, false),
            new Scenario("15% bad, 2 of 6 hosts cut off", 0.15, LIVE_ERROR_RATE, 0, true));
    ObjectiveWeights latency = new ObjectiveWeights(1, 4, 1);
    ObjectiveWeights exposure = new ObjectiveWeights(1, 1, 4);
    List<List<Object>> rows = new ArrayList<>();
    for (Scenario scenario : scenarios) {
      double baseline =
          addRow(
              rows,
              scenario,
              "fixed share, 10% rated",
              r -> runFixedShare(scenario, SAMPLING_RATE, r),
              0);
      addRow(
          rows, scenario, "fixed share, all rated", r -> runFixedShare(scenario, 1, r), baseline);
      addRow(
          rows, scenario, "staged, latency 4", r -> runStaged(scenario, latency, 1, r), baseline);
      addRow(
          rows, scenario, "staged, exposure 4", r -> runStaged(scenario, exposure, 1, r), baseline);
      addRow(
          rows,
          scenario,
          "staged, 10% rated",
          r -> runStaged(scenario, exposure, SAMPLING_RATE, r),
          baseline);
    }
    results.table(
        "roll-outs over 90 min",
        List.of(
            "scenario",
            "policy",
            "runs",
            "stopped",
            "harm",
            "x baseline",
            "harm p95",
            "median stop s",
            "median live s"),
        rows);
    measureLiveMonitor();
  }

  private double addRow(
      List<List<Object>> rows,
      Scenario scenario,
      String policy,
      Function<RandomGenerator, Run> simulation,
      double baseline) {
    int runs = scenario.harmless() ? RUNS_WITHOUT_FAULT : RUNS;
    RandomGenerator random = results.random(rows.size());
    double[] harm = new double[runs];
    List<Integer> stopTimes = new ArrayList<>();
    List<Integer> liveTimes = new ArrayList<>();
    double sum = 0;
    for (int i = 0; i < runs; i++) {
      Run run = simulation.apply(random);
      harm[i] = run.harm;
      sum += run.harm;
      if (run.stoppedAt >= 0) {
        stopTimes.add(run.stoppedAt);
      }
      if (run.liveAt >= 0) {
        liveTimes.add(run.liveAt);
      }
    }
    Arrays.sort(harm);
    double mean = sum / runs;
    rows.add(
        List.of(
            scenario.name,
            policy,
            runs,
            Results.round(stopTimes.size() / (double) runs, 4),
            Results.round(mean, 1),
            baseline > 0 ? Results.round(mean / baseline, 3) : 1,
            Results.round(harm[(int) (0.95 * (runs - 1))], 1),
            median(stopTimes),
            median(liveTimes)));
    return mean;
  }

  private static Object median(List<Integer> values) {
    if (values.isEmpty()) {
      return "-";
    }
    return values.stream().sorted().toList().get(values.size() / 2);
  }

  /**
   * Serves a fixed share for a fixed window, then decides by two-proportion z-tests of the ratings
   * and of the errors, each at a level of 0.5%.
   */
  private Run runFixedShare(Scenario scenario, double ratedShare, RandomGenerator random) {
    Run run = new Run();
    VersionCounts candidate = VersionCounts.NONE;
    VersionCounts live = VersionCounts.NONE;
    for (int second = 0; second < DURATION_SECONDS && run.stoppedAt < 0; second += TICK_SECONDS) {
      double share = second < BASELINE_SECONDS ? BASELINE_SHARE : 1;
      Tick tick = tick(scenario, second, share, ratedShare, 1, random);
      run.harm += tick.harm;
      if (second < BASELINE_SECONDS) {
        candidate = candidate.plus(tick.candidate);
        live = live.plus(tick.live);
      } else if (second == BASELINE_SECONDS) {
        if (twoProportionZ(candidate.bad(), candidate.rated(), live.bad(), live.rated())
                > BASELINE_Z_LIMIT
            || twoProportionZ(
                    candidate.errors(), candidate.answers(), live.errors(), live.answers())
                > BASELINE_Z_LIMIT) {
          run.stoppedAt = second;
        } else {
          run.liveAt = second;
        }
      }
    }
    return run;
  }

  private static double twoProportionZ(long bad, long count, long liveBad, long liveCount) {
    double pooled = (bad + liveBad) / (double) (count + liveCount);
    double variance = pooled * (1 - pooled) * (1.0 / count + 1.0 / liveCount);
    return (bad / (double) count - liveBad / (double) liveCount) / Math.sqrt(variance);
  }

  private Run runStaged(
      Scenario scenario, ObjectiveWeights weights, double ratedShare, RandomGenerator random) {
    Run run = new Run();
    StageController controller = new StageController(weights);
    LocalRolloutMonitor[] monitors = new LocalRolloutMonitor[HOSTS];
    for (int h = 0; h < HOSTS; h++) {
      monitors[h] = new LocalRolloutMonitor(HOSTS);
    }
    Tick[][] pending = new Tick[HOSTS][RATING_DELAY_SECONDS / TICK_SECONDS];
    RolloutState state = RolloutState.begin(0, VersionCounts.NONE, VersionCounts.NONE);
    for (int second = 0; second < DURATION_SECONDS; second += TICK_SECONDS) {
      VersionCounts candidate = VersionCounts.NONE;
      VersionCounts live = VersionCounts.NONE;
      boolean serving = false;
      int slot = second / TICK_SECONDS % (RATING_DELAY_SECONDS / TICK_SECONDS);
      for (int h = 0; h < HOSTS; h++) {
        boolean reachable = !scenario.partitioned || h >= PARTITIONED_HOSTS;
        // A partitioned host keeps the share of the first stage, the last one that it received.
        double share = reachable ? StageController.share(state) : 0.01;
        share = monitors[h].isStopped(NEW_VERSION) ? 0 : share;
        serving |= share > 0;
        Tick tick = tick(scenario, second, share, ratedShare, 1.0 / HOSTS, random);
        run.harm += tick.harm;
        Tick due = pending[h][slot];
        pending[h][slot] = tick;
        if (due != null) {
          monitors[h].add(NEW_VERSION, due.candidate);
          monitors[h].add(OLD_VERSION, due.live);
        }
        if (reachable) {
          candidate = candidate.plus(monitors[h].counts(NEW_VERSION));
          live = live.plus(monitors[h].counts(OLD_VERSION));
        }
      }
      propagateStops(scenario, monitors);
      StageDecision decision = controller.decide(state, candidate, live, second * 1000L);
      state = decision.state();
      if (state.status() == RolloutState.Status.COMPLETED) {
        run.liveAt = second;
        serveAsLive(scenario, second + TICK_SECONDS, run, random);
        return run;
      }
      if (!serving) {
        run.stoppedAt = run.stoppedAt < 0 ? second : run.stoppedAt;
        return run;
      }
    }
    return run;
  }

  /**
   * Serves the new version as the live one until its monitor raises an alarm and the old version
   * takes over again.
   */
  private static void serveAsLive(Scenario scenario, int from, Run run, RandomGenerator random) {
    if (scenario.harmless()) {
      return;
    }
    LiveMonitor monitor = new LiveMonitor(LIVE_BAD_RATE + ACCEPTED_EXCESS_RATE);
    for (int second = from; second < DURATION_SECONDS; second += TICK_SECONDS) {
      Tick tick = tick(scenario, second, 1, SAMPLING_RATE, 1, random);
      run.harm += tick.harm;
      for (int i = 0; i < tick.candidate.rated(); i++) {
        if (monitor.observe(random.nextDouble() * tick.candidate.rated() < tick.candidate.bad())) {
          run.harm += REQUESTS_PER_SECOND * RATING_DELAY_SECONDS * scenario.bad;
          run.stoppedAt = second + RATING_DELAY_SECONDS;
          return;
        }
      }
    }
  }

  private static void propagateStops(Scenario scenario, LocalRolloutMonitor[] monitors) {
    for (int h = 0; h < HOSTS; h++) {
      int from = h;
      monitors[h]
          .stopIfWorse(NEW_VERSION, OLD_VERSION)
          .ifPresent(
              evidence -> {
                for (int other = 0; other < HOSTS; other++) {
                  boolean sameSide = (other < PARTITIONED_HOSTS) == (from < PARTITIONED_HOSTS);
                  if (!scenario.partitioned || sameSide) {
                    monitors[other].recordPeerStop(NEW_VERSION, evidence);
                  }
                }
              });
    }
  }

  /**
   * Draws the requests of one tick. The counts of a thinned Poisson process are independent Poisson
   * variables, so each is drawn separately. The ratings of the live version come from the sampled
   * share of its answers.
   */
  private static Tick tick(
      Scenario scenario,
      int second,
      double share,
      double ratedShare,
      double trafficShare,
      RandomGenerator random) {
    double badRate = second < scenario.badAfterSeconds ? LIVE_BAD_RATE : scenario.bad;
    double arrivals = REQUESTS_PER_SECOND * TICK_SECONDS * trafficShare;
    double mean = arrivals * share;
    long errors = poisson(mean * scenario.errors, random);
    long ratedBad = poisson(mean * ratedShare * badRate, random);
    long ratedGood = poisson(mean * ratedShare * (1 - badRate), random);
    long unratedBad = poisson(mean * (1 - ratedShare) * badRate, random);
    long unratedGood = poisson(mean * (1 - ratedShare) * (1 - badRate), random);
    long answers = errors + ratedBad + ratedGood + unratedBad + unratedGood;
    VersionCounts candidate = new VersionCounts(answers, errors, ratedBad + ratedGood, ratedBad);
    double liveMean = arrivals * (1 - share);
    long liveErrors = poisson(liveMean * LIVE_ERROR_RATE, random);
    long liveBad = poisson(liveMean * SAMPLING_RATE * LIVE_BAD_RATE, random);
    long liveGood = poisson(liveMean * SAMPLING_RATE * (1 - LIVE_BAD_RATE), random);
    long liveOther = poisson(liveMean * (1 - SAMPLING_RATE), random);
    VersionCounts live =
        new VersionCounts(
            liveErrors + liveBad + liveGood + liveOther, liveErrors, liveBad + liveGood, liveBad);
    return new Tick(candidate, live, errors + ratedBad + unratedBad);
  }

  private static long poisson(double mean, RandomGenerator random) {
    if (mean > NORMAL_APPROXIMATION_MEAN) {
      return Math.max(0, Math.round(mean + Math.sqrt(mean) * random.nextGaussian()));
    }
    double limit = Math.exp(-mean);
    double product = random.nextDouble();
    int count = 0;
    while (product > limit) {
      product *= random.nextDouble();
      count++;
    }
    return count;
  }

  private void measureLiveMonitor() throws IOException {
    List<List<Object>> rows = new ArrayList<>();
    List<double[]> curves = new ArrayList<>();
    for (double bad : new double[] {0.05, 0.10, 0.15, 0.25, 0.40}) {
      RandomGenerator random = results.random(900);
      int runs = 500;
      int limit = 20_000;
      int alarms = 0;
      double totalRatings = 0;
      for (int i = 0; i < runs; i++) {
        LiveMonitor monitor = new LiveMonitor(LIVE_BAD_RATE + ACCEPTED_EXCESS_RATE);
        int n = 0;
        boolean alarm = false;
        while (n < limit && !alarm) {
          alarm = monitor.observe(random.nextDouble() < bad);
          n++;
        }
        alarms += alarm ? 1 : 0;
        totalRatings += n;
      }
      rows.add(
          List.of(bad, runs, alarms / (double) runs, Results.round(totalRatings / runs, 1), limit));
      curves.add(new double[] {bad, totalRatings / runs});
    }
    results.table(
        "live version turned bad: ratings until the alarm",
        List.of("bad rate", "runs", "alarms", "mean ratings", "at most"),
        rows);
    double[] x = curves.stream().mapToDouble(p -> p[0]).toArray();
    double[] y = curves.stream().mapToDouble(p -> p[1]).toArray();
    results.plot(
        "rollout-live",
        new SvgPlot("Ratings until a live version is found bad", "bad rate", "ratings", true)
            .addLine("live monitor", x, y));
  }

  private record Scenario(
      String name, double bad, double errors, int badAfterSeconds, boolean partitioned) {
    private boolean harmless() {
      return bad <= LIVE_BAD_RATE && errors <= LIVE_ERROR_RATE;
    }
  }

  private record Tick(VersionCounts candidate, VersionCounts live, double harm) {}

  private static final class Run {
    private double harm;
    private int stoppedAt = -1;
    private int liveAt = -1;
  }
}
