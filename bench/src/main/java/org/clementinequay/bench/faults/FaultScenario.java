package org.clementinequay.bench.faults;

import java.util.ArrayList;
import java.util.List;

/**
 * Faults of one measurement. Times are in milliseconds of virtual time; every fault begins at
 * {@link #FAULT_START}.
 *
 * @param name name in the output
 * @param windowMillis requests that start in this time after the fault begins are counted
 * @param storeDownMillis length of a store outage, 0 for none
 * @param lostShare share of commits whose answer is lost during the window
 * @param domainCutMillis time for which one failure domain reaches neither the others nor the store
 * @param kills number of hosts that are killed, spread over the window
 */
record FaultScenario(
    String name,
    long windowMillis,
    long storeDownMillis,
    double lostShare,
    long domainCutMillis,
    int kills) {
  static final long FAULT_START = 5_000;
  private static final long MINUTE = 60_000;

  static List<FaultScenario> all() {
    List<FaultScenario> scenarios = new ArrayList<>();
    scenarios.add(new FaultScenario("no fault", MINUTE, 0, 0, 0, 0));
    for (int seconds : new int[] {1, 5, 20, 60, 120}) {
      long millis = seconds * 1000L;
      scenarios.add(new FaultScenario("store outage " + seconds + " s", millis, millis, 0, 0, 0));
    }
    scenarios.add(new FaultScenario("5% of answers lost", MINUTE, 0, 0.05, 0, 0));
    scenarios.add(new FaultScenario("1 host killed", MINUTE, 0, 0, 0, 1));
    scenarios.add(new FaultScenario("6 hosts killed in turn", MINUTE, 0, 0, 0, 6));
    scenarios.add(new FaultScenario("domain cut 20 s", 20_000, 0, 0, 20_000, 0));
    scenarios.add(new FaultScenario("domain cut 60 s", MINUTE, 0, 0, MINUTE, 0));
    scenarios.add(new FaultScenario("outage 60 s and 6 kills", MINUTE, MINUTE, 0, 0, 6));
    scenarios.add(new FaultScenario("cut 60 s and 6 kills", MINUTE, 0, 0.05, MINUTE, 6));
    return scenarios;
  }

  boolean storeDown(long now) {
    return during(now, storeDownMillis);
  }

  boolean answerLost(long now, double draw) {
    return during(now, windowMillis) && draw < lostShare;
  }

  boolean cut(String domain, long now) {
    return domain.equals("a") && during(now, domainCutMillis);
  }

  boolean counted(long startedAt) {
    return during(startedAt, windowMillis);
  }

  private static boolean during(long now, long length) {
    return now >= FAULT_START && now < FAULT_START + length;
  }
}
