package org.clementinequay.core.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.clementinequay.core.SplitMix64;

/**
 * Moves a service's traffic to another version within a fixed time: a small share until the counts
 * of all hosts suffice, then half, then all once the answers show that the version is sound, and
 * completion once requests on the old version have had time to end. A version that is undecided at
 * the end of the time is rolled back. It rolls back at any time if {@link SequentialRatioTest},
 * which may be evaluated after each answer, shows that the new version is worse on any route. It is
 * designed for versions that fail at once, late, under load or on one route only, and keeps the
 * share small enough to bound the exposure to them. Thread-safe.
 */
public final class TrafficShift {
  /** Share of the first stage; below the exposure that the deployments allow (0.15). */
  static final double FIRST_STAGE_SHARE = 0.08;

  /** Share of the second stage, in which both versions serve with all their upstreams. */
  static final double SECOND_STAGE_SHARE = 0.5;

  /** Fraction of the order's duration before which no existing session changes its version. */
  static final double SESSION_MOVE_FRACTION = 0.5;

  /**
   * Time after the order for which a session that is unknown stays on the old version, in ms: it
   * may have begun at another host, whose message about it is on its way.
   */
  static final long UNKNOWN_SESSION_HOLD_MILLIS = 2500;

  /**
   * Fractions of the order's duration from which on the second stage, if there are enough answers,
   * and the last stage begin.
   */
  static final double SECOND_STAGE_FRACTION = 0.51;

  static final double LAST_STAGE_FRACTION = 0.62;

  /** Answers of the new version, over all hosts, that the second stage requires. */
  static final int ANSWERS_FOR_SECOND_STAGE = 15;

  /**
   * Fraction of the duration from which on the second stage begins also with fewer answers, unless
   * the new version was found worse.
   */
  static final double LATEST_SECOND_STAGE_FRACTION = 0.58;

  /** Time before the end of the duration at which the move is completed, in milliseconds. */
  static final long COMPLETION_MARGIN_MILLIS = 3500;

  /** Time for which all traffic goes to the new version before the move is completed, in ms. */
  static final long MIN_LAST_STAGE_MILLIS = 2000;

  /** Time before the end of the duration at which an undecided version is rolled back, in ms. */
  static final long DECISION_MARGIN_MILLIS = 1000;

  /** Upper bound on the probability that a version that is clearly worse gets all traffic. */
  static final double MAX_FALSE_COMPLETION_PROBABILITY = 0.05;

  /**
   * Answers of all versions together below which the service is idle, and the version gets all
   * traffic without evidence.
   */
  static final int MIN_JUDGED_ANSWERS = 40;

  /**
   * Fraction of the duration for which a host must have known the order to tell that the service is
   * idle; one that has just started lacks the counts of its peers.
   */
  private static final double IDLE_KNOWN_FRACTION = 0.5;

  /** Upper bound on the probability that a version that is not worse is rolled back. */
  static final double MAX_FALSE_ROLLBACK_PROBABILITY = 0.004;

  /** Increment of SplitMix64; multiplying by it separates inputs that differ by little. */
  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

  /** Bits of a long beyond the 53 bits of a double's mantissa. */
  private static final int UNUSED_BITS = 11;

  private static final double DOUBLE_UNIT = 0x1.0p-53;

  private final ShiftOrder order;
  private final long knownSinceNanos;
  private final Map<String, Evidence> bySource = new HashMap<>();
  private final HeldSessions held = new HeldSessions();
  private long startedNanos;
  private ShiftState state = ShiftState.ACTIVE;
  private boolean provedWorse;
  private boolean sound;
  private long judgedAnswers;
  private boolean inLastStage;
  private long lastStageNanos;
  private String reason = "";

  /**
   * Counts by route, of the new version (target) and of all other versions. All answers count as
   * rated, and the slow ones as bad.
   */
  public record Evidence(Map<String, VersionCounts> target, Map<String, VersionCounts> others) {
    /** Returns new, mutable evidence without counts. */
    public static Evidence empty() {
      return new Evidence(new TreeMap<>(), new TreeMap<>());
    }

    long answers() {
      return sum(target).answers() + sum(others).answers();
    }

    /** Returns the counts that have more answers than in earlier evidence of the same source. */
    public Evidence since(Evidence earlier) {
      return new Evidence(newer(target, earlier.target), newer(others, earlier.others));
    }

