package org.clementinequay.core.placement;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/**
 * Tracks the outstanding work on each engine and selects an engine for a request. The estimates use
 * work instead of request counts, because counts say little when prompts have long shared prefixes
 * and engines differ in speed: outstanding work plus the work of the request, divided by the
 * measured speed of the engine. An engine that has cached the beginning of the prompt has less work
 * to do.
 *
 * <p>Without {@link #shareLoad} only this host's own work counts, see {@link
 * SelectionRule#OWN_LOAD}: with few hosts and the best engine by exchanged sums, a burst gathered
 * on the engine that the last messages had reported as free. Thread-safe.
 */
public final class EngineSelector {
  /** Weight of a new sample in the moving average; follows a change within about ten answers. */
  private static final double SAMPLE_WEIGHT = 0.15;

  /** Bounds on an engine's speed relative to the mean, which limit the effect of outliers. */
  private static final double MIN_RELATIVE_SPEED = 0.25;

  private static final double MAX_RELATIVE_SPEED = 4;

  private final Map<String, Engine> engines = new HashMap<>();
  private final EngineLoadExchange exchange = new EngineLoadExchange();
  private final Map<Basis, Integer> choices = new EnumMap<>(Basis.class);
  private final RandomGenerator random;
  private int otherHosts;

  /**
   * Chosen engine and the estimates behind the choice.
   *
   * @param waitMillis time that the engine needs for the known outstanding work
   * @param workMillis work of the request in engine milliseconds, reduced by a cached or credited
   *     prefix, and not scaled by the speed of the engine
   * @param prefillMillis time to read the prompt; excludes the wait, because requests that already
   *     run delay the prompt by less than their whole work
   * @param tokens memory of the engine that the request occupies
   */
  public record Choice(
      String engine,
      double waitMillis,
      double workMillis,
      double prefillMillis,
      long tokens,
      Basis basis) {}

  /** What an engine was chosen for. */
  public enum Basis {
    /** The load of the engines, and what this host knows of their caches. */
    LOAD,
    /** All hosts send the beginning of the prompt there. */
    PREFIX,
    /** As before, but to another engine because the load of the first is too high. */
    PREFIX_COPY
  }

  /** Creates a selector with a random generator of its own. */
  public EngineSelector() {
    this(new SplittableRandom());
  }

  public EngineSelector(RandomGenerator random) {
    this.random = random;
  }

  /**
   * Sets whether the work of other hosts counts.
   *
   * @param hosts number of other hosts; 0 if only this host's own work counts
   */
  public synchronized void shareLoad(int hosts) {
    otherHosts = Math.max(0, hosts);
  }

  /** Returns whether the work of other hosts counts. */
  public synchronized boolean sharesLoad() {
    return otherHosts > 0;
  }

  /** Returns the reports of other hosts, for the messages that carry them. */
  public EngineLoadExchange exchange() {
    return exchange;
  }

  /**
   * Chooses an engine. Among equals, the first wins. Engines without room are left out if there are
   * others.
   *
   * @return the choice, or null if there are no candidates
   */
  public synchronized Choice choose(
      List<String> candidates, EngineWork work, PromptPrefix prompt, long nowNanos) {
    PromptPrefix prefix = known(prompt);
    long[] keys = prefix.keys();
    Map<String, EngineLoadExchange.Others> others =
        otherHosts > 0 ? exchange.others(otherHosts, nowNanos) : Map.of();
    double meanMillisPerToken = meanMillisPerToken(candidates);
    List<SelectionRule.Estimate> all = new ArrayList<>(candidates.size());
    List<SelectionRule.Estimate> withRoom = new ArrayList<>(candidates.size());
    for (String name : candidates) {
      Engine engine = engine(name);
      EngineLoadExchange.Others load = others.getOrDefault(name, EngineLoadExchange.Others.NONE);
      double speed = engine.speed(meanMillisPerToken);
      int cached = engine.cache.cachedTokens(prefix, keys);
      SelectionRule.Estimate estimate =
          new SelectionRule.Estimate(
              name,
              speed,
              (engine.outstandingMillis + load.workMillis()) / speed,
              work.millis(cached),
              work.prefillMillis(cached) / speed);
      all.add(estimate);
      if (work.fits(engine.outstandingTokens + load.tokens())) {
        withRoom.add(estimate);
      }
    }
    double millis = work.millis(0);
    SelectionRule.Demand demand =
        new SelectionRule.Demand(
            prefix.isEmpty() ? 0 : keys[keys.length - 1],
            millis,
            millis - work.millis(prefix.tokens()));
    SelectionRule rule = otherHosts > 0 ? SelectionRule.BOUNDED_LOAD : SelectionRule.OWN_LOAD;
    SelectionRule.Selection best = rule.choose(withRoom.isEmpty() ? all : withRoom, demand, random);
    if (best == null) {
      return null;
    }
    choices.merge(best.basis(), 1, Integer::sum);
    return new Choice(
        best.engine().name(),
        best.engine().waitMillis(),
        best.engine().workMillis(),
        best.engine().prefillMillis(),
        work.memoryTokens(),
        best.basis());
  }

  /** Returns the prefix at the detail at which it is compared: by parts only with shared loads. */
  private PromptPrefix known(PromptPrefix prefix) {
    return otherHosts > 0 ? prefix : prefix.asOnePart();
  }

