package org.clementinequay.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Models an engine that serves requests in batches, as the deployment sheets describe it: a step
 * makes one token for each running request and reads one chunk of the next prompt between them, so
 * that long prompts slow all streams and waiting requests start in the order of their urgency. The
 * shared memory for running and kept parts is not modelled, and a kept part is read at once.
 */
final class BatchedEngine {
  /** Time of a step without requests, and for each running request, in milliseconds. */
  private static final double STEP_MILLIS = 3.09;

  private static final double STEP_MILLIS_PER_RUN = 0.102;

  /** Prompt tokens read in a millisecond, and in one step. */
  private static final double PREFILL_TOKENS_PER_MILLI = 56.9;

  private static final double CHUNK_TOKENS = 1024;

  private static final int SLOTS = 64;

  private final double speed;
  private final PriorityQueue<Run> waiting =
      new PriorityQueue<>(
          Comparator.<Run>comparingInt(run -> run.urgency).thenComparingDouble(run -> run.sent));
  private final List<Run> running = new ArrayList<>();
  private Run reading;
  private double now;

  /** Told when the first token of a run is made; an abandoned run ends there. */
  interface FirstToken {
    boolean goesOn(Run run, double millis);
  }

  /** A request at an engine; times in milliseconds, pace relative to the reference model. */
  static final class Run {
    final int urgency;
    final double sent;
    final double pace;
    private double promptTokens;
    private int outputTokens;
    private final FirstToken listener;

    Run(
        int urgency,
        double sent,
        double pace,
        double promptTokens,
        int outputTokens,
        FirstToken listener) {
      this.urgency = urgency;
      this.sent = sent;
      this.pace = pace;
      this.promptTokens = promptTokens;
      this.outputTokens = outputTokens;
      this.listener = listener;
    }

    private double remainingMillis() {
      return pace
          * (promptTokens / PREFILL_TOKENS_PER_MILLI
              + outputTokens * (STEP_MILLIS / SLOTS + STEP_MILLIS_PER_RUN));
    }
  }

  BatchedEngine(double speed) {
    this.speed = speed;
  }

  void send(Run run) {
    now = Math.max(now, run.sent);
    waiting.add(run);
  }

  /** Returns the engine time of all work here, which only an oracle knows, in milliseconds. */
  double backlogMillis() {
    double sum = reading == null ? 0 : reading.remainingMillis();
    for (Run run : waiting) {
      sum += run.remainingMillis();
    }
    for (Run run : running) {
      sum += run.remainingMillis();
    }
    return sum / speed;
  }

  /** Makes steps until a time, or until there is nothing to do. */
  void advance(double until) {
    while (now < until) {
      if (reading == null && running.size() < SLOTS) {
        reading = waiting.poll();
      }
      if (reading == null && running.isEmpty()) {
        now = until;
        return;
      }
      step();
    }
  }

  private void step() {
    double millis = 0;
    double pace = 0;
    for (Run run : running) {
      pace += run.pace / running.size();
      millis += STEP_MILLIS_PER_RUN * run.pace;
    }
    millis += STEP_MILLIS * pace;
    Run read = reading;
    if (read != null) {
      double tokens = Math.min(CHUNK_TOKENS, read.promptTokens);
      millis += read.pace * tokens / PREFILL_TOKENS_PER_MILLI;
      read.promptTokens -= tokens;
    }
    now += Math.max(1, millis) / speed;
    for (Iterator<Run> runs = running.iterator(); runs.hasNext(); ) {
      Run run = runs.next();
      run.outputTokens--;
      if (run.outputTokens <= 0) {
        runs.remove();
      }
    }
    if (read != null && read.promptTokens <= 0) {
      reading = null;
      if (read.listener.goesOn(read, now)) {
        running.add(read);
      }
    }
  }
}
