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

/** Compares staged roll-outs under a sequential test with a fixed share and a fixed window. */
final class RolloutBench {
  private static final int HOSTS = 6;
  private static final int CUT_OFF_HOSTS = 2;
  private static final double REQUESTS_PER_SECOND = 40;
  private static final int SECONDS = 5400;
  private static final int RATING_DELAY_SECONDS = 20;
  private static final double LIVE_BAD = 0.05;
  private static final double LIVE_ERRORS = 0.002;
  private static final double SAMPLED = 0.10;
  private static final double BASELINE_SHARE = 0.10;
  private static final int BASELINE_SECONDS = 1800;
  private static final double BASELINE_Z = 2.576;
  private static final double ACCEPTED_EXCESS = 0.02;
  private static final int TICK_SECONDS = 5;
  private static final double NORMAL_FROM = 30;
  private static final int RUNS = 300;
  private static final int RUNS_WITHOUT_FAULT = 1000;
  private static final ModelVersion OLD = new ModelVersion("m", "1");
  private static final ModelVersion NEW = new ModelVersion("m", "2");

  private final Results results;

  RolloutBench(Results results) {
    this.results = results;
  }

  void run() throws IOException {
    List<Scenario> scenarios =
        List.of(
            new Scenario("no worse", LIVE_BAD, LIVE_ERRORS, 0, false),
            new Scenario("8% bad", 0.08, LIVE_ERRORS, 0, false),
            new Scenario("15% bad", 0.15, LIVE_ERRORS, 0, false),
            new Scenario("40% bad", 0.40, LIVE_ERRORS, 0, false),
            new Scenario("25% bad after 15 min", 0.25, LIVE_ERRORS, 900, false),
            new Scenario("5% errors", LIVE_BAD, 0.05, 0, false),
            new Scenario("15% bad, 2 of 6 hosts cut off", 0.15, LIVE_ERRORS, 0, true));
    ObjectiveWeights latency = new ObjectiveWeights(1, 4, 1);
    ObjectiveWeights exposure = new ObjectiveWeights(1, 1, 4);
    List<List<Object>> rows = new ArrayList<>();
    for (Scenario scenario : scenarios) {
      double base =
          row(rows, scenario, "fixed share, 10% rated", r -> fixed(scenario, SAMPLED, r), 0);
      row(rows, scenario, "fixed share, all rated", r -> fixed(scenario, 1, r), base);
      row(rows, scenario, "staged, latency 4", r -> staged(scenario, latency, 1, r), base);
      row(rows, scenario, "staged, exposure 4", r -> staged(scenario, exposure, 1, r), base);
      row(rows, scenario, "staged, 10% rated", r -> staged(scenario, exposure, SAMPLED, r), base);
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
    liveMonitor();
  }

  private double row(
      List<List<Object>> rows,
      Scenario scenario,
      String policy,
      Function<RandomGenerator, Run> simulation,
      double base) {
    int runs = scenario.harmless() ? RUNS_WITHOUT_FAULT : RUNS;
    RandomGenerator random = results.random(rows.size());
    double[] harm = new double[runs];
    List<Integer> stops = new ArrayList<>();
    List<Integer> finished = new ArrayList<>();
    double sum = 0;
    for (int i = 0; i < runs; i++) {
      Run run = simulation.apply(random);
      harm[i] = run.harm;
      sum += run.harm;
      if (run.stoppedAt >= 0) {
        stops.add(run.stoppedAt);
      }
      if (run.liveAt >= 0) {
        finished.add(run.liveAt);
      }
    }
    Arrays.sort(harm);
    double mean = sum / runs;
    rows.add(
        List.of(
            scenario.name,
            policy,
            runs,
            Results.round(stops.size() / (double) runs, 4),
            Results.round(mean, 1),
            base > 0 ? Results.round(mean / base, 3) : 1,
            Results.round(harm[(int) (0.95 * (runs - 1))], 1),
            median(stops),
            median(finished)));
    return mean;
  }

  private static Object median(List<Integer> values) {
    if (values.isEmpty()) {
      return "-";
    }
    return values.stream().sorted().toList().get(values.size() / 2);
  }

  /** One share for one window, then z-tests of two proportions, each at 0.5%. */
  private Run fixed(Scenario scenario, double rated, RandomGenerator random) {
    Run run = new Run();
    VersionCounts candidate = VersionCounts.NONE;
    VersionCounts live = VersionCounts.NONE;
    for (int t = 0; t < SECONDS && run.stoppedAt < 0; t += TICK_SECONDS) {
      double share = t < BASELINE_SECONDS ? BASELINE_SHARE : 1;
      Tick tick = tick(scenario, t, share, rated, 1, random);
      run.harm += tick.harm;
      if (t < BASELINE_SECONDS) {
        candidate = candidate.plus(tick.candidate);
        live = live.plus(tick.live);
      } else if (t == BASELINE_SECONDS) {
        if (z(candidate.bad(), candidate.rated(), live.bad(), live.rated()) > BASELINE_Z
            || z(candidate.errors(), candidate.answers(), live.errors(), live.answers())
                > BASELINE_Z) {
          run.stoppedAt = t;
        } else {
          run.liveAt = t;
        }
      }
    }
    return run;
  }

  private static double z(long bad, long count, long liveBad, long liveCount) {
    double pooled = (bad + liveBad) / (double) (count + liveCount);
    double variance = pooled * (1 - pooled) * (1.0 / count + 1.0 / liveCount);
    return (bad / (double) count - liveBad / (double) liveCount) / Math.sqrt(variance);
  }

  private Run staged(
      Scenario scenario, ObjectiveWeights weights, double rated, RandomGenerator random) {
    Run run = new Run();
    StageController controller = new StageController(weights);
    LocalRolloutMonitor[] brakes = new LocalRolloutMonitor[HOSTS];
    for (int h = 0; h < HOSTS; h++) {
      brakes[h] = new LocalRolloutMonitor(HOSTS);
    }
    Tick[][] pending = new Tick[HOSTS][RATING_DELAY_SECONDS / TICK_SECONDS];
    RolloutState state = RolloutState.begin(0, VersionCounts.NONE, VersionCounts.NONE);
    for (int t = 0; t < SECONDS; t += TICK_SECONDS) {
      VersionCounts candidate = VersionCounts.NONE;
      VersionCounts live = VersionCounts.NONE;
      boolean serving = false;
      int slot = t / TICK_SECONDS % (RATING_DELAY_SECONDS / TICK_SECONDS);
      for (int h = 0; h < HOSTS; h++) {
        boolean reached = !scenario.cutOff || h >= CUT_OFF_HOSTS;
        // A host that is cut off keeps the first stage's share, which it knew last.
        double share = reached ? StageController.share(state) : 0.01;
        share = brakes[h].isStopped(NEW) ? 0 : share;
        serving |= share > 0;
        Tick tick = tick(scenario, t, share, rated, 1.0 / HOSTS, random);
        run.harm += tick.harm;
        Tick due = pending[h][slot];
        pending[h][slot] = tick;
        if (due != null) {
          brakes[h].add(NEW, due.candidate);
          brakes[h].add(OLD, due.live);
        }
        if (reached) {
          candidate = candidate.plus(brakes[h].counts(NEW));
          live = live.plus(brakes[h].counts(OLD));
        }
      }
      spreadStops(scenario, brakes);
      StageDecision decision = controller.decide(state, candidate, live, t * 1000L);
      state = decision.state();
      if (state.status() == RolloutState.Status.COMPLETED) {
        run.liveAt = t;
        serve(scenario, t + TICK_SECONDS, run, random);
        return run;
      }
      if (!serving) {
        run.stoppedAt = run.stoppedAt < 0 ? t : run.stoppedAt;
        return run;
      }
    }
    return run;
  }

  /** Serves with the new version as the live one until its monitor falls back to the old one. */
  private static void serve(Scenario scenario, int from, Run run, RandomGenerator random) {
    if (scenario.harmless()) {
      return;
    }
    LiveMonitor monitor = new LiveMonitor(LIVE_BAD + ACCEPTED_EXCESS);
    for (int t = from; t < SECONDS; t += TICK_SECONDS) {
      Tick tick = tick(scenario, t, 1, SAMPLED, 1, random);
      run.harm += tick.harm;
      for (int i = 0; i < tick.candidate.rated(); i++) {
        if (monitor.observe(random.nextDouble() * tick.candidate.rated() < tick.candidate.bad())) {
          run.harm += REQUESTS_PER_SECOND * RATING_DELAY_SECONDS * scenario.bad;
          run.stoppedAt = t + RATING_DELAY_SECONDS;
          return;
        }
      }
    }
  }

  private static void spreadStops(Scenario scenario, LocalRolloutMonitor[] brakes) {
    for (int h = 0; h < HOSTS; h++) {
      int from = h;
      brakes[h]
          .stopIfWorse(NEW, OLD)
          .ifPresent(
              evidence -> {
                for (int other = 0; other < HOSTS; other++) {
                  boolean sameSide = (other < CUT_OFF_HOSTS) == (from < CUT_OFF_HOSTS);
                  if (!scenario.cutOff || sameSide) {
                    brakes[other].recordPeerStop(NEW, evidence);
                  }
                }
              });
    }
  }

  /**
   * Draws the requests of one tick. The counts of a thinned Poisson stream are independent Poisson
   * counts, so that each is drawn by itself. The live version is rated with the sampled part.
   */
  private static Tick tick(
      Scenario scenario, int t, double share, double rated, double part, RandomGenerator random) {
    double badRate = t < scenario.badAfterSeconds ? LIVE_BAD : scenario.bad;
    double arrivals = REQUESTS_PER_SECOND * TICK_SECONDS * part;
    double mean = arrivals * share;
    long errors = poisson(mean * scenario.errors, random);
    long ratedBad = poisson(mean * rated * badRate, random);
    long ratedGood = poisson(mean * rated * (1 - badRate), random);
    long unratedBad = poisson(mean * (1 - rated) * badRate, random);
    long unratedGood = poisson(mean * (1 - rated) * (1 - badRate), random);
    long answers = errors + ratedBad + ratedGood + unratedBad + unratedGood;
    VersionCounts candidate = new VersionCounts(answers, errors, ratedBad + ratedGood, ratedBad);
    double liveMean = arrivals * (1 - share);
    long liveErrors = poisson(liveMean * LIVE_ERRORS, random);
    long liveBad = poisson(liveMean * SAMPLED * LIVE_BAD, random);
    long liveGood = poisson(liveMean * SAMPLED * (1 - LIVE_BAD), random);
    long liveOther = poisson(liveMean * (1 - SAMPLED), random);
    VersionCounts live =
        new VersionCounts(
            liveErrors + liveBad + liveGood + liveOther, liveErrors, liveBad + liveGood, liveBad);
    return new Tick(candidate, live, errors + ratedBad + unratedBad);
  }

  private static long poisson(double mean, RandomGenerator random) {
    if (mean > NORMAL_FROM) {
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

  private void liveMonitor() throws IOException {
    List<List<Object>> rows = new ArrayList<>();
    List<double[]> curves = new ArrayList<>();
    for (double bad : new double[] {0.05, 0.10, 0.15, 0.25, 0.40}) {
      RandomGenerator random = results.random(900);
      int runs = 500;
      int limit = 20_000;
      int alarms = 0;
      double delay = 0;
      for (int i = 0; i < runs; i++) {
        LiveMonitor monitor = new LiveMonitor(LIVE_BAD + ACCEPTED_EXCESS);
        int n = 0;
        boolean alarm = false;
        while (n < limit && !alarm) {
          alarm = monitor.observe(random.nextDouble() < bad);
          n++;
        }
        alarms += alarm ? 1 : 0;
        delay += n;
      }
      rows.add(List.of(bad, runs, alarms / (double) runs, Results.round(delay / runs, 1), limit));
      curves.add(new double[] {bad, delay / runs});
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
            .line("live monitor", x, y));
  }

  private record Scenario(
      String name, double bad, double errors, int badAfterSeconds, boolean cutOff) {
    private boolean harmless() {
      return bad <= LIVE_BAD && errors <= LIVE_ERRORS;
    }
  }

  private record Tick(VersionCounts candidate, VersionCounts live, double harm) {}

  private static final class Run {
    private double harm;
    private int stoppedAt = -1;
    private int liveAt = -1;
  }
}
