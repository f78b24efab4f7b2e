package org.clementinequay.bench.policy;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Simulates an engine with a fixed number of slots, a priority queue, and a small cache of prompt
 * prefixes that evicts the least recently used one.
 */
final class EngineModel {
  static final int PROMPT_TOKENS = 1500;

  /** Time to prefill a prompt token relative to the time to generate a token. */
  static final double PREFILL_COST_RATIO = 0.015;

  private static final int MAX_CACHED_PREFIXES = 8;

  final String name;
  final String domain;
  final double millisPerToken;
  final int slots;
  final PriorityQueue<Job> queue =
      new PriorityQueue<>(
          Comparator.<Job>comparingInt(job -> job.priority).thenComparingLong(job -> job.number));
  private final ArrayDeque<Long> cachedPrefixes = new ArrayDeque<>();
  int runningJobs;
  int cacheHits;
  int startedJobs;

  EngineModel(String name, String domain, double millisPerToken, int slots) {
    this.name = name;
    this.domain = domain;
    this.millisPerToken = millisPerToken;
    this.slots = slots;
  }

  /**
   * Returns the mean service time in milliseconds of a request with the given number of output
   * tokens, when half of the prefixes are cached.
   */
  double meanMillis(double tokens) {
    return (0.5 * PROMPT_TOKENS * PREFILL_COST_RATIO + tokens) * millisPerToken;
  }

  /** Starts a job and returns its service time in milliseconds. */
  double start(Job job) {
    runningJobs++;
    startedJobs++;
    boolean cached = cachedPrefixes.remove(job.prefix);
    cachedPrefixes.addLast(job.prefix);
    if (cachedPrefixes.size() > MAX_CACHED_PREFIXES) {
      cachedPrefixes.removeFirst();
    }
    cacheHits += cached ? 1 : 0;
    double prefillWork = cached ? 0 : PROMPT_TOKENS * PREFILL_COST_RATIO;
    return (prefillWork + job.tokens) * millisPerToken;
  }

  /** A request that is queued or served; times in seconds. */
  static final class Job {
    long number;
    int classIndex;
    int host;
    int priority;
    int tokens;
    int expectedTokens;
    long prefix;
    double arrivedAt;
    double deadline;
    double roundTripSeconds;
    int attempt = 1;
    EngineModel engine;
  }
}
