package org.clementinequay.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * Simulates an engine with continuous batching, as the deployment sheets describe it. Each step
 * generates one token for every running request and prefills one chunk of the next prompt, so that
 * long prompts slow all streams down. Waiting requests start in the order of their urgency. The KV
 * cache that running requests and kept prompt parts share is not modelled, and a kept part is read
 * at once.
 */
final class BatchedEngine {
  /** Fixed time of a step and additional time per running request, in milliseconds. */
  private static final double STEP_MILLIS = 3.09;

  private static final double STEP_MILLIS_PER_RUN = 0.102;

  /** Prompt tokens prefilled per millisecond, and at most per step. */
  private static final double PREFILL_TOKENS_PER_MILLISECOND = 56.9;

  private static final double PREFILL_CHUNK_TOKENS = 1024;

  private static final int SLOTS = 64;

  private final double speed;
  private final PriorityQueue<Run> waiting =
      new PriorityQueue<>(
          Comparator.<Run>comparingInt(run -> run.urgency).thenComparingDouble(run -> run.sentAt));
  private final List<Run> running = new ArrayList<>();
  private Run prefilling;
  private double now;

  /** Called at the first token of a run; returns false to abandon the run there. */
  interface FirstTokenListener {
    boolean onFirstToken(Run run, double millis);
  }

  /**
   * A request at an engine. Times are in milliseconds; {@code timeFactor} is the processing time
   * relative to that of the reference model.
   */
  static final class Run {
    final int urgency;
    final double sentAt;
    final double timeFactor;
    private double promptTokens;
    private int outputTokens;
    private final FirstTokenListener listener;

    Run(
        int urgency,
        double sentAt,
        double timeFactor,
        double promptTokens,
        int outputTokens,
        FirstTokenListener listener) {
      this.urgency = urgency;
      this.sentAt = sentAt;
      this.timeFactor = timeFactor;
      this.promptTokens = promptTokens;
      this.outputTokens = outputTokens;
      this.listener = listener;
    }

    private double remainingMillis() {
      return timeFactor
          * (promptTokens / PREFILL_TOKENS_PER_MILLISECOND
              + outputTokens * (STEP_MILLIS / SLOTS + STEP_MILLIS_PER_RUN));
    }
  }

  BatchedEngine(double speed) {
    this.speed = speed;
  }

  void send(Run run) {
    now = Math.max(now, run.sentAt);
    waiting.add(run);
  }

  /**
   * Returns the time in milliseconds that this engine needs for all its waiting and running
   * requests. It depends on the true output lengths, which only an oracle knows.
   */
  double backlogMillis() {
    double total = prefilling == null ? 0 : prefilling.remainingMillis();
    for (Run run : waiting) {
      total += run.remainingMillis();
    }
    for (Run run : running) {
      total += run.remainingMillis();
    }
    return total / speed;
  }

  /**
   * Runs steps until the given time in milliseconds. An idle engine moves its clock there; the last
   * step may end later.
   */
  void advance(double until) {
    while (now < until) {
      if (prefilling == null && running.size() < SLOTS) {
        prefilling = waiting.poll();
      }
      if (prefilling == null && running.isEmpty()) {
        now = until;
        return;
      }
      step();
    }
  }

  private void step() {
    double millis = 0;
    double meanTimeFactor = 0;
    for (Run run : running) {
      meanTimeFactor += run.timeFactor / running.size();
      millis += STEP_MILLIS_PER_RUN * run.timeFactor;
    }
    millis += STEP_MILLIS * meanTimeFactor;
    Run prefillRun = prefilling;
    if (prefillRun != null) {
      double tokens = Math.min(PREFILL_CHUNK_TOKENS, prefillRun.promptTokens);
      millis += prefillRun.timeFactor * tokens / PREFILL_TOKENS_PER_MILLISECOND;
      prefillRun.promptTokens -= tokens;
    }
    now += Math.max(1, millis) / speed;
    for (Iterator<Run> runs = running.iterator(); runs.hasNext(); ) {
      Run run = runs.next();
      run.outputTokens--;
      if (run.outputTokens <= 0) {
        runs.remove();
      }
    }
    if (prefillRun != null && prefillRun.promptTokens <= 0) {
      prefilling = null;
      if (prefillRun.listener.onFirstToken(prefillRun, now)) {
        running.add(prefillRun);
      }
    }
  }
}
