package org.clementinequay.bench.policy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.config.AccountLimits;
import org.clementinequay.core.limit.AccountLimiter;
import org.clementinequay.core.limit.LimitReport;

/** Measures account limits across hosts, and goodput before, during and after a load surge. */
final class LimitsBench {
  private static final AccountLimits LIMITS = new AccountLimits(100, 50, 10_000);
  private static final double OFFERED_PER_SECOND = 140;
  private static final int DURATION_SECONDS = 240;
  private static final int SKEW_START_SECOND = 60;
  private static final int PARTITION_START_SECOND = 120;
  private static final int REMOVAL_SECOND = 150;
  private static final int PARTITION_END_SECOND = 180;
  private static final int PARTITIONED_HOSTS = 2;
  private static final double[] HOST_SIZES = Deployment.HOST_SIZES;

  private final Results results;

  LimitsBench(Results results) {
    this.results = results;
  }

  void run() throws IOException {
    List<List<Object>> rows = new ArrayList<>();
    SvgPlot plot = new SvgPlot("Admitted for one account, limit 100/s", "second", "per s", false);
    for (Sharing sharing : Sharing.values()) {
      int[] admittedPerSecond = simulate(sharing, results.random(1));
      rows.add(row(sharing, admittedPerSecond));
      double[] x = new double[DURATION_SECONDS];
      double[] y = new double[DURATION_SECONDS];
      for (int second = 0; second < DURATION_SECONDS; second++) {
        x[second] = second;
        y[second] = admittedPerSecond[second];
      }
      plot.addLine(sharing.label, x, y);
    }
    results.table(
        "admitted requests of one account per second, limit 100, offered 140",
        List.of(
            "shares",
            "by size 20-60",
            "skewed 80-120",
            "cut 125-150",
            "dropped 155-180",
            "healed 200-240",
            "worst 1 s",
            "worst 10 s"),
        rows);
    results.plot("limits-account", plot);
    surge();
  }

  private static List<Object> row(Sharing sharing, int[] admittedPerSecond) {
    return List.of(
        sharing.label,
        mean(admittedPerSecond, 20, 60),
        mean(admittedPerSecond, 80, 120),
        mean(admittedPerSecond, 125, 150),
        mean(admittedPerSecond, 155, 180),
        mean(admittedPerSecond, 200, 240),
        worstMean(admittedPerSecond, 1),
        worstMean(admittedPerSecond, 10));
  }

  private static double mean(int[] admittedPerSecond, int from, int to) {
    double sum = 0;
    for (int second = from; second < to; second++) {
      sum += admittedPerSecond[second];
    }
    return Results.round(sum / (to - from), 1);
  }

  private static double worstMean(int[] admittedPerSecond, int seconds) {
    double worstMean = 0;
    // Skips the first ten seconds, in which the initial burst allowance is used up.
    for (int second = 10; second + seconds <= DURATION_SECONDS; second++) {
      worstMean = Math.max(worstMean, mean(admittedPerSecond, second, second + seconds));
    }
    return worstMean;
  }

  private static int[] simulate(Sharing sharing, RandomGenerator random) {
    AccountLimiter[] limiters = new AccountLimiter[HOST_SIZES.length];
    for (int host = 0; host < HOST_SIZES.length; host++) {
      limiters[host] = new AccountLimiter(host(host));
      limiters[host].setMembers(weights(sharing, 0));
    }
    int[] admittedPerSecond = new int[DURATION_SECONDS];
    double time = 0;
    int second = 0;
    while (second < DURATION_SECONDS) {
      time += random.nextExponential() / OFFERED_PER_SECOND;
      while (second < DURATION_SECONDS && time >= second + 1) {
        second++;
        tick(sharing, limiters, second);
      }
      if (second < DURATION_SECONDS) {
        int host = pickHost(second >= SKEW_START_SECOND, random);
        long now = (long) (time * 1e9);
        if (limiters[host].tryAcquire("x", LIMITS, now).admitted()) {
          limiters[host].release("x");
          admittedPerSecond[second]++;
        }
      }
    }
    return admittedPerSecond;
  }

  private static void tick(Sharing sharing, AccountLimiter[] limiters, int second) {
    long now = second * 1_000_000_000L;
    boolean partitioned = second >= PARTITION_START_SECOND && second < PARTITION_END_SECOND;
    if (second == REMOVAL_SECOND || second == PARTITION_END_SECOND) {
      int from = second == REMOVAL_SECOND ? PARTITIONED_HOSTS : 0;
      for (int host = from; host < limiters.length; host++) {
        limiters[host].setMembers(weights(sharing, from));
      }
    }
    if (sharing != Sharing.DEMAND) {
      return;
    }
    LimitReport[] reports = new LimitReport[limiters.length];
    for (int host = 0; host < limiters.length; host++) {
      reports[host] = limiters[host].rebalance(now);
    }
    for (int from = 0; from < limiters.length; from++) {
      for (int to = 0; to < limiters.length; to++) {
        if (!partitioned || (from < PARTITIONED_HOSTS) == (to < PARTITIONED_HOSTS)) {
          limiters[to].merge(reports[from]);
        }
      }
    }
  }

  private static Map<Incarnation, Double> weights(Sharing sharing, int from) {
    Map<Incarnation, Double> weights = new TreeMap<>();
    for (int host = from; host < HOST_SIZES.length; host++) {
      weights.put(host(host), sharing == Sharing.EQUAL ? 1 : HOST_SIZES[host]);
    }
    return weights;
  }

  private static Incarnation host(int number) {
    return new Incarnation(String.format("%032x", number + 1));
  }

  /**
   * Picks a host in proportion to the host sizes. If skewed, 70% of the account's requests go to
   * the hosts 2, 3 and 4 instead.
   */
  private static int pickHost(boolean skewed, RandomGenerator random) {
    if (skewed && random.nextDouble() < 0.7) {
      return 2 + random.nextInt(3);
    }
    double draw = random.nextDouble() * 16;
    int host = 0;
    while (host < HOST_SIZES.length - 1 && draw >= HOST_SIZES[host]) {
      draw -= HOST_SIZES[host++];
    }
    return host;
  }

  private void surge() throws IOException {
    List<List<Object>> rows = new ArrayList<>();
    SvgPlot plot = new SvgPlot("Answers in time per second", "second", "per s", false);
    for (boolean shed : new boolean[] {false, true}) {
      for (boolean retryBudget : new boolean[] {false, true}) {
        String name =
            (shed ? "shedding" : "no shedding") + (retryBudget ? ", budget" : ", no budget");
        SurgeSimulation simulation = new SurgeSimulation(shed, retryBudget, results.random(2));
        simulation.run();
        rows.addAll(simulation.rows(name));
        plot.addLine(name, simulation.seconds(), simulation.goodput());
      }
    }
    results.table("surge to 175% of capacity from second 60 to 120", SurgeSimulation.HEADER, rows);
    results.plot("limits-surge", plot);
  }

  private enum Sharing {
    EQUAL("equal shares"),
    SIZE("shares by size"),
    DEMAND("shares by demand and size");

    private final String label;

    Sharing(String label) {
      this.label = label;
    }
  }
}
