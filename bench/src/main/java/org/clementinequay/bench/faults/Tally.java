package org.clementinequay.bench.faults;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/** Counts the ends of the operations that started during the fault. */
final class Tally {
  private final FaultScenario scenario;
  private final KeyScheme scheme;
  private final Map<Reply, Long> ends = new EnumMap<>(Reply.class);
  private final List<Operation> refused = new ArrayList<>();
  private final List<Operation> all = new ArrayList<>();

  Tally(FaultScenario scenario, KeyScheme scheme) {
    this.scenario = scenario;
    this.scheme = scheme;
  }

  /**
   * Figures of one scenario and scheme.
   *
   * @param scenario name of the faults
   * @param scheme name of the keys
   * @param operations number of operations that started during the fault
   * @param answered share that got the answer within the caller's patience
   * @param refused share whose every try was refused with not-run
   * @param unknown share that ended without a certain outcome
   * @param duplicates operations that ran more than once; must be 0
   * @param falseRefusals operations that ran although every try was refused; must be 0
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

  void end(Operation operation, Reply end) {
    all.add(operation);
    if (end == Reply.NOT_RUN) {
      refused.add(operation);
    }
    if (scenario.counted(operation.startedAt())) {
      ends.merge(end, 1L, Long::sum);
    }
  }

  Figures figures() {
    long counted = ends.values().stream().mapToLong(Long::longValue).sum();
    return new Figures(
        scenario.name(),
        scheme.label(),
        counted,
        share(Reply.ANSWERED, counted),
        share(Reply.NOT_RUN, counted),
        share(Reply.UNKNOWN, counted),
        all.stream().filter(operation -> operation.executions() > 1).count(),
        refused.stream().filter(operation -> operation.executions() > 0).count());
  }

  private double share(Reply end, long counted) {
    return counted == 0 ? 0 : (double) ends.getOrDefault(end, 0L) / counted;
  }
}
