package org.clementinequay.core.admission;

/**
 * Decides whether a request is sent now, waits in this host or is rejected.
 *
 * <p>Load: callers compete for too little room, and all engines that may take a request have
 * rejected one as full moments ago. Offering the request on and on uses up the retries that all
 * callers share, and rejecting it wastes the room that appears within a fraction of its objective.
 * It waits for a bounded time, and is rejected at once if the last answers show that its own would
 * come too late (admission by waiting times instead of queue lengths, as in DAGOR; Zhou et al.,
 * Overload Control for Scaling WeChat Microservices, SoCC 2018).
 */
public final class AdmissionPolicy {
  /** Share of its remaining time that a request waits at most. */
  private static final double MAX_WAIT_SHARE = 0.25;

  /** Longest wait as a share of the latency objective; a later answer is late in any case. */
  private static final double MAX_WAIT_OBJECTIVES = 0.5;

  /** Longest wait of requests without an objective, in milliseconds. */
  private static final double DEFAULT_MAX_WAIT_MILLIS = 500;

  private AdmissionPolicy() {}

  /** What happens to a request now. */
  public enum Decision {
    /** It is sent to an upstream. */
    START,
    /** It waits in the host until there is room. */
    WAIT,
    /** The caller is told that it has not run and when to come back. */
    REJECT
  }

  /**
   * A request and the room for it.
   *
   * @param remainingMillis time until the caller stops waiting
   * @param objectiveMillis latency objective; 0 if there is none
   * @param waitedMillis time that the request has waited in this host
   * @param fastestMillis low quantile of the recent times to the first event; 0 if unknown
   * @param room whether an upstream that did not reject as full moments ago may take the request
   */
  public record Demand(
      long remainingMillis,
      long objectiveMillis,
      long waitedMillis,
      double fastestMillis,
      boolean room) {}

  /** Decides on a request. */
  public static Decision decide(Demand demand) {
    if (demand.fastestMillis() > demand.remainingMillis()) {
      return Decision.REJECT;
    }
    if (demand.room()) {
      return Decision.START;
    }
    return remainingWaitMillis(demand) <= 0 ? Decision.REJECT : Decision.WAIT;
  }

  /** Returns how much longer a request may wait; 0 or less if it may not. */
  private static double remainingWaitMillis(Demand demand) {
    double bound =
        demand.objectiveMillis() > 0
            ? MAX_WAIT_OBJECTIVES * demand.objectiveMillis()
            : DEFAULT_MAX_WAIT_MILLIS;
    return Math.min(bound, MAX_WAIT_SHARE * (demand.remainingMillis() + demand.waitedMillis()))
        - demand.waitedMillis();
  }
}
