package org.clementinequay.core.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.clementinequay.core.SplitMix64;

/**
 * Tracks the outstanding work on each engine and selects the engine with the shortest estimated
 * completion time: this host's outstanding work plus the work of the request, divided by the
 * measured speed of the engine. An engine that has cached the shared prefix of the prompt has less
 * work to do. The estimate uses work instead of request counts, because counts say little when
 * prompts have long shared prefixes and engines differ in speed.
 *
 * <p>The work of other hosts is left out on purpose: when hosts exchanged it, a burst at nine hosts
 * gathered on the engine that the last messages had reported as free. Thread-safe.
 */
public final class EngineSelector {
  /** Weight of a new sample in the moving average; follows a change within about ten answers. */
  private static final double SAMPLE_WEIGHT = 0.15;

  /** Bounds on an engine's speed relative to the mean, which limit the effect of outliers. */
  private static final double MIN_RELATIVE_SPEED = 0.25;

  private static final double MAX_RELATIVE_SPEED = 4;

  /** Prompt prefixes remembered for each engine; the cache of an engine holds a few hundred. */
  private static final int MAX_PREFIXES = 1024;

  /**
   * Fraction of the work saved by a cached prefix that is credited to the engine that all hosts
   * prefer for this prefix, although this host has not seen that it holds the prefix.
   */
  private static final double PREFERRED_ENGINE_CREDIT = 0.5;

  private final Map<String, Engine> engines = new HashMap<>();

  /**
   * Chosen engine and the estimates behind the choice.
   *
   * @param waitMillis time that the engine needs for this host's outstanding work
   * @param workMillis work of the request in engine milliseconds, reduced by a cached or credited
   *     prefix, and not scaled by the speed of the engine
   * @param prefillMillis time to read the prompt; excludes the wait, because requests that already
   *     run delay the prompt by less than their whole work
   */
  public record Choice(String engine, double waitMillis, double workMillis, double prefillMillis) {}

  /**
   * Chooses the engine with the shortest estimated completion time. Among equals, the first wins.
   *
   * @param prefixId id of the shared prompt prefix together with the model, or null if there is
   *     none
   * @return the choice, or null if there are no candidates
   */
  public synchronized Choice choose(List<String> candidates, EngineWork work, String prefixId) {
    double meanMillisPerToken = meanMillisPerToken(candidates);
    String preferred = prefixId == null ? null : preferred(candidates, prefixId);
    Choice best = null;
    double bestMillis = 0;
    for (String name : candidates) {
      Engine engine = engine(name);
      boolean cached = prefixId != null && engine.prefixes.containsKey(prefixId);
      double uncachedMillis = work.millis(false);
      double creditedMillis = cached ? work.millis(true) : uncachedMillis;
      if (!cached && name.equals(preferred)) {
        creditedMillis -= PREFERRED_ENGINE_CREDIT * (uncachedMillis - work.millis(true));
      }
      double speed = engine.speed(meanMillisPerToken);
      double wait = engine.outstandingMillis / speed;
      double total = wait + creditedMillis / speed;
      if (best == null || total < bestMillis) {
        best = new Choice(name, wait, creditedMillis, work.prefillMillis(cached) / speed);
        bestMillis = total;
      }
    }
    return best;
  }

  /**
   * Records that a run was sent to an engine.
   *
   * @param workMillis work of the run as in its {@link Choice}
   * @param prefixId id of the prompt prefix that the engine now caches, or null if there is none
   */
  public synchronized void recordStart(String name, double workMillis, String prefixId) {
    Engine engine = engine(name);
    engine.outstandingRuns++;
    engine.outstandingMillis += workMillis;
    if (prefixId != null) {
      engine.prefixes.put(prefixId, true);
    }
  }

  /**
   * Records that a run ended. Until then its whole work counts as outstanding, because a run that
   * has read its prompt and only generates still slows down the prompts that the engine reads at
   * the same time.
   */
  public synchronized void recordEnd(String name, double workMillis) {
    Engine engine = engine(name);
    engine.outstandingRuns = Math.max(0, engine.outstandingRuns - 1);
    engine.outstandingMillis =
        engine.outstandingRuns == 0 ? 0 : Math.max(0, engine.outstandingMillis - workMillis);
  }

  /**
   * Updates the moving average of an engine's speed.
   *
   * @param millisPerToken generation time per token of a run, divided by the weight of its model
   */
  public synchronized void recordTokenTime(String name, double millisPerToken) {
    Engine engine = engine(name);
    engine.millisPerToken =
        engine.millisPerToken == 0
            ? millisPerToken
            : engine.millisPerToken + SAMPLE_WEIGHT * (millisPerToken - engine.millisPerToken);
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

  /** Returns the number of this host's runs that an engine has not finished. */
  public synchronized int outstanding(String name) {
    return engine(name).outstandingRuns;
  }

  /** Forgets which prefixes an engine has cached, because it has none after a cold start. */
  public synchronized void forgetPrefixes(String name) {
    engine(name).prefixes.clear();
  }

  /** Removes the state of all engines that are not among the given names. */
  public synchronized void retain(Set<String> names) {
    engines.keySet().retainAll(names);
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

  /** Uses rendezvous hashing, so that all hosts prefer the same engine for a prefix. */
  private static String preferred(List<String> candidates, String prefixId) {
    String best = null;
    long bestHash = 0;
    for (String name : candidates) {
      long hash =
          SplitMix64.mix(
              prefixId.hashCode() * 0x9e3779b97f4a7c15L ^ SplitMix64.mix(name.hashCode()));
      if (best == null || hash > bestHash) {
        best = name;
        bestHash = hash;
      }
    }
    return best;
  }

  private static final class Engine {
    /** Most recently used prefixes; like the engine, it drops the least recently used one first. */
    private final Map<String, Boolean> prefixes =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_PREFIXES;
          }
        };

    private int outstandingRuns;
    private double outstandingMillis;
    private double millisPerToken;
    private long lastReceivedNanos;
    private boolean everReceived;

    private double speed(double meanMillisPerToken) {
      if (millisPerToken == 0 || meanMillisPerToken == 0) {
        return 1;
      }
      return Math.min(
          MAX_RELATIVE_SPEED, Math.max(MIN_RELATIVE_SPEED, meanMillisPerToken / millisPerToken));
    }
  }
}
