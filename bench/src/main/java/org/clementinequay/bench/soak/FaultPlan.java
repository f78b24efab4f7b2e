package org.clementinequay.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Platform faults over the time of a run: phases with random fault probabilities, then a fault-free
 * time until the end, in which recovery can be checked.
 *
 * @param phases phases in the order of their end time
 * @param faultsEndNanos virtual time of the end of all faults in nanoseconds
 */
public record FaultPlan(List<Phase> phases, long faultsEndNanos) {
  private static final Phase FAULT_FREE = new Phase(0, 0, 0, 0, Duration.ofMillis(5));
  private static final long MIN_PHASE_MILLIS = 500;
  private static final long MAX_PHASE_MILLIS = 8_000;

  public FaultPlan {
    phases = List.copyOf(phases);
  }

  /**
   * Fault probabilities and delays of one phase.
   *
   * @param endNanos virtual time at which the phase ends, in nanoseconds
   * @param refuseProbability probability that a call is refused before it takes effect
   * @param loseAnswerProbability probability that the answer to a call is lost after it took effect
   * @param lateProbability probability that a write takes effect only after its caller has given up
   * @param maxDelay upper bound of the network delay of a request or an answer
   */
  public record Phase(
      long endNanos,
      double refuseProbability,
      double loseAnswerProbability,
      double lateProbability,
      Duration maxDelay) {}

  /** Generates a plan whose faults end at the given virtual time. */
  public static FaultPlan random(RandomGenerator random, Duration faultsEnd) {
    List<Phase> phases = new ArrayList<>();
    long end = 0;
    while (end < faultsEnd.toNanos()) {
      end += Duration.ofMillis(random.nextLong(MIN_PHASE_MILLIS, MAX_PHASE_MILLIS)).toNanos();
      end = Math.min(end, faultsEnd.toNanos());
      phases.add(
          switch (random.nextInt(6)) {
            case 0 -> new Phase(end, 1, 0, 0, Duration.ofMillis(20));
            case 1 -> new Phase(end, 0.05, 0.4, 0.1, Duration.ofMillis(50));
            case 2 -> new Phase(end, 0, 0.02, 0.02, Duration.ofSeconds(2));
            case 3 -> new Phase(end, 0.3, 0.2, 0.1, Duration.ofMillis(300));
            default -> new Phase(end, 0.02, 0.02, 0.01, Duration.ofMillis(10));
          });
    }
    return new FaultPlan(phases, faultsEnd.toNanos());
  }

  /** Returns the phase at a virtual time; one without faults after the last phase. */
  public Phase phaseAt(long nanos) {
    for (Phase phase : phases) {
      if (nanos < phase.endNanos()) {
        return phase;
      }
    }
    return FAULT_FREE;
  }
}
