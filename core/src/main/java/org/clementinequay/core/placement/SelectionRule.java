package org.clementinequay.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;
import org.clementinequay.core.SplitMix64;
import org.clementinequay.core.placement.EngineSelector.Basis;

/** Chooses one of several engines by estimates of each. */
enum SelectionRule {
  /**
   * Shortest estimated completion time, for few hosts, which see much of the load themselves. The
   * engine that all hosts prefer for a prefix is credited with a part of what the prefix saves,
   * because another host may have sent it there.
   */
  OWN_LOAD {
    @Override
    Selection choose(List<Estimate> engines, Demand demand, RandomGenerator random) {
      Estimate preferred =
          demand.prefixKey() == 0
              ? null
              : engines.stream()
                  .min(Comparator.comparingDouble(engine -> score(demand, engine, 1)))
                  .orElse(null);
      return engines.stream()
          .map(engine -> engine == preferred ? engine.withCredit(demand) : engine)
          .min(Comparator.comparingDouble(Estimate::totalMillis))
          .map(engine -> new Selection(engine, Basis.LOAD))
          .orElse(null);
    }
  },

  /**
   * For many hosts, each of which knows the load with a delay and only in part. All hosts send a
   * prefix to the same engine while the load there is bounded (consistent hashing with bounded
   * loads; Mirrokni, Thorup, Zadimoghaddam, 2018), and then to the next one in the order of the
   * hash, which thus gets a copy. What the prefix saves raises the bound. Other requests, and those
   * for which no engine in the order has room, go to the better of two random engines
   * (Mitzenmacher, 2000): with the best of all, the hosts would follow the same reports to the same
   * engine.
   */
  BOUNDED_LOAD {
    @Override
    Selection choose(List<Estimate> engines, Demand demand, RandomGenerator random) {
      if (engines.isEmpty()) {
        return null;
      }
      if (demand.prefixKey() != 0) {
        double mean = engines.stream().mapToDouble(Estimate::waitMillis).average().orElse(0);
        double slack = demand.workMillis() + SAVING_FACTOR * demand.savedMillis();
        Basis basis = Basis.PREFIX;
        for (Estimate engine : inHashOrder(engines, demand)) {
          double bound = MIN_LOAD_BOUND + random.nextDouble() * (MAX_LOAD_BOUND - MIN_LOAD_BOUND);
          if (engine.waitMillis() <= bound * mean + slack) {
            return new Selection(engine, basis);
          }
          basis = Basis.PREFIX_COPY;
        }
      }
      Estimate one = engines.get(random.nextInt(engines.size()));
      Estimate other = engines.get(random.nextInt(engines.size()));
      return new Selection(other.totalMillis() < one.totalMillis() ? other : one, Basis.LOAD);
    }
  };

  /** Engines that may get copies of a prefix. */
  private static final int MAX_COPIES = 3;

  /**
   * Load that an engine may have for the sake of a prefix, relative to the mean. The bound is drawn
   * between these, because with the same bound all hosts would move a popular prefix together.
   */
  private static final double MIN_LOAD_BOUND = 1;

  private static final double MAX_LOAD_BOUND = 2;

  /**
   * Milliseconds of work by which an engine may be ahead for a saved millisecond of prefill. Work
   * is shared by all runs of a batch, so that it delays the first event by less than itself.
   */
  private static final double SAVING_FACTOR = 2;

  /**
   * Fraction of the work saved by a cached prefix that is credited to the engine that all hosts
   * prefer for this prefix, although this host has not seen that it holds the prefix.
   */
  private static final double PREFERRED_ENGINE_CREDIT = 0.5;

  private static final int UNUSED_HASH_BITS = 11;

  /**
   * What a request needs.
   *
   * @param prefixKey key of the whole prefix; 0 if there is none
   * @param workMillis work of the request on an engine that has cached nothing
   * @param savedMillis work that the cached prefix saves
   */
  record Demand(long prefixKey, double workMillis, double savedMillis) {}

  /**
   * Estimates for one engine.
   *
   * @param speed speed relative to the mean
   * @param waitMillis time that the engine needs for the known outstanding work
   * @param workMillis work of the request, reduced by what is cached, at mean speed
   * @param prefillMillis time to read the prompt
   */
  record Estimate(
      String name, double speed, double waitMillis, double workMillis, double prefillMillis) {
    /** Returns the time until the request is complete. */
    double totalMillis() {
      return waitMillis + workMillis / speed;
    }

    private Estimate withCredit(Demand demand) {
      double saved = workMillis - (demand.workMillis() - demand.savedMillis());
      return new Estimate(
          name, speed, waitMillis, workMillis - PREFERRED_ENGINE_CREDIT * saved, prefillMillis);
    }
  }

  /** Selected engine and what it was selected for. */
  record Selection(Estimate engine, Basis basis) {}

  /** Chooses an engine; null if there are none. Among equals, the first wins. */
  abstract Selection choose(List<Estimate> engines, Demand demand, RandomGenerator random);

  /**
   * Returns the engines to which all hosts send a prefix, in the same order on every host. Weighted
   * rendezvous hashing gives an engine prefixes in proportion to its speed.
   */
  private static List<Estimate> inHashOrder(List<Estimate> engines, Demand demand) {
    return engines.stream()
        .sorted(Comparator.comparingDouble(engine -> score(demand, engine, engine.speed())))
        .limit(MAX_COPIES)
        .toList();
  }

  private static double score(Demand demand, Estimate engine, double weight) {
    long hash = SplitMix64.mix(demand.prefixKey() ^ SplitMix64.mix(engine.name().hashCode()));
    double uniform = ((hash >>> UNUSED_HASH_BITS) + 0.5) * 0x1p-53;
    return -Math.log(uniform) / weight;
  }
}
