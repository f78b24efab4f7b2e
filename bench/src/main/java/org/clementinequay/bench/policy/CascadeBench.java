package org.clementinequay.bench.policy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.clementinequay.bench.policy.CascadeWorkload.Item;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.cascade.CascadePlan;
import org.clementinequay.core.cascade.CascadePlanner;
import org.clementinequay.core.cascade.CascadeRequest;
import org.clementinequay.core.cascade.LearnedRates;
import org.clementinequay.core.cascade.RateKey;
import org.clementinequay.core.cascade.RatePath;
import org.clementinequay.core.cascade.RatingSampler;
import org.clementinequay.core.config.ObjectiveWeights;

/**
 * Compares cascade policies: their cost relative to oracles, their quality relative to the targets
 * of the request classes, and their latency.
 */
final class CascadeBench {
  private static final int HOSTS = 6;
  private static final double SAMPLING_RATE = 0.10;
  private static final double RESTART_AT_SECONDS = 1800;
  private static final double PARTITION_START_SECONDS = 2700;
  private static final double PARTITION_END_SECONDS = 3000;
  private static final double WINDOW_SECONDS = 300;
  private static final double FIXED_PASS_RATE = 0.6;

  private final Results results;
  private final CascadeWorkload workload;

  CascadeBench(Results results) {
    this.results = results;
    this.workload = new CascadeWorkload(results.random(1));
  }

  void run() throws IOException {
    Map<String, CascadeTally> tallies = new LinkedHashMap<>();
    tallies.put("oracle with slack", oracle(true));
    tallies.put("oracle, cheapest good answer", oracle(false));
    tallies.put("always dearest", fixedSteps(item -> List.of(2)));
    tallies.put("cheapest first", fixedSteps(item -> List.of(0, 1, 2)));
    tallies.put("fixed threshold", fixedThreshold());
    tallies.put("rates known in hindsight", hindsightPlanner());
    tallies.put("planner, cost only", planner(new ObjectiveWeights(1, 0, 0), true));
    tallies.put("planner, equal weights", planner(ObjectiveWeights.EQUAL, true));
    tallies.put("planner, latency 4", planner(new ObjectiveWeights(1, 4, 1), true));
    tallies.put("planner, exposure 4", planner(new ObjectiveWeights(1, 1, 4), true));
    tallies.put("planner, no sharing", planner(ObjectiveWeights.EQUAL, false));
    CascadeTally oracleWithSlack = tallies.get("oracle with slack");
    CascadeTally cheapestGoodOracle = tallies.get("oracle, cheapest good answer");
    List<List<Object>> rows = new ArrayList<>();
    tallies.forEach(
        (name, tally) -> rows.add(tally.row(name, oracleWithSlack, cheapestGoodOracle)));
    results.table("cost, quality and time by policy", CascadeTally.HEADER, rows);
    plots(tallies);
  }

  private void plots(Map<String, CascadeTally> tallies) throws IOException {
    SvgPlot cost = new SvgPlot("Cost by 5-minute window", "minute", "micros/request", false);
    SvgPlot quality =
        new SvgPlot("Good answers of class tag (target 0.90)", "minute", "share", false);
    for (String name :
        List.of(
            "planner, equal weights",
            "oracle with slack",
            "rates known in hindsight",
            "cheapest first",
            "fixed threshold")) {
      CascadeTally tally = tallies.get(name);
      cost.addLine(name, CascadeTally.windowCentresMinutes(WINDOW_SECONDS), tally.costByWindow());
      quality.addLine(
          name, CascadeTally.windowCentresMinutes(WINDOW_SECONDS), tally.qualityByWindow(2));
    }
    results.plot("cascade-cost", cost);
    results.plot("cascade-quality", quality);
  }

  private CascadeTally oracle(boolean slack) {
    CascadeTally tally = new CascadeTally(WINDOW_SECONDS);
    Map<Integer, List<Item>> savings = new HashMap<>();
    Map<Integer, int[]> counts = new HashMap<>();
    for (Item item : workload.items) {
      int cell = item.account() * 10 + item.classIndex();
      int[] count = counts.computeIfAbsent(cell, k -> new int[2]);
      count[0]++;
      int best = cheapestGood(item);
      if (best < 0) {
        count[1]++;
      } else if (best > 0) {
        savings.computeIfAbsent(cell, k -> new ArrayList<>()).add(item);
      }
    }
    Set<Item> allowedBad = Collections.newSetFromMap(new IdentityHashMap<>());
    savings.forEach(
        (cell, list) -> {
          int[] count = counts.get(cell);
          double target = CascadeWorkload.CLASSES.get(cell % 10).qualityTarget();
          int badAnswerBudget = Math.max(0, (int) Math.floor(count[0] * (1 - target)) - count[1]);
          list.sort(Comparator.comparingDouble(i -> i.cost()[0] - i.cost()[cheapestGood(i)]));
          allowedBad.addAll(list.subList(0, Math.min(badAnswerBudget, list.size())));
        });
    for (Item item : workload.items) {
      int best = cheapestGood(item);
      int version = best < 0 || (slack && allowedBad.contains(item)) ? 0 : best;
      tally.add(item, item.cost()[version], item.millis()[version], item.good(version));
    }
    return tally;
  }

