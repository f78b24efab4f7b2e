package org.clementinequay.bench.faults;

import java.util.ArrayList;
import java.util.List;

/**
 * Faults that are injected into one simulation. Times are in milliseconds of virtual time, and
 * every fault begins at {@link #FAULT_START_MILLIS}.
 *
 * @param name name in the output
 * @param windowMillis length of the window, from the start of the fault, in which operations must
 *     start to be counted
 * @param storeOutageMillis duration of a store outage, 0 for none
 * @param lostAnswerFraction fraction of commits whose answer is lost during the window
 * @param partitionMillis duration of a network partition in which one failure domain reaches
 *     neither the others nor the store, 0 for none
 * @param kills number of hosts that are killed, evenly spread over the window
 */
record FaultScenario(
    String name,
    long windowMillis,
    long storeOutageMillis,
    double lostAnswerFraction,
    long partitionMillis,
    int kills) {
  static final long FAULT_START_MILLIS = 5_000;
  private static final long MINUTE_MILLIS = 60_000;

  static List<FaultScenario> all() {
    List<FaultScenario> scenarios = new ArrayList<>();
    scenarios.add(new FaultScenario("no fault", MINUTE_MILLIS, 0, 0, 0, 0));
    for (int seconds : new int[] {1, 5, 20, 60, 120}) {
      long outageMillis = seconds * 1000L;
      scenarios.add(
          new FaultScenario("store outage " + seconds + " s", outageMillis, outageMillis, 0, 0, 0));
    }
    scenarios.add(new FaultScenario("5% of answers lost", MINUTE_MILLIS, 0, 0.05, 0, 0));
    scenarios.add(new FaultScenario("1 host killed", MINUTE_MILLIS, 0, 0, 0, 1));
    scenarios.add(new FaultScenario("6 hosts killed in turn", MINUTE_MILLIS, 0, 0, 0, 6));
    scenarios.add(new FaultScenario("domain cut 20 s", 20_000, 0, 0, 20_000, 0));
    scenarios.add(new FaultScenario("domain cut 60 s", MINUTE_MILLIS, 0, 0, MINUTE_MILLIS, 0));
    scenarios.add(
        new FaultScenario("outage 60 s and 6 kills", MINUTE_MILLIS, MINUTE_MILLIS, 0, 0, 6));
    scenarios.add(
        new FaultScenario("cut 60 s and 6 kills", MINUTE_MILLIS, 0, 0.05, MINUTE_MILLIS, 6));
    return scenarios;
  }

  boolean isStoreDown(long nowMillis) {
    return isWithinFault(nowMillis, storeOutageMillis);
  }

  boolean isAnswerLost(long nowMillis, double randomDraw) {
    return isWithinFault(nowMillis, windowMillis) && randomDraw < lostAnswerFraction;
  }

  boolean isPartitioned(String domain, long nowMillis) {
    return domain.equals("a") && isWithinFault(nowMillis, partitionMillis);
  }

  boolean isCounted(long startedAtMillis) {
    return isWithinFault(startedAtMillis, windowMillis);
  }

  private static boolean isWithinFault(long timeMillis, long lengthMillis) {
    return timeMillis >= FAULT_START_MILLIS && timeMillis < FAULT_START_MILLIS + lengthMillis;
  }
}
