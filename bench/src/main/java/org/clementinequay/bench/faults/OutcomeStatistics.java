package org.clementinequay.bench.faults;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Statistics of the operations of one scenario and key scheme over all seeds. */
final class OutcomeStatistics {
  private final FaultScenario scenario;
  private final KeyScheme scheme;
  private final Map<Reply, Long> endCounts = new EnumMap<>(Reply.class);
  private final List<Operation> refusedOperations = new ArrayList<>();
  private final List<Operation> allOperations = new ArrayList<>();

  OutcomeStatistics(FaultScenario scenario, KeyScheme scheme) {
    this.scenario = scenario;
    this.scheme = scheme;
  }

  /**
   * Results of one scenario and key scheme. Duplicates and false refusals cover all operations,
   * also those that started outside the window.
   *
   * @param scenario name of the fault scenario
   * @param scheme label of the key scheme
   * @param operations number of operations that started within the window
   * @param answered fraction answered before the caller timed out
   * @param refused fraction of which every attempt was refused as not-run
   * @param unknown fraction that ended with an unknown outcome
   * @param duplicates number of operations that ran more than once; must be 0
   * @param falseRefusals number of operations that ran although every attempt was refused; must be
   *     0
   */
  record Figures(
      String scenario,
      String scheme,
      long operations,
      double answered,
      double refused,
      double unknown,
      long duplicates,
      long falseRefusals) {}

  void recordEnd(Operation operation, Reply end) {
    allOperations.add(operation);
    if (end == Reply.NOT_RUN) {
      refusedOperations.add(operation);
    }
    if (scenario.isCounted(operation.startedAtMillis())) {
      endCounts.merge(end, 1L, Long::sum);
    }
  }

  Figures figures() {
    long total = endCounts.values().stream().mapToLong(Long::longValue).sum();
    return new Figures(
        scenario.name(),
        scheme.label(),
        total,
        fraction(Reply.ANSWERED, total),
        fraction(Reply.NOT_RUN, total),
        fraction(Reply.UNKNOWN, total),
        allOperations.stream().filter(operation -> operation.executionCount() > 1).count(),
        refusedOperations.stream().filter(operation -> operation.executionCount() > 0).count());
  }

  private double fraction(Reply end, long total) {
    return total == 0 ? 0 : (double) endCounts.getOrDefault(end, 0L) / total;
  }
}