  /**
   * Records that a run was sent to the engine of a choice.
   *
   * @param prefix beginning of the prompt that the engine now caches
   * @param memoryTokens memory of the engine, in tokens
   */
  public synchronized void recordStart(Choice choice, PromptPrefix prefix, long memoryTokens) {
    Engine engine = engine(choice.engine());
    engine.outstandingRuns++;
    engine.outstandingMillis += choice.workMillis();
    engine.outstandingTokens += choice.tokens();
    // What the other hosts send there takes their share of the memory.
    engine.cache.record(known(prefix), memoryTokens / (1 + otherHosts));
  }

  /**
   * Records that a run ended. Until then its whole work counts as outstanding, because a run that
   * has read its prompt and only generates still slows down the prompts that the engine reads at
   * the same time.
   */
  public synchronized void recordEnd(Choice choice) {
    Engine engine = engine(choice.engine());
    engine.outstandingRuns = Math.max(0, engine.outstandingRuns - 1);
    if (engine.outstandingRuns == 0) {
      engine.outstandingMillis = 0;
      engine.outstandingTokens = 0;
    } else {
      engine.outstandingMillis = Math.max(0, engine.outstandingMillis - choice.workMillis());
      engine.outstandingTokens = Math.max(0, engine.outstandingTokens - choice.tokens());
    }
  }

  /**
   * Updates the moving average of an engine's speed.
   *
   * @param millisPerToken generation time per token of a run, divided by the weight of its model
   */
  public synchronized void recordTokenTime(String name, double millisPerToken) {
    Engine engine = engine(name);
    engine.recordTokenTime(millisPerToken, SAMPLE_WEIGHT);
    engine.newSamples++;
    engine.newSamplesMillis += millisPerToken;
  }

  /** Returns this host's sums by engine for a report; the samples count from the last call on. */
  public synchronized List<EngineLoadExchange.EngineSum> takeSums() {
    List<EngineLoadExchange.EngineSum> sums = new ArrayList<>();
    engines.forEach(
        (name, engine) -> {
          double mean = engine.newSamples == 0 ? 0 : engine.newSamplesMillis / engine.newSamples;
          sums.add(
              new EngineLoadExchange.EngineSum(
                  name,
                  engine.outstandingMillis,
                  engine.outstandingTokens,
                  engine.newSamples,
                  mean));
          engine.newSamples = 0;
          engine.newSamplesMillis = 0;
        });
    return sums;
  }

  /** Merges a report of another host, see {@link EngineLoadExchange#merge}. */
  public synchronized void mergeReport(
      String source,
      int hosts,
      boolean full,
      List<EngineLoadExchange.EngineSum> sums,
      long nowNanos) {
    for (EngineLoadExchange.EngineSum sum : exchange.merge(source, hosts, full, sums, nowNanos)) {
      Engine engine = engines.get(sum.engine());
      if (sum.samples() > 0 && sum.millisPerToken() > 0 && engine != null) {
        double weight = 1 - Math.pow(1 - SAMPLE_WEIGHT, sum.samples());
        engine.recordTokenTime(sum.millisPerToken(), weight);
      }
    }
  }

  /** Records that this host received data from an engine. */
  public synchronized void recordReceived(String name, long nowNanos) {
    engine(name).lastReceivedNanos = nowNanos;
    engine(name).everReceived = true;
  }

  /**
   * Returns the time since this host last received data from an engine, in milliseconds; {@code
   * Long.MAX_VALUE} if it never did.
   */
  public synchronized long silenceMillis(String name, long nowNanos) {
    Engine engine = engine(name);
    return engine.everReceived ? (nowNanos - engine.lastReceivedNanos) / 1_000_000 : Long.MAX_VALUE;
  }

  /** Returns the number of choices on a basis. */
  public synchronized int choices(Basis basis) {
    return choices.getOrDefault(basis, 0);
  }

  /** Returns the number of this host's runs that an engine has not finished. */
  public synchronized int outstanding(String name) {
    return engine(name).outstandingRuns;
  }

  /** Forgets which prefixes an engine has cached, because it has none after a cold start. */
  public synchronized void forgetPrefixes(String name) {
    engine(name).cache.clear();
  }

  /** Records the start of an engine's process; a new process has cached nothing. */
  public synchronized void recordProcess(String name, long startMillis) {
    Engine engine = engine(name);
    if (engine.startMillis != startMillis) {
      engine.startMillis = startMillis;
      engine.cache.clear();
    }
  }

  /** Removes the state of all engines that are not among the given names. */
  public synchronized void retain(Set<String> names) {
    engines.keySet().retainAll(names);
    exchange.retain(names);
  }

  private Engine engine(String name) {
    return engines.computeIfAbsent(name, n -> new Engine());
  }

  private double meanMillisPerToken(List<String> candidates) {
    double sum = 0;
    int count = 0;
    for (String name : candidates) {
      double millisPerToken = engine(name).millisPerToken;
      if (millisPerToken > 0) {
        sum += millisPerToken;
        count++;
      }
    }
    return count == 0 ? 0 : sum / count;
  }

  private static final class Engine {
    private final PrefixCache cache = new PrefixCache();
    private int outstandingRuns;
    private double outstandingMillis;
    private long outstandingTokens;
    private double millisPerToken;
    private int newSamples;
    private double newSamplesMillis;
    private long startMillis;
    private long lastReceivedNanos;
    private boolean everReceived;

    private void recordTokenTime(double sample, double weight) {
      millisPerToken =
          millisPerToken == 0 ? sample : millisPerToken + weight * (sample - millisPerToken);
    }

    private double speed(double meanMillisPerToken) {
      if (millisPerToken == 0 || meanMillisPerToken == 0) {
        return 1;
      }
      return Math.min(
          MAX_RELATIVE_SPEED, Math.max(MIN_RELATIVE_SPEED, meanMillisPerToken / millisPerToken));
    }
  }
}
