package org.clementinequay.core.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.clementinequay.core.SplitMix64;

/**
 * Keeps the work that is outstanding on each engine and chooses the engine with the least estimated
 * completion time: outstanding work of this host, plus the work of the request, over the engine's
 * learned speed. An engine that holds the shared part of a prompt has less to do for it. This
 * answers a load of long shared prompts on engines of unlike speed, where the number of requests
 * says little. The peers' work is not known here: when hosts told it each other, a burst at nine of
 * them gathered on the engine that the last news called free. Thread-safe.
 */
public final class EngineSelector {
  /** Weight of a new sample of an engine's pace; follows a change within about ten answers. */
  private static final double PACE_WEIGHT = 0.15;

  /** Bounds of the learned speed relative to the mean, against a few odd samples. */
  private static final double SLOWEST = 0.25;

  private static final double FASTEST = 4;

  /** Shared parts remembered for each engine; the memory of one holds some hundred. */
  private static final int MAX_PARTS = 1024;

  /** Advantage of the engine that all hosts prefer for a shared part that none was seen to hold. */
  private static final double PREFERRED_SHARE = 0.5;

  private final Map<String, Engine> engines = new HashMap<>();

  /**
   * Chosen engine and the estimates behind the choice.
   *
   * @param waitMillis time for the work that is outstanding there
   * @param workMillis work of the request
   * @param prefillMillis time to read the prompt; requests that run already do not delay it as much
   *     as their whole work would
   */
  public record Choice(String engine, double waitMillis, double workMillis, double prefillMillis) {}

  /**
   * Chooses among engines.
   *
   * @param sharedPart id of the last shared part of the prompt together with the model, or null
   */
  public synchronized Choice choose(List<String> candidates, EngineWork work, String sharedPart) {
    double meanPace = meanPace(candidates);
    String preferred = sharedPart == null ? null : preferred(candidates, sharedPart);
    Choice best = null;
    double bestMillis = 0;
    for (String name : candidates) {
      Engine engine = engine(name);
      boolean held = sharedPart != null && engine.parts.containsKey(sharedPart);
      double cold = work.millis(false);
      double millis = held ? work.millis(true) : cold;
      if (!held && name.equals(preferred)) {
        millis -= PREFERRED_SHARE * (cold - work.millis(true));
      }
      double speed = engine.speed(meanPace);
      double wait = engine.ownWork / speed;
      double total = wait + millis / speed;
      if (best == null || total < bestMillis) {
        best = new Choice(name, wait, millis, work.prefillMillis(held) / speed);
        bestMillis = total;
      }
    }
    return best;
  }

  /** Records that a run was sent. */
  public synchronized void recordStart(String name, double workMillis, String sharedPart) {
    Engine engine = engine(name);
    engine.own++;
    engine.ownWork += workMillis;
    if (sharedPart != null) {
      engine.parts.put(sharedPart, true);
    }
  }

  /**
   * Records that a run ended. Until then its whole work counts: a run that only generates still
   * slows the prompts that are read beside it.
   */
  public synchronized void recordEnd(String name, double workMillis) {
    Engine engine = engine(name);
    engine.own = Math.max(0, engine.own - 1);
    engine.ownWork = engine.own == 0 ? 0 : Math.max(0, engine.ownWork - workMillis);
  }

  /** Records the time that a run took for a generated token, over the weight of its model. */
  public synchronized void recordTokenTime(String name, double millisPerToken) {
    Engine engine = engine(name);
    engine.pace =
        engine.pace == 0
            ? millisPerToken
            : engine.pace + PACE_WEIGHT * (millisPerToken - engine.pace);
  }

  /** Records that this host received something from an engine. */
  public synchronized void recordReceived(String name, long nowNanos) {
    engine(name).heardNanos = nowNanos;
    engine(name).everHeard = true;
  }

  /** Returns the time since this host received something from an engine, in milliseconds. */
  public synchronized long silenceMillis(String name, long nowNanos) {
    Engine engine = engine(name);
    return engine.everHeard ? (nowNanos - engine.heardNanos) / 1_000_000 : Long.MAX_VALUE;
  }

  /** Returns how many runs of this host are outstanding on an engine. */
  public synchronized int outstanding(String name) {
    return engine(name).own;
  }

  /** Forgets the engines that are not listed any more. */
  public synchronized void retain(Set<String> names) {
    engines.keySet().retainAll(names);
  }

  private Engine engine(String name) {
    return engines.computeIfAbsent(name, n -> new Engine());
  }

  private double meanPace(List<String> candidates) {
    double sum = 0;
    int count = 0;
    for (String name : candidates) {
      double pace = engine(name).pace;
      if (pace > 0) {
        sum += pace;
        count++;
      }
    }
    return count == 0 ? 0 : sum / count;
  }

  /** Rendezvous hashing, so that all hosts prefer the same engine for a part. */
  private static String preferred(List<String> candidates, String part) {
    String best = null;
    long bestHash = 0;
    for (String name : candidates) {
      long hash =
          SplitMix64.mix(part.hashCode() * 0x9e3779b97f4a7c15L ^ SplitMix64.mix(name.hashCode()));
      if (best == null || hash > bestHash) {
        best = name;
        bestHash = hash;
      }
    }
    return best;
  }

  private static final class Engine {
    /** Shared parts that were sent last; the engine itself drops the least recently used. */
    private final Map<String, Boolean> parts =
        new LinkedHashMap<>(16, 0.75f, true) {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_PARTS;
          }
        };

    private int own;
    private double ownWork;
    private double pace;
    private long heardNanos;
    private boolean everHeard;

    private double speed(double meanPace) {
      if (pace == 0 || meanPace == 0) {
        return 1;
      }
      return Math.min(FASTEST, Math.max(SLOWEST, meanPace / pace));
    }
  }
}
