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

/** Measures account limits over several hosts, and goodput before, during and after a surge. */
final class LimitsBench {
  private static final AccountLimits LIMITS = new AccountLimits(100, 50, 10_000);
  private static final double OFFERED = 140;
  private static final int SECONDS = 240;
  private static final int SKEW_FROM = 60;
  private static final int CUT_FROM = 120;
  private static final int DROPPED_FROM = 150;
  private static final int CUT_TO = 180;
  private static final int CUT_OFF_HOSTS = 2;
  private static final double[] SIZES = Deployment.HOST_SIZES;

  private final Results results;

  LimitsBench(Results results) {
    this.results = results;
  }

  void run() throws IOException {
    List<List<Object>> rows = new ArrayList<>();
    SvgPlot plot = new SvgPlot("Admitted for one account, limit 100/s", "second", "per s", false);
    for (Sharing sharing : Sharing.values()) {
      int[] admitted = admitted(sharing, results.random(1));
      rows.add(row(sharing, admitted));
      double[] x = new double[SECONDS];
      double[] y = new double[SECONDS];
      for (int t = 0; t < SECONDS; t++) {
        x[t] = t;
        y[t] = admitted[t];
      }
      plot.line(sharing.label, x, y);
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

  private static List<Object> row(Sharing sharing, int[] admitted) {
    return List.of(
        sharing.label,
        mean(admitted, 20, 60),
        mean(admitted, 80, 120),
        mean(admitted, 125, 150),
        mean(admitted, 155, 180),
        mean(admitted, 200, 240),
        worst(admitted, 1),
        worst(admitted, 10));
  }

  private static double mean(int[] admitted, int from, int to) {
    double sum = 0;
    for (int t = from; t < to; t++) {
      sum += admitted[t];
    }
    return Results.round(sum / (to - from), 1);
  }

  private static double worst(int[] admitted, int seconds) {
    double worst = 0;
    // The burst is spent in the first ten seconds.
    for (int t = 10; t + seconds <= SECONDS; t++) {
      worst = Math.max(worst, mean(admitted, t, t + seconds));
    }
    return worst;
  }

  private static int[] admitted(Sharing sharing, RandomGenerator random) {
    AccountLimiter[] limiters = new AccountLimiter[SIZES.length];
    for (int h = 0; h < SIZES.length; h++) {
      limiters[h] = new AccountLimiter(host(h));
      limiters[h].setMembers(weights(sharing, 0));
    }
    int[] admitted = new int[SECONDS];
    double time = 0;
    int second = 0;
    while (second < SECONDS) {
      time += random.nextExponential() / OFFERED;
      while (second < SECONDS && time >= second + 1) {
        second++;
        tick(sharing, limiters, second);
      }
      if (second < SECONDS) {
        int host = pick(second >= SKEW_FROM, random);
        long now = (long) (time * 1e9);
        if (limiters[host].tryAcquire("x", LIMITS, now).admitted()) {
          limiters[host].release("x");
          admitted[second]++;
        }
      }
    }
    return admitted;
  }

  private static void tick(Sharing sharing, AccountLimiter[] limiters, int second) {
    long now = second * 1_000_000_000L;
    boolean cut = second >= CUT_FROM && second < CUT_TO;
    if (second == DROPPED_FROM || second == CUT_TO) {
      int from = second == DROPPED_FROM ? CUT_OFF_HOSTS : 0;
      for (int h = from; h < limiters.length; h++) {
        limiters[h].setMembers(weights(sharing, from));
      }
    }
    if (sharing != Sharing.DEMAND) {
      return;
    }
    LimitReport[] reports = new LimitReport[limiters.length];
    for (int h = 0; h < limiters.length; h++) {
      reports[h] = limiters[h].rebalance(now);
    }
    for (int from = 0; from < limiters.length; from++) {
      for (int to = 0; to < limiters.length; to++) {
        if (!cut || (from < CUT_OFF_HOSTS) == (to < CUT_OFF_HOSTS)) {
          limiters[to].merge(reports[from]);
        }
      }
    }
  }

  private static Map<Incarnation, Double> weights(Sharing sharing, int from) {
    Map<Incarnation, Double> weights = new TreeMap<>();
    for (int h = from; h < SIZES.length; h++) {
      weights.put(host(h), sharing == Sharing.EQUAL ? 1 : SIZES[h]);
    }
    return weights;
  }

  private static Incarnation host(int number) {
    return new Incarnation(String.format("%032x", number + 1));
  }

  /** By size; after the skew 70% of the account's requests reach the three hosts from number 2. */
  private static int pick(boolean skewed, RandomGenerator random) {
    if (skewed && random.nextDouble() < 0.7) {
      return 2 + random.nextInt(3);
    }
    double draw = random.nextDouble() * 16;
    int host = 0;
    while (host < SIZES.length - 1 && draw >= SIZES[host]) {
      draw -= SIZES[host++];
    }
    return host;
  }

  private void surge() throws IOException {
    List<List<Object>> rows = new ArrayList<>();
    SvgPlot plot = new SvgPlot("Answers in time per second", "second", "per s", false);
    for (boolean shed : new boolean[] {false, true}) {
      for (boolean budget : new boolean[] {false, true}) {
        String name = (shed ? "shedding" : "no shedding") + (budget ? ", budget" : ", no budget");
        SurgeSimulation simulation = new SurgeSimulation(shed, budget, results.random(2));
        simulation.run();
        rows.addAll(simulation.rows(name));
        plot.line(name, simulation.seconds(), simulation.goodput());
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
