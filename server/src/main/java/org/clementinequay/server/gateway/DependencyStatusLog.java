package org.clementinequay.server.gateway;

/**
 * Logs the first failed call to a dependency and the first successful one after it, instead of
 * every failed call. Thread-safe.
 */
final class DependencyStatusLog {
  private final String name;
  private final DecisionLog log;
  private boolean lost;
  private long failures;

  DependencyStatusLog(String name, DecisionLog log) {
    this.name = name;
    this.log = log;
  }

  synchronized void failed(Exception cause) {
    failures++;
    if (!lost) {
      lost = true;
      log.record("dependency_lost", "name", name, "reason", String.valueOf(cause.getMessage()));
    }
  }

  synchronized void succeeded() {
    if (lost) {
      log.record("dependency_back", "name", name, "failures", failures);
    }
    lost = false;
    failures = 0;
  }
}
