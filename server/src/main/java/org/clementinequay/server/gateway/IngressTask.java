package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.clementinequay.core.ingress.IngressBudget;
import org.clementinequay.core.ingress.TurnAway;

/**
 * Lets the time of budgets pass, and logs how many callers were turned away, and by which limit.
 */
final class IngressTask {
  private static final Duration INTERVAL = Duration.ofMillis(250);
  private static final Duration INTERVAL_WHILE_WAITING = Duration.ofMillis(50);
  private static final long LOG_INTERVAL_NANOS = 1_000_000_000;

  private final Gateway gateway;
  private final List<IngressBudget> budgets;
  private final Map<TurnAway, Long> logged = new EnumMap<>(TurnAway.class);
  private long loggedNanos;

  IngressTask(Gateway gateway, List<IngressBudget> budgets) {
    this.gateway = gateway;
    this.budgets = budgets;
    this.loggedNanos = gateway.clock.nanoTime();
  }

  Duration step() {
    long now = gateway.clock.nanoTime();
    long headerTimeoutMillis = RequestReceipt.limits(gateway).headerTimeoutMillis();
    boolean waiting = false;
    for (IngressBudget budget : budgets) {
      waiting |= budget.step(now, headerTimeoutMillis);
    }
    if (now - loggedNanos >= LOG_INTERVAL_NANOS) {
      loggedNanos = now;
      logTurnedAway();
    }
    return waiting ? INTERVAL_WHILE_WAITING : INTERVAL;
  }

  private void logTurnedAway() {
    for (TurnAway limit : TurnAway.values()) {
      long count = turnedAway(limit);
      long before = logged.getOrDefault(limit, 0L);
      if (count > before) {
        logged.put(limit, count);
        gateway.log.record(
            "turned_away",
            "limit",
            limit.label(),
            "callers",
            count - before,
            "last_address",
            lastAddress(limit),
            "connections",
            budgets.stream().mapToInt(IngressBudget::connections).sum(),
            "bytes",
            budgets.stream().mapToLong(IngressBudget::bytes).sum());
      }
    }
  }

  private String lastAddress(TurnAway limit) {
    return budgets.stream()
        .flatMap(budget -> budget.lastAddress(limit).stream())
        .findFirst()
        .orElse("");
  }

  /** Returns the number of callers who were turned away by a limit since the start. */
  long turnedAway(TurnAway limit) {
    return budgets.stream().mapToLong(budget -> budget.turnedAway(limit)).sum();
  }
}