    /** Returns whether there are no counts. */
    public boolean isEmpty() {
      return target.isEmpty() && others.isEmpty();
    }

    private static Map<String, VersionCounts> newer(
        Map<String, VersionCounts> counts, Map<String, VersionCounts> earlier) {
      Map<String, VersionCounts> result = new TreeMap<>(counts);
      result
          .entrySet()
          .removeIf(
              entry ->
                  earlier.getOrDefault(entry.getKey(), VersionCounts.NONE).answers()
                      >= entry.getValue().answers());
      return result;
    }

    private void addAll(Evidence other) {
      other.target.forEach((route, counts) -> target.merge(route, counts, VersionCounts::plus));
      other.others.forEach((route, counts) -> others.merge(route, counts, VersionCounts::plus));
    }

    private void replaceBy(Evidence newer) {
      target.putAll(newer.target);
      others.putAll(newer.others);
    }

    Evidence copy() {
      return new Evidence(new TreeMap<>(target), new TreeMap<>(others));
    }
  }

  /**
   * Creates the move of an order.
   *
   * @param startedNanos monotonic time at which this host first saw the order
   */
  public TrafficShift(ShiftOrder order, long startedNanos) {
    this.order = order;
    this.startedNanos = startedNanos;
    this.knownSinceNanos = startedNanos;
  }

  /** Returns the order. */
  public ShiftOrder order() {
    return order;
  }

  /**
   * Moves the start to an earlier time at which another host saw the order; a later time is
   * ignored.
   */
  public synchronized void moveStartTo(long nanos) {
    startedNanos = Math.min(startedNanos, nanos);
  }

  /**
   * Adopts the state that the platform's table service holds for this order, unless the state here
   * is final.
   */
  public synchronized void applyStoredState(ShiftState storedState) {
    if (!state.ended()) {
      state = storedState;
    }
  }

  /** Returns the state known to this host; it may lag behind the stored one. */
  public synchronized ShiftState state() {
    return state;
  }

  /**
   * Counts an answer of this host.
   *
   * @param host name of this host
   * @param failed whether the answer counts as an error
   * @param slow whether the answer was slow by {@link SlowAnswerDetector}
   */
  public synchronized void recordAnswer(
      String host, String route, String version, boolean failed, boolean slow) {
    Evidence evidence = bySource.computeIfAbsent(host, h -> Evidence.empty());
    Map<String, VersionCounts> counts =
        version.equals(order.target()) ? evidence.target() : evidence.others();
    counts.merge(route, new VersionCounts(1, failed ? 1 : 0, 1, slow ? 1 : 0), VersionCounts::plus);
    checkEvidence();
  }

  /**
   * Replaces the counts of a source by those that it reported. Counts that are not newer than the
   * known ones of the route, that is, do not have more answers, are ignored, and so may be missing.
   *
   * @param source name of another host, or of a group of hosts whose counts were added up; an
   *     answer must not be counted in two sources
   */
  public synchronized void mergeEvidence(String source, Evidence evidence) {
    Evidence known = bySource.computeIfAbsent(source, s -> Evidence.empty());
    Evidence newer = evidence.since(known);
    if (!newer.isEmpty()) {
      known.replaceBy(newer);
      checkEvidence();
    }
  }

  /** Returns the sum of the known counts of the sources that match. */
  public synchronized Evidence sum(Predicate<String> sources) {
    Evidence sum = Evidence.empty();
    bySource.forEach(
        (source, evidence) -> {
          if (sources.test(source)) {
            sum.addAll(evidence);
          }
        });
    return sum;
  }

  /** Returns a copy of the known counts by source. */
  public synchronized Map<String, Evidence> evidence() {
    Map<String, Evidence> result = new TreeMap<>();
    bySource.forEach((source, evidence) -> result.put(source, evidence.copy()));
    return result;
  }

  /** Records that a peer found the version worse, unless that is already known here. */
  public synchronized void recordPeerStop(String peerReason) {
    if (!provedWorse) {
      provedWorse = true;
      reason = peerReason;
    }
  }

  /** Records that a peer sends all traffic to the new version, as this host does from now on. */
  public synchronized void recordPeerLastStage(long nowNanos) {
    if (!inLastStage) {
      inLastStage = true;
      lastStageNanos = nowNanos;
    }
  }

