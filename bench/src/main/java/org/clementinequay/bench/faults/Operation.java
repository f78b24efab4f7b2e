package org.clementinequay.bench.faults;

import java.nio.charset.StandardCharsets;
import org.clementinequay.core.RequestFailedException;

/**
 * A non-idempotent call that the simulated caller retries until it is answered or the caller times
 * out. Times are in milliseconds of virtual time.
 */
final class Operation {
  static final String ACCOUNT = "labelworks";
  private static final long CALLER_TIMEOUT_MILLIS = 10_000;
  private static final long RETRY_DELAY_MILLIS = 500;

  /** Fraction of answers that are lost between the entry host and the caller. */
  private static final double BROKEN_CONNECTION_FRACTION = 0.005;

  private final Simulation simulation;
  private final KeyScheme scheme;
  private final OutcomeStatistics statistics;
  private final long number;
  private final long startedAtMillis;
  private String key;
  private boolean mayHaveRun;
  private int executionCount;

  Operation(Simulation simulation, KeyScheme scheme, OutcomeStatistics statistics, long number) {
    this.simulation = simulation;
    this.scheme = scheme;
    this.statistics = statistics;
    this.number = number;
    this.startedAtMillis = simulation.nowMillis();
  }

  String key() {
    return key;
  }

  byte[] body() {
    return ("stamp " + number).getBytes(StandardCharsets.UTF_8);
  }

  void countExecution() {
    executionCount++;
  }

  long startedAtMillis() {
    return startedAtMillis;
  }

  int executionCount() {
    return executionCount;
  }

  void start() {
    if (scheme.startsWithIssuedKey()) {
      attemptWithIssuedKey();
    } else {
      key = "caller-" + number;
      attempt();
    }
  }

  private void attemptWithIssuedKey() {
    SimulatedHost host = simulation.pickHost();
    if (!host.isAlive()) {
      onReply(Reply.NOT_RUN);
      return;
    }
    try {
      key = host.issueKey().toString();
      simulation.scheduleAfter(1, this::attempt);
    } catch (RequestFailedException e) {
      onReply(Reply.NOT_RUN);
    }
  }

  private void attempt() {
    SimulatedHost host = simulation.pickHost();
    if (!host.isAlive()) {
      onReply(Reply.NOT_RUN);
      return;
    }
    host.serve(
        this, reply -> simulation.scheduleAfter(1, () -> onReply(breakConnectionAtRandom(reply))));
  }

  private Reply breakConnectionAtRandom(Reply reply) {
    boolean broken =
        reply == Reply.ANSWERED && simulation.random.nextDouble() < BROKEN_CONNECTION_FRACTION;
    return broken ? Reply.BROKEN : reply;
  }

  private void onReply(Reply reply) {
    mayHaveRun |= reply.mayHaveRun();
    if (reply == Reply.ANSWERED) {
      statistics.recordEnd(this, Reply.ANSWERED);
    } else if (simulation.nowMillis() - startedAtMillis >= CALLER_TIMEOUT_MILLIS) {
      statistics.recordEnd(this, mayHaveRun ? Reply.UNKNOWN : Reply.NOT_RUN);
    } else {
      boolean useIssuedKey = !mayHaveRun && scheme.switchesToIssuedKey();
      simulation.scheduleAfter(
          RETRY_DELAY_MILLIS, useIssuedKey ? this::attemptWithIssuedKey : this::attempt);
    }
  }
}