  private static int cheapestGood(Item item) {
    for (int version = 0; version < item.latent().length; version++) {
      if (item.good(version)) {
        return version;
      }
    }
    return -1;
  }

  private CascadeTally fixedSteps(Function<Item, List<Integer>> stepsOf) {
    RandomGenerator random = results.random(2);
    CascadeTally tally = new CascadeTally(WINDOW_SECONDS);
    for (Item item : workload.items) {
      execute(item, stepsOf.apply(item), random, tally);
    }
    return tally;
  }

  /**
   * Asks the cheapest version first where it passed often enough in the first five minutes, and
   * only the most expensive one elsewhere.
   */
  private CascadeTally fixedThreshold() {
    RandomGenerator random = results.random(3);
    Map<Integer, int[]> earlyCounts = new HashMap<>();
    for (Item item : workload.items) {
      if (item.time() < WINDOW_SECONDS) {
        int[] count =
            earlyCounts.computeIfAbsent(item.account() * 10 + item.classIndex(), k -> new int[2]);
        count[0]++;
        count[1] += CascadeWorkload.isRatedGood(item, 0, random) ? 1 : 0;
      }
    }
    return fixedSteps(
        item -> {
          int[] count =
              earlyCounts.getOrDefault(item.account() * 10 + item.classIndex(), new int[] {1, 0});
          return count[1] >= FIXED_PASS_RATE * count[0] ? List.of(0, 2) : List.of(2);
        });
  }

  private CascadeTally hindsightPlanner() {
    LearnedRates[] phases = new LearnedRates[3];
    for (int i = 0; i < phases.length; i++) {
      phases[i] = new LearnedRates(new Incarnation("0".repeat(32)));
    }
    RandomGenerator random = results.random(4);
    for (Item item : workload.items) {
      for (int versionSubset = 1; versionSubset < 8; versionSubset++) {
        recordPath(item, versionSubset, phases[phase(item.time())], random);
      }
    }
    CascadeTally tally = new CascadeTally(WINDOW_SECONDS);
    CascadePlanner[] planners = new CascadePlanner[phases.length];
    for (int i = 0; i < planners.length; i++) {
      planners[i] = new CascadePlanner(phases[i], new ObjectiveWeights(1, 0, 0));
    }
    for (Item item : workload.items) {
      CascadePlan plan = planners[phase(item.time())].choose(request(item, random), 0);
      execute(item, indexes(plan), random, tally);
    }
    return tally;
  }

  private static void recordPath(
      Item item, int versionSubset, LearnedRates rates, RandomGenerator random) {
    List<ModelVersion> path = new ArrayList<>();
    for (int version = 0; version < 3; version++) {
      if ((versionSubset & (1 << version)) == 0) {
        continue;
      }
      path.add(CascadeWorkload.VERSIONS.get(version));
      boolean pass = CascadeWorkload.isRatedGood(item, version, random);
      if (versionSubset >> (version + 1) == 0) {
        rates.record(key(item, path, RateKey.Kind.PASS), pass, 0);
        if (pass) {
          rates.record(key(item, path, RateKey.Kind.KEPT), item.good(version), 0);
        }
      }
      if (pass) {
        return;
      }
    }
  }

  private static RateKey key(Item item, List<ModelVersion> path, RateKey.Kind kind) {
    String className = CascadeWorkload.CLASSES.get(item.classIndex()).name();
    return new RateKey(item.accountName(), className, new RatePath(path), kind);
  }

  private static int phase(double time) {
    return time < CascadeWorkload.DRIFT_START_SECONDS
        ? 0
        : time < CascadeWorkload.DRIFT_END_SECONDS ? 1 : 2;
  }