  /** Returns whether all traffic goes to the new version. */
  public synchronized boolean inLastStage(long nowNanos) {
    return !provedWorse && isLastStage(nowNanos);
  }

  /** Returns the time since the move began, in milliseconds. */
  public synchronized long ageMillis(long nowNanos) {
    return elapsedMillis(nowNanos);
  }

  /** Returns why the version was found worse; empty if it was not. */
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
    if (isLastStage(nowNanos)) {
      return 1;
    }
    double elapsedFraction = elapsedFraction(nowNanos);
    // Called for each request, so the answers are summed only where the stage depends on them.
    boolean secondStage =
        elapsedFraction >= LATEST_SECOND_STAGE_FRACTION
            || (elapsedFraction >= SECOND_STAGE_FRACTION
                && targetAnswers() >= ANSWERS_FOR_SECOND_STAGE);
    return secondStage ? SECOND_STAGE_SHARE : FIRST_STAGE_SHARE;
  }

  /** Returns whether all traffic goes to the new version, which then goes on. */
  private boolean isLastStage(long nowNanos) {
    if (!inLastStage
        && elapsedFraction(nowNanos) >= LAST_STAGE_FRACTION
        && (sound || isIdle(nowNanos))) {
      inLastStage = true;
      lastStageNanos = nowNanos;
    }
    return inLastStage;
  }

  private boolean isIdle(long nowNanos) {
    double knownMillis = (nowNanos - knownSinceNanos) / 1e6;
    return judgedAnswers < MIN_JUDGED_ANSWERS
        && knownMillis >= IDLE_KNOWN_FRACTION * order.duration().toMillis();
  }

  private long targetAnswers() {
    return bySource.values().stream().mapToLong(evidence -> sum(evidence.target()).answers()).sum();
  }

  /**
   * Returns whether a request goes to the new version. A session gets the same result on every host
   * and does not return to the old version unless the new one is rolled back, because its hash is
   * fixed and the share only increases.
   *
   * @param session id of the session, or of the request if it has none
   * @param lastVersion version that served the session last; empty if it is unknown or the session
   *     has ended
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
      if (elapsedFraction(nowNanos) < SESSION_MOVE_FRACTION) {
        return false;
      }
    }
    return hashToUnitInterval(session) < share;
  }

  /**
   * Returns whether a request of a session goes to the new version, as {@link #routesToTarget} does
   * for requests without one; in the first half, sessions that may have run on the old version at
   * another host stay there.
   */
  public synchronized boolean routesSessionToTarget(
      String session, Optional<String> lastVersion, long nowNanos) {
    return !holdsSession(session, lastVersion, nowNanos)
        && routesToTarget(session, lastVersion, nowNanos);
  }

  private boolean holdsSession(String session, Optional<String> lastVersion, long nowNanos) {
    if (!isHoldable(session, nowNanos) || lastVersion.equals(Optional.of(order.target()))) {
      return false;
    }
    if (lastVersion.isPresent() || holdsUnknownSessions(nowNanos)) {
      held.hold(session);
    }
    return held.contains(session);
  }

  /** Returns whether a session that this host does not know stays on the old version for now. */
  public synchronized boolean holdsUnknownSessions(long nowNanos) {
    return elapsedMillis(nowNanos) < UNKNOWN_SESSION_HOLD_MILLIS;
  }

  /** Records that a session was in progress on an old version when this host saw the order. */
  public synchronized void recordOldSession(String session, long nowNanos) {
    if (isHoldable(session, nowNanos)) {
      held.hold(session);
    }
  }

  /**
   * Returns the hashes of the sessions that belong to the old version for now.
   *
   * @param ofDomain whether to include what the other hosts of this failure domain hold
   */
  public synchronized List<Long> heldSessions(boolean ofDomain, long nowNanos) {
    if (!isBeforeSessionMove(nowNanos)) {
      return List.of();
    }
    return ofDomain ? held.ofDomain() : held.own();
  }

  /** Adds hashes of sessions that a peer holds on the old version. */
  public synchronized void mergeHeldSessions(Collection<Long> sessions, boolean near) {
    held.mergePeers(sessions, near);
  }

  private boolean isHoldable(String session, long nowNanos) {
    return isBeforeSessionMove(nowNanos) && hashToUnitInterval(session) < FIRST_STAGE_SHARE;
  }

  private boolean isBeforeSessionMove(long nowNanos) {
    return elapsedFraction(nowNanos) < SESSION_MOVE_FRACTION;
  }

  /**
   * Returns a pseudo-random number in [0, 1) that depends only on the session and the order's
   * revision.
   */
  private double hashToUnitInterval(String session) {
    long mixed = SplitMix64.mix(session.hashCode() * GOLDEN_GAMMA + order.revision());
    return (mixed >>> UNUSED_BITS) * DOUBLE_UNIT;
  }

  private double elapsedFraction(long nowNanos) {
    return elapsedMillis(nowNanos) / (double) Math.max(1, order.duration().toMillis());
  }

  /**
   * Returns the final state that the caller must store now; empty while the move continues or if
   * the state is final already.
   */
  public synchronized Optional<ShiftState> finalStateDue(long nowNanos) {
    if (state.ended()) {
      return Optional.empty();
    }
    if (provedWorse) {
      return Optional.of(ShiftState.ROLLED_BACK);
    }
    long remainingMillis = order.duration().toMillis() - elapsedMillis(nowNanos);
    boolean decisionDue = remainingMillis <= DECISION_MARGIN_MILLIS;
    if (isLastStage(nowNanos)) {
      boolean oldVersionIdle = nowNanos - lastStageNanos >= MIN_LAST_STAGE_MILLIS * 1_000_000;
      boolean completionDue =
          decisionDue || (oldVersionIdle && remainingMillis <= COMPLETION_MARGIN_MILLIS);
      return completionDue ? Optional.of(ShiftState.COMPLETED) : Optional.empty();
    }
    if (decisionDue) {
      provedWorse = true;
      reason = "undecided: " + sum(totalsByRoute(true)).summary();
      return Optional.of(ShiftState.ROLLED_BACK);
    }
    return Optional.empty();
  }

  private long elapsedMillis(long nowNanos) {
    return (nowNanos - startedNanos) / 1_000_000;
  }

  private void checkEvidence() {
    if (provedWorse) {
      return;
    }
    Map<String, VersionCounts> target = totalsByRoute(true);
    Map<String, VersionCounts> others = totalsByRoute(false);
    VersionCounts allTarget = sum(target);
    VersionCounts allOthers = sum(others);
    judgedAnswers = allTarget.answers() + allOthers.answers();
    sound = isSound(allTarget, allOthers);
    double alpha = MAX_FALSE_ROLLBACK_PROBABILITY / (target.size() + 1);
    if (isWorse(allTarget, allOthers, alpha)) {
      recordWorse("all routes", allTarget, allOthers);
      return;
    }
    for (Map.Entry<String, VersionCounts> entry : target.entrySet()) {
      VersionCounts reference = others.getOrDefault(entry.getKey(), allOthers);
      if (isWorse(entry.getValue(), reference, alpha)) {
        recordWorse("route " + entry.getKey(), entry.getValue(), reference);
        return;
      }
    }
  }

  private static boolean isWorse(VersionCounts target, VersionCounts reference, double alpha) {
    return SequentialRatioTest.isWorse(
            target.errors(), target.answers(), reference.errors(), reference.answers(), alpha / 2)
        || SequentialRatioTest.isWorse(
            target.bad(), target.rated(), reference.bad(), reference.rated(), alpha / 2);
  }

  private static boolean isSound(VersionCounts target, VersionCounts reference) {
    double beta = MAX_FALSE_COMPLETION_PROBABILITY;
    return SequentialRatioTest.isSound(
            target.errors(), target.answers(), reference.errors(), reference.answers(), beta)
        && SequentialRatioTest.isSound(
            target.bad(), target.rated(), reference.bad(), reference.rated(), beta);
  }

  private void recordWorse(String scope, VersionCounts target, VersionCounts others) {
    provedWorse = true;
    reason = scope + ": " + target.summary() + "; other versions " + others.summary();
  }

  private Map<String, VersionCounts> totalsByRoute(boolean ofTarget) {
    Map<String, VersionCounts> result = new TreeMap<>();
    for (Evidence evidence : bySource.values()) {
      Map<String, VersionCounts> counts = ofTarget ? evidence.target() : evidence.others();
      counts.forEach((route, count) -> result.merge(route, count, VersionCounts::plus));
    }
    return result;
  }

  private static VersionCounts sum(Map<String, VersionCounts> counts) {
    return counts.values().stream().reduce(VersionCounts.NONE, VersionCounts::plus);
  }
}
