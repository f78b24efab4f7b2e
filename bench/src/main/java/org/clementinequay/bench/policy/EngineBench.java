package org.clementinequay.bench.policy;

import java.util.ArrayList;
import java.util.List;

/** Compares rules for the choice of an engine by many hosts. */
final class EngineBench {
  static final double[] EVEN = {1};
  static final double[] UNEVEN = {0.7, 0.7, 1.7};
  private static final double[] LOADS = {0.7, 0.95, 1.2};

  private final Results results;

  EngineBench(Results results) {
    this.results = results;
  }

  void run() {
    List<List<Object>> rows = new ArrayList<>();
    for (double[] speeds : List.of(EVEN, UNEVEN)) {
      for (int hosts : new int[] {9, 30, 111, 300}) {
        for (FleetHosts.Policy policy : FleetHosts.Policy.values()) {
          List<Object> row = new ArrayList<>();
          row.add(speeds == EVEN ? "even" : "uneven");
          row.add(hosts);
          row.add(policy.label);
          for (double load : LOADS) {
            row.add(cell(FleetHosts.play(policy, hosts, speeds, load, 0, 0)));
          }
          rows.add(row);
        }
      }
    }
    results.table(
        "first event p50 / p99 in ms, share late, share of shared tokens read again",
        List.of("engines", "hosts", "policy", "70% load", "95% load", "120% load"),
        rows);
  }

  private static String cell(EngineFleet.Result result) {
    return String.format(
        "%.0f / %.0f, %.3f, %.2f",
        result.p50(), result.p99(), result.lateShare(), result.rereadShare());
  }
}
