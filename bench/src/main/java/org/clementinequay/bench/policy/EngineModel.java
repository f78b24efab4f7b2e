package org.clementinequay.bench.policy;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;

/** An engine with slots, a priority queue in front of them, and a small cache of prefixes. */
final class EngineModel {
  static final int PROMPT_TOKENS = 1500;

  /** Prefill of a prompt token relative to the generation of a token. */
  static final double PREFILL_PART = 0.015;

  private static final int CACHED_PREFIXES = 8;

  final String name;
  final String domain;
  final double millisPerToken;
  final int slots;
  final PriorityQueue<Job> queue =
      new PriorityQueue<>(
          Comparator.<Job>comparingInt(job -> job.priority).thenComparingLong(job -> job.number));
  private final ArrayDeque<Long> prefixes = new ArrayDeque<>();
  int running;
  int hits;
  int started;

  EngineModel(String name, String domain, double millisPerToken, int slots) {
    this.name = name;
    this.domain = domain;
    this.millisPerToken = millisPerToken;
    this.slots = slots;
  }

  /** Mean service time of a request with the given tokens and half of the prefixes cached. */
  double meanMillis(double tokens) {
    return (0.5 * PROMPT_TOKENS * PREFILL_PART + tokens) * millisPerToken;
  }

  /** Starts a job and returns its service time in milliseconds. */
  double start(Job job) {
    running++;
    started++;
    boolean hit = prefixes.remove(job.prefix);
    prefixes.addLast(job.prefix);
    if (prefixes.size() > CACHED_PREFIXES) {
      prefixes.removeFirst();
    }
    hits += hit ? 1 : 0;
    double prefill = hit ? 0 : PROMPT_TOKENS * PREFILL_PART;
    return (prefill + job.tokens) * millisPerToken;
  }

  /** A request on its way. */
  static final class Job {
    long number;
    int type;
    int host;
    int priority;
    int tokens;
    int expectedTokens;
    long prefix;
    double arrived;
    double deadline;
    double distance;
    int attempt = 1;
    EngineModel engine;
  }
}
