package org.clementinequay.bench.faults;

import java.nio.charset.StandardCharsets;
import org.clementinequay.core.RequestFailedException;

/** One thing that a caller wants done once, with all its tries. Times in milliseconds. */
final class Operation {
  static final String ACCOUNT = "labelworks";
  private static final long PATIENCE = 10_000;
  private static final long RETRY_DELAY = 500;

  /** Share of answers that are lost between the entry host and the caller. */
  private static final double BROKEN_SHARE = 0.005;

  private final World world;
  private final KeyScheme scheme;
  private final Tally tally;
  private final long number;
  private final long startedAt;
  private String key;
  private boolean mayHaveRun;
  private int executions;

  Operation(World world, KeyScheme scheme, Tally tally, long number) {
    this.world = world;
    this.scheme = scheme;
    this.tally = tally;
    this.number = number;
    this.startedAt = world.now();
  }

  String key() {
    return key;
  }

  byte[] body() {
    return ("stamp " + number).getBytes(StandardCharsets.UTF_8);
  }

  void executed() {
    executions++;
  }

  long startedAt() {
    return startedAt;
  }

  int executions() {
    return executions;
  }

  void start() {
    if (scheme.issuedFirst()) {
      obtainKeyAndTry();
    } else {
      key = "caller-" + number;
      attempt();
    }
  }

  private void obtainKeyAndTry() {
    SimulatedHost host = world.pick();
    if (!host.alive()) {
      replied(Reply.NOT_RUN);
      return;
    }
    try {
      key = host.issue().toString();
      world.after(1, this::attempt);
    } catch (RequestFailedException e) {
      replied(Reply.NOT_RUN);
    }
  }

  private void attempt() {
    SimulatedHost host = world.pick();
    if (!host.alive()) {
      replied(Reply.NOT_RUN);
      return;
    }
    host.serve(this, reply -> world.after(1, () -> replied(maybeBroken(reply))));
  }

  private Reply maybeBroken(Reply reply) {
    boolean broken = reply == Reply.ANSWERED && world.random.nextDouble() < BROKEN_SHARE;
    return broken ? Reply.BROKEN : reply;
  }

  private void replied(Reply reply) {
    mayHaveRun |= reply.mayHaveRun();
    if (reply == Reply.ANSWERED) {
      tally.end(this, Reply.ANSWERED);
    } else if (world.now() - startedAt >= PATIENCE) {
      tally.end(this, mayHaveRun ? Reply.UNKNOWN : Reply.NOT_RUN);
    } else {
      boolean otherKey = !mayHaveRun && scheme.issuedAfterRefusal();
      world.after(RETRY_DELAY, otherKey ? this::obtainKeyAndTry : this::attempt);
    }
  }
}
