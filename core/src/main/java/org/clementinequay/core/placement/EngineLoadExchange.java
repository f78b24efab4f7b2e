package org.clementinequay.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Sums of the work that other hosts have outstanding on engines. The load that it answers is that
 * of many hosts on few engines: of what an engine has to do, each host sends only a small part
 * itself. A host hears of the others in its failure domain and takes them as a sample of all hosts.
 * What a source reported counts less the longer nothing more was heard of it. Thread-safe.
 */
public final class EngineLoadExchange {
  /** Age of a report up to which it counts in full, in nanoseconds; several rounds of messages. */
  static final long FRESH_NANOS = 2_000_000_000L;

  /** Age of a report from which it does not count, in nanoseconds. */
  static final long EXPIRY_NANOS = 6_000_000_000L;

  /** Bound on the factor from the hosts heard to all hosts, which would amplify a few reports. */
  static final double MAX_SCALE = 12;

  /** Engines that one source may report; further ones are ignored. */
  static final int MAX_ENGINES = 4096;

  /** Change of the outstanding work from which an engine is reported again. */
  private static final double REPORTED_CHANGE = 0.1;

  private final Map<String, Source> sources = new HashMap<>();
  private final Map<String, EngineSum> reported = new HashMap<>();

  /**
   * What one source has outstanding on an engine.
   *
   * @param workMillis work of its runs in engine milliseconds
   * @param tokens tokens of its runs, read and expected to be generated
   * @param samples token times that it measured since its last report
   * @param millisPerToken mean of these, relative to the reference model
   */
  public record EngineSum(
      String engine, double workMillis, long tokens, int samples, double millisPerToken) {
    private boolean isValid() {
      return engine != null
          && workMillis >= 0
          && workMillis < 1e9
          && tokens >= 0
          && samples >= 0
          && millisPerToken >= 0
          && millisPerToken < 1e6;
    }

    private boolean differsFrom(EngineSum earlier) {
      double before = earlier == null ? 0 : earlier.workMillis;
      return samples > 0
          || (workMillis == 0) != (before == 0)
          || Math.abs(workMillis - before) > REPORTED_CHANGE * before;
    }
  }

  /** Work and tokens that other hosts have outstanding on an engine. */
  public record Others(double workMillis, double tokens) {
    static final Others NONE = new Others(0, 0);

    private Others plus(EngineSum sum, double weight) {
      return new Others(workMillis + weight * sum.workMillis, tokens + weight * sum.tokens);
    }
  }

  /**
   * Returns what a message to the peers contains.
   *
   * @param own sums of this host
   * @param full whether engines without a change are included
   */
  public synchronized List<EngineSum> takeChanges(List<EngineSum> own, boolean full) {
    List<EngineSum> changes = new ArrayList<>();
    for (EngineSum sum : own) {
      boolean idle = sum.workMillis == 0 && sum.samples == 0;
      if (full ? !idle : sum.differsFrom(reported.get(sum.engine))) {
        changes.add(sum);
        reported.put(sum.engine, sum);
      }
    }
    return changes;
  }

  /**
   * Merges a report; of several by the same source the last one counts.
   *
   * @param hosts number of hosts whose work the sums contain
   * @param full whether engines that are missing have no work
   * @return the valid sums
   */
  public synchronized List<EngineSum> merge(
      String name, int hosts, boolean full, List<EngineSum> sums, long nowNanos) {
    Source source = sources.computeIfAbsent(name, n -> new Source());
    source.heardNanos = nowNanos;
    source.hosts = Math.max(1, hosts);
    if (full) {
      source.sums.clear();
    }
    List<EngineSum> valid = new ArrayList<>();
    for (EngineSum sum : sums) {
      if (sum != null && sum.isValid() && source.sums.size() < MAX_ENGINES) {
        valid.add(sum);
        if (sum.workMillis > 0) {
          source.sums.put(sum.engine, sum);
        } else {
          source.sums.remove(sum.engine);
        }
      }
    }
    return valid;
  }

  /** Removes a source, because its process ended or its link is down. */
  public synchronized void remove(String name) {
    sources.remove(name);
  }

  /** Removes the state of all engines that are not among the given names. */
  public synchronized void retain(Set<String> engines) {
    reported.keySet().retainAll(engines);
    sources.values().forEach(source -> source.sums.keySet().retainAll(engines));
  }

  /** Returns the number of hosts from which a recent report is known, itself not included. */
  public synchronized int heardHosts(long nowNanos) {
    return (int) Math.round(sources.values().stream().mapToDouble(s -> s.known(nowNanos)).sum());
  }

  /**
   * Returns the estimated sums of all other hosts by engine; engines without known work are
   * missing.
   *
   * @param otherHosts number of other hosts, heard or not
   */
  public synchronized Map<String, Others> others(int otherHosts, long nowNanos) {
    double heard = 0;
    Map<String, Others> result = new HashMap<>();
    for (Source source : sources.values()) {
      double weight = source.weight(nowNanos);
      heard += source.known(nowNanos);
      if (weight > 0) {
        for (EngineSum sum : source.sums.values()) {
          result.merge(
              sum.engine,
              Others.NONE.plus(sum, weight),
              (known, more) ->
                  new Others(known.workMillis + more.workMillis, known.tokens + more.tokens));
        }
      }
    }
    double scale = heard == 0 ? 0 : Math.max(1, Math.min(MAX_SCALE, otherHosts / heard));
    result.replaceAll(
        (engine, others) -> new Others(scale * others.workMillis, scale * others.tokens));
    return result;
  }

  private static final class Source {
    private final Map<String, EngineSum> sums = new HashMap<>();
    private long heardNanos;
    private int hosts;

    private double weight(long nowNanos) {
      double left = (double) (EXPIRY_NANOS - (nowNanos - heardNanos));
      return Math.max(0, Math.min(1, left / (EXPIRY_NANOS - FRESH_NANOS)));
    }

    private double known(long nowNanos) {
      return hosts * weight(nowNanos);
    }
  }
}