  private CascadeTally planner(ObjectiveWeights weights, boolean sharing) {
    RandomGenerator random = results.random(5);
    RatingSampler sampler = new RatingSampler(SAMPLING_RATE);
    CascadeTally tally = new CascadeTally(WINDOW_SECONDS);
    LearnedRates[] rates = new LearnedRates[HOSTS];
    CascadePlanner[] planners = new CascadePlanner[HOSTS];
    int incarnations = 0;
    for (int i = 0; i < HOSTS; i++) {
      rates[i] = new LearnedRates(new Incarnation(String.format("%032x", ++incarnations)));
      planners[i] = new CascadePlanner(rates[i], weights);
    }
    PriorityQueue<DelayedRating> pendingRatings =
        new PriorityQueue<>(Comparator.comparingDouble(DelayedRating::dueSeconds));
    double nextExchange = 1;
    boolean restarted = false;
    for (Item item : workload.items) {
      if (!restarted && item.time() >= RESTART_AT_SECONDS) {
        restarted = true;
        rates[0] = new LearnedRates(new Incarnation(String.format("%032x", ++incarnations)));
        planners[0] = new CascadePlanner(rates[0], weights);
        if (sharing) {
          for (var report : rates[1].reportsOfOtherOrigins(toNanos(item.time()))) {
            rates[0].merge(report, toNanos(item.time()));
          }
        }
      }
      while (sharing && nextExchange <= item.time()) {
        exchange(rates, nextExchange);
        nextExchange += 1;
      }
      while (!pendingRatings.isEmpty() && pendingRatings.peek().dueSeconds() <= item.time()) {
        DelayedRating rating = pendingRatings.poll();
        rates[rating.host()].record(rating.key(), rating.good(), toNanos(rating.dueSeconds()));
      }
      int host = random.nextInt(HOSTS);
      CascadePlan plan = planners[host].choose(request(item, random), toNanos(item.time()));
      Execution execution = execute(item, indexes(plan), random, tally);
      recordExecution(item, plan, execution, rates[host]);
      String className = CascadeWorkload.CLASSES.get(item.classIndex()).name();
      boolean sampled =
          sampler.sample(item.accountName(), className, random.nextDouble(), toNanos(item.time()));
      if (sampled || plan.exploring()) {
        pendingRatings.add(delayedRating(item, plan, execution, host, random));
      }
    }
    return tally;
  }

  private static void exchange(LearnedRates[] rates, double time) {
    boolean partitioned = time >= PARTITION_START_SECONDS && time < PARTITION_END_SECONDS;
    for (int from = 0; from < HOSTS; from++) {
      var report = rates[from].report(toNanos(time));
      for (int to = 0; to < HOSTS; to++) {
        if (to != from && !(partitioned && (to < 2) != (from < 2))) {
          rates[to].merge(report, toNanos(time));
        }
      }
    }
  }

  private static void recordExecution(
      Item item, CascadePlan plan, Execution execution, LearnedRates rates) {
    long now = toNanos(item.time());
    String className = CascadeWorkload.CLASSES.get(item.classIndex()).name();
    for (int i = 0; i <= execution.step(); i++) {
      int version = CascadeWorkload.VERSIONS.indexOf(plan.steps().get(i));
      rates.recordTime(className, plan.steps().get(i), item.millis()[version], now);
      if (i < plan.steps().size() - 1) {
        RateKey key = key(item, plan.steps().subList(0, i + 1), RateKey.Kind.PASS);
        rates.record(key, i == execution.step(), now);
      }
    }
  }

  private static DelayedRating delayedRating(
      Item item, CascadePlan plan, Execution execution, int host, RandomGenerator random) {
    boolean checked = execution.step() < plan.steps().size() - 1;
    RateKey.Kind kind = checked ? RateKey.Kind.KEPT : RateKey.Kind.PASS;
    RateKey key = key(item, plan.steps().subList(0, execution.step() + 1), kind);
    boolean good = CascadeWorkload.isRatedGood(item, execution.version(), random);
    return new DelayedRating(item.time() + 5 + 25 * random.nextDouble(), host, key, good);
  }

  private static CascadeRequest request(Item item, RandomGenerator random) {
    var requestClass = CascadeWorkload.CLASSES.get(item.classIndex());
    return new CascadeRequest(
        item.accountName(),
        requestClass.name(),
        requestClass.qualityTarget(),
        requestClass.deadlineMillis(),
        CascadeWorkload.CHECK_MILLIS,
        random.nextDouble(),
        CascadeWorkload.candidates(item.classIndex()));
  }

  private static Execution execute(
      Item item, List<Integer> steps, RandomGenerator random, CascadeTally tally) {
    double cost = 0;
    double millis = 0;
    int step = 0;
    while (true) {
      int version = steps.get(step);
      cost += item.cost()[version];
      millis += item.millis()[version];
      boolean last = step == steps.size() - 1;
      if (!last) {
        millis += CascadeWorkload.CHECK_MILLIS;
      }
      if (last || CascadeWorkload.isRatedGood(item, version, random)) {
        tally.add(item, cost, millis, item.good(version));
        return new Execution(step, version);
      }
      step++;
    }
  }

  private static List<Integer> indexes(CascadePlan plan) {
    return plan.steps().stream().map(CascadeWorkload.VERSIONS::indexOf).toList();
  }

  private static long toNanos(double seconds) {
    return (long) (seconds * 1e9);
  }

  private record Execution(int step, int version) {}

  private record DelayedRating(double dueSeconds, int host, RateKey key, boolean good) {}
}
