package org.clementinequay.core.rollout;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.clementinequay.core.SplitMix64;

/**
 * Moves a service's traffic to another version within a fixed time: a small share until the
 * evidence of all hosts is enough, then half, then all, and completion once requests on the old
 * version have had time to end. At any time it rolls back when the new version is proved worse on
 * any route by {@link SequentialRatioTest}, which may be looked at after each answer. Answers the
 * load pattern of a version that fails at once, late, under load or on one route only, while the
 * share is small enough to keep the exposure bounded. Thread-safe.
 */
public final class TrafficShift {
  /** Share of the new version at first; below the exposure that the deployments allow (0.15). */
  static final double FIRST_SHARE = 0.08;

  /** Share after the first evidence; both versions then serve with all their upstreams. */
  static final double SECOND_SHARE = 0.5;

  /** Part of the duration before which no session may be moved to the new version. */
  static final double SESSIONS_MOVE_AT = 0.5;

  /** Parts of the order's duration at which the second and the last stage begin. */
  static final double SECOND_STAGE_AT = 0.51;

  static final double LAST_STAGE_AT = 0.62;

  /** Answers of the new version that the second stage needs. */
  static final int ANSWERS_FOR_SECOND_STAGE = 15;

  /** Part of the duration after which the traffic moves with little evidence but none against. */
  static final double LATEST_SECOND_STAGE_AT = 0.58;

  /** Time before the end of the duration at which the move is completed, in milliseconds. */
  static final long COMPLETION_MARGIN_MILLIS = 3500;

  /** Bound of the probability that a version that is no worse is rolled back. */
  static final double FALSE_ROLLBACKS = 0.004;

  /** Increment of SplitMix64, which keeps neighbouring inputs apart. */
  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

  private static final int UNUSED_BITS = 11;
  private static final double UNIT = 0x1.0p-53;

  private final ShiftOrder order;
  private final Map<String, Evidence> byHost = new HashMap<>();
  private long startedNanos;
  private ShiftState state = ShiftState.ACTIVE;
  private boolean provedWorse;
  private String reason = "";

  /** Counts by route of the new version and of all others. */
  public record Evidence(Map<String, VersionCounts> target, Map<String, VersionCounts> others) {
    /** Returns evidence without counts. */
    public static Evidence empty() {
      return new Evidence(new TreeMap<>(), new TreeMap<>());
    }

    long answers() {
      return sum(target).answers() + sum(others).answers();
    }

    Evidence copy() {
      return new Evidence(new TreeMap<>(target), new TreeMap<>(others));
    }
  }

  /** Creates the move of an order that was first seen at a time. */
  public TrafficShift(ShiftOrder order, long startedNanos) {
    this.order = order;
    this.startedNanos = startedNanos;
  }

  /** Returns the order. */
  public ShiftOrder order() {
    return order;
  }

  /** Moves the start back when another host saw the order earlier. */
  public synchronized void moveStartTo(long nanos) {
    startedNanos = Math.min(startedNanos, nanos);
  }

  /** Takes up the state that the platform's store holds for this order. */
  public synchronized void applyStoredState(ShiftState stored) {
    if (!state.ended()) {
      state = stored;
    }
  }

  /** Returns the state as known here. */
  public synchronized ShiftState state() {
    return state;
  }

  /** Counts an answer on this host. */
  public synchronized void recordAnswer(
      String host, String route, String version, boolean failed, boolean slow) {
    Evidence evidence = byHost.computeIfAbsent(host, h -> Evidence.empty());
    Map<String, VersionCounts> counts =
        version.equals(order.target()) ? evidence.target() : evidence.others();
    counts.merge(route, new VersionCounts(1, failed ? 1 : 0, 1, slow ? 1 : 0), VersionCounts::plus);
    judge();
  }

  /** Takes up what a host counted, as told by itself or another; older news is ignored. */
  public synchronized void mergeEvidence(String host, Evidence evidence) {
    Evidence known = byHost.get(host);
    if (known == null || known.answers() < evidence.answers()) {
      byHost.put(host, evidence.copy());
      judge();
    }
  }

  /** Returns what each host counted. */
  public synchronized Map<String, Evidence> evidence() {
    Map<String, Evidence> result = new TreeMap<>();
    byHost.forEach((host, evidence) -> result.put(host, evidence.copy()));
    return result;
  }

  /** A peer proved the version worse. */
  public synchronized void recordPeerStop(String why) {
    if (!provedWorse) {
      provedWorse = true;
      reason = why;
    }
  }

  /** Returns how long ago the move began, in milliseconds. */
  public synchronized long ageMillis(long nowNanos) {
    return elapsedMillis(nowNanos);
  }

