package org.clementinequay.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.clementinequay.core.SplitMix64;

/**
 * Divides the engines of a service into a lane for long prompts and one for all others. Load: an
 * engine reads prompts in chunks between the tokens of its streams, so that a few prompts of many
 * thousand tokens delay the short answers beside them, and no host sees what the others send to an
 * engine. Long prompts therefore delay only each other (size interval task assignment;
 * Harchol-Balter, Crovella, Murta, On Choosing a Task Assignment Policy for a Distributed Server
 * System, 1999).
 *
 * <p>The lanes follow the shares of both kinds in the recent work of this host. The order of the
 * engines is a hash, so that all hosts agree on the lanes without messages, except for the engines
 * around the boundary. Thread-safe.
 */
public final class PromptLanes {
  /**
   * Share of the objective for pauses in a stream from which reading a prompt counts as long: an
   * engine that reads a few prompts at once still sends the next event in time.
   */
  static final double LONG_READ_GAPS = 0.25;

  /** Objective for pauses of routes that state none, in milliseconds. */
  private static final long DEFAULT_GAP_MILLIS = 1000;

  /** Factor on the share of long prompts, whose demand varies more than that of short ones. */
  private static final double LONG_HEADROOM = 1.2;

  private static final double MIN_LONG_SHARE = 0.2;
  private static final double MAX_LONG_SHARE = 0.8;

  /** Factor by which earlier work counts less with each request; about the last 100 count. */
  private static final double DECAY = 0.99;

  /** Share of long prompts that is assumed at first, with the weight of so much work. */
  private static final double INITIAL_LONG_SHARE = 0.4;

  private static final double INITIAL_WORK_MILLIS = 5000;

  /** Number of services that are kept; the one that was used least recently yields. */
  private static final int MAX_SERVICES = 64;

  /** Each lane needs an engine. */
  private static final int LEAST_ENGINES = 2;

  private final int minEngines;
  private final Map<String, Work> workByService =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Work> eldest) {
          return size() > MAX_SERVICES;
        }
      };

  /** Lane of a request. */
  public enum Lane {
    /** Every engine: the service has no lanes now. */
    ANY {
      @Override
      List<String> engines(List<String> ordered, int longEngines) {
        return ordered;
      }
    },
    SHORT {
      @Override
      List<String> engines(List<String> ordered, int longEngines) {
        return ordered.subList(longEngines, ordered.size());
      }
    },
    LONG {
      @Override
      List<String> engines(List<String> ordered, int longEngines) {
        return ordered.subList(0, longEngines);
      }
    };

    abstract List<String> engines(List<String> ordered, int longEngines);
  }

  /** Lane of a request and its engines, in the order in which they were given. */
  public record Assignment(Lane lane, List<String> engines) {}

  private static final class Work {
    private double longMillis = INITIAL_LONG_SHARE * INITIAL_WORK_MILLIS;
    private double allMillis = INITIAL_WORK_MILLIS;

    private void record(double millis, boolean isLong) {
      longMillis = DECAY * longMillis + (isLong ? millis : 0);
      allMillis = DECAY * allMillis + millis;
    }

    private int longEngines(int engines) {
      double share = LONG_HEADROOM * longMillis / allMillis;
      double bounded = Math.min(MAX_LONG_SHARE, Math.max(MIN_LONG_SHARE, share));
      return Math.max(1, Math.min(engines - 1, (int) Math.round(engines * bounded)));
    }
  }

  /**
   * Creates lanes.
   *
   * @param minEngines number of engines from which on a service has lanes; with few engines a lane
   *     would end with one of them. Never if it is not positive.
   */
  public PromptLanes(int minEngines) {
    this.minEngines = minEngines <= 0 ? Integer.MAX_VALUE : Math.max(LEAST_ENGINES, minEngines);
  }

  /** Records the work of an attempt that starts. */
  public synchronized void record(String service, EngineWork work, long gapObjectiveMillis) {
    work(service).record(work.millis(0), isLong(work, gapObjectiveMillis));
  }

  /**
   * Returns the lane of a request and those of the given engines that belong to it.
   *
   * @param gapObjectiveMillis objective for pauses in the streams of the route; 0 if there is none
   */
  public synchronized Assignment assign(
      String service, List<String> engines, EngineWork work, long gapObjectiveMillis) {
    if (engines.size() < minEngines) {
      return new Assignment(Lane.ANY, engines);
    }
    Lane lane = isLong(work, gapObjectiveMillis) ? Lane.LONG : Lane.SHORT;
    List<String> ordered = new ArrayList<>(engines);
    ordered.sort(Comparator.comparingLong(PromptLanes::rank).thenComparing(name -> name));
    List<String> own = lane.engines(ordered, work(service).longEngines(engines.size()));
    return new Assignment(lane, engines.stream().filter(own::contains).toList());
  }

  /** Returns how many of the given number of engines of a service take long prompts. */
  public synchronized int longEngines(String service, int engines) {
    return engines < minEngines ? 0 : work(service).longEngines(engines);
  }

  private Work work(String service) {
    return workByService.computeIfAbsent(service, s -> new Work());
  }

  private static boolean isLong(EngineWork work, long gapObjectiveMillis) {
    long gap = gapObjectiveMillis > 0 ? gapObjectiveMillis : DEFAULT_GAP_MILLIS;
    return work.prefillMillis(0) >= LONG_READ_GAPS * gap;
  }

  private static long rank(String engine) {
    return SplitMix64.mix(SplitMix64.mix(engine.hashCode()));
  }
}