  /** Returns why the version was stopped, or an empty text. */
  public synchronized String reason() {
    return reason;
  }

  /** Returns the share of requests that go to the new version now, from 0 to 1. */
  public synchronized double share(long nowNanos) {
    if (state == ShiftState.COMPLETED) {
      return 1;
    }
    if (state == ShiftState.ROLLED_BACK || provedWorse) {
      return 0;
    }
    double part = part(nowNanos);
    if (part >= LAST_STAGE_AT) {
      return 1;
    }
    // Asked for each request, so the evidence is counted only where the stage depends on it.
    boolean secondStage =
        part >= LATEST_SECOND_STAGE_AT
            || (part >= SECOND_STAGE_AT && answersOfTarget() >= ANSWERS_FOR_SECOND_STAGE);
    return secondStage ? SECOND_SHARE : FIRST_SHARE;
  }

  private long answersOfTarget() {
    return byHost.values().stream().mapToLong(evidence -> sum(evidence.target()).answers()).sum();
  }

  /**
   * Returns whether a request goes to the new version. The same session gets the same answer on
   * every host, and never changes back from the new version while that is good: its place in the
   * order of all sessions is fixed and the share only rises.
   *
   * @param session id of the session, or of the request if it has none
   * @param lastVersion version on which the session ran last, if it is known and has not ended
   */
  public synchronized boolean routesToTarget(
      String session, Optional<String> lastVersion, long nowNanos) {
    double share = share(nowNanos);
    if (share <= 0 || share >= 1) {
      return share >= 1;
    }
    if (lastVersion.isPresent()) {
      if (lastVersion.get().equals(order.target())) {
        return true;
      }
      if (part(nowNanos) < SESSIONS_MOVE_AT) {
        return false;
      }
    }
    return place(session) < share;
  }

  /** Returns a number from 0 to 1 that depends on the session and the order alone. */
  private double place(String session) {
    long mixed = SplitMix64.mix(session.hashCode() * GOLDEN_GAMMA + order.revision());
    return (mixed >>> UNUSED_BITS) * UNIT;
  }

  private double part(long nowNanos) {
    return elapsedMillis(nowNanos) / (double) Math.max(1, order.duration().toMillis());
  }

  /** Returns the final state that should be stored now, if there is one. */
  public synchronized Optional<ShiftState> finalStateDue(long nowNanos) {
    if (state.ended()) {
      return Optional.empty();
    }
    if (provedWorse) {
      return Optional.of(ShiftState.ROLLED_BACK);
    }
    long left = order.duration().toMillis() - elapsedMillis(nowNanos);
    return left <= COMPLETION_MARGIN_MILLIS ? Optional.of(ShiftState.COMPLETED) : Optional.empty();
  }

  private long elapsedMillis(long nowNanos) {
    return (nowNanos - startedNanos) / 1_000_000;
  }

  private void judge() {
    if (provedWorse) {
      return;
    }
    Map<String, VersionCounts> target = totals(true);
    Map<String, VersionCounts> others = totals(false);
    VersionCounts allTarget = sum(target);
    VersionCounts allOthers = sum(others);
    double alpha = FALSE_ROLLBACKS / (target.size() + 1);
    if (worse(allTarget, allOthers, alpha)) {
      stop("all routes", allTarget, allOthers);
      return;
    }
    for (Map.Entry<String, VersionCounts> entry : target.entrySet()) {
      VersionCounts reference = others.getOrDefault(entry.getKey(), allOthers);
      if (worse(entry.getValue(), reference, alpha)) {
        stop("route " + entry.getKey(), entry.getValue(), reference);
        return;
      }
    }
  }

  private static boolean worse(VersionCounts target, VersionCounts reference, double alpha) {
    return SequentialRatioTest.worse(
            target.errors(), target.answers(), reference.errors(), reference.answers(), alpha / 2)
        || SequentialRatioTest.worse(
            target.bad(), target.rated(), reference.bad(), reference.rated(), alpha / 2);
  }

  private void stop(String where, VersionCounts target, VersionCounts others) {
    provedWorse = true;
    reason = where + ": " + target.summary() + "; other versions " + others.summary();
  }

  private Map<String, VersionCounts> totals(boolean ofTarget) {
    Map<String, VersionCounts> result = new TreeMap<>();
    for (Evidence evidence : byHost.values()) {
      Map<String, VersionCounts> counts = ofTarget ? evidence.target() : evidence.others();
      counts.forEach((route, count) -> result.merge(route, count, VersionCounts::plus));
    }
    return result;
  }

  private static VersionCounts sum(Map<String, VersionCounts> counts) {
    return counts.values().stream().reduce(VersionCounts.NONE, VersionCounts::plus);
  }
}
