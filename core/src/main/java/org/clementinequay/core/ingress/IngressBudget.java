package org.clementinequay.core.ingress;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Budget of the bytes and connections that callers take of a host.
 *
 * <p>Load: crowds of callers whose heads and bodies are legal in size and stay incomplete, and who
 * send or read slowly. Holding such bodies back alone would stop the ordinary callers too, because
 * nothing is ever given back.
 *
 * <p>Algorithm: what fits is admitted, and a part of the budget is for requests of up to {@link
 * #SMALL_BYTES} only. A larger one is held back until there is room. While somebody waits, callers
 * slower than {@link #MIN_BYTES_PER_SECOND} are turned away, those first that hold the most bytes
 * for the longest time; if there is none, the first in the queue is turned away after {@link
 * #MAX_WAIT_NANOS}, so that the others can go on. A small request that finds no room takes that of
 * the largest holder. Room for a whole answer is taken in the same way before the answer is
 * received, but an answer waits for as long as others are on their way to callers who read.
 *
 * <p>Time passes in {@link #step} only, and little of it at once: callers are not charged with the
 * time for which the host itself stood still.
 */
public final class IngressBudget {
  /** Bytes of a request up to which it may use the whole budget. */
  public static final int SMALL_BYTES = 64 << 10;

  /** Memory of a field of a head beyond its text, in bytes: objects for its name and value. */
  static final int FIELD_BYTES = 160;

  /** Memory of a connection without a request, in bytes. */
  static final int CONNECTION_BYTES = 4 << 10;

  /** Rate below which a caller counts as slow while others wait. */
  static final int MIN_BYTES_PER_SECOND = 16 << 10;

  static final long MAX_WAIT_NANOS = 1_000_000_000;

  private static final long SLOW_NANOS = 1_000_000_000;
  private static final long MAX_STEP_NANOS = 500_000_000;

  /** Divisor for the part of the budget that only small requests may use. */
  private static final int RESERVE_DIVISOR = 8;

  /** Part of the budget for requests of one account that are not small. */
  private static final double ACCOUNT_FRACTION = 0.75;

  private final IngressLimits limits;
  private final Set<IngressShare> shares = new LinkedHashSet<>();
  private final Deque<IngressShare> waiting = new ArrayDeque<>();
  private final Map<String, Integer> connectionsByAddress = new HashMap<>();
  private final Map<String, Long> bytesByAccount = new HashMap<>();
  private final Map<TurnAway, Long> turnedAway = new EnumMap<>(TurnAway.class);
  private final Map<TurnAway, String> lastAddresses = new EnumMap<>(TurnAway.class);
  private long bytes;
  private int closing;
  private long timeNanos;
  private long lastStepNanos;
  private boolean stepped;

  public IngressBudget(IngressLimits limits) {
    this.limits = limits;
  }

  /** Returns the bytes that are held. */
  public synchronized long bytes() {
    return bytes;
  }

  /** Returns the limit of open connections, also those that are being closed. */
  public int maxConnections() {
    return limits.maxConnections();
  }

  /** Returns the number of open connections. */
  public synchronized int connections() {
    return shares.size();
  }

  /** Returns the number of callers who were turned away by a limit. */
  public synchronized long turnedAway(TurnAway limit) {
    return turnedAway.getOrDefault(limit, 0L);
  }

  /** Returns the address of the last caller who was turned away by a limit; empty if none was. */
  public synchronized Optional<String> lastAddress(TurnAway limit) {
    return Optional.ofNullable(lastAddresses.get(limit));
  }

  /**
   * Opens a connection. Beyond a limit the one that was without use for the longest time is closed;
   * if each is in use, the new one.
   */
  public synchronized IngressShare open(String address, IngressHolder holder) {
    IngressShare share = new IngressShare(this, address, holder);
    share.phaseNanos = timeNanos;
    share.progressNanos = timeNanos;
    int ofAddress = connectionsByAddress.merge(address, 1, Integer::sum);
    if (ofAddress > limits.maxConnectionsPerAddress()) {
      closeUnused(share, TurnAway.CONNECTIONS_OF_ADDRESS, other -> other.address.equals(address));
    } else if (shares.size() - closing >= limits.connectionsInUse()) {
      closeUnused(share, TurnAway.CONNECTIONS, other -> true);
    }
    shares.add(share);
    add(share, CONNECTION_BYTES);
    return share;
  }

  private void closeUnused(IngressShare newcomer, TurnAway limit, Predicate<IngressShare> among) {
    Optional<IngressShare> unused =
        shares.stream()
            .filter(share -> share.phase.closable() && !share.leaves() && among.test(share))
            .min(
                Comparator.comparing((IngressShare share) -> share.phase == IngressPhase.IDLE)
                    .thenComparing(share -> share.progressNanos));
    turnAway(unused.orElse(newcomer), limit);
  }

  synchronized boolean takeHead(IngressShare share, int headBytes, int lines) {
    if (share.phase != IngressPhase.HEAD) {
      enter(share, IngressPhase.HEAD);
    }
    recordProgress(share, headBytes);
    return !share.leaves() && takeOrDisplace(share, headBytes + (long) lines * FIELD_BYTES);
  }

  synchronized void beginRequest(IngressShare share, int headBytes, int fields) {
    if (share.closed) {
      return;
    }
    add(share, CONNECTION_BYTES + headBytes + (long) fields * FIELD_BYTES - share.bytes);
    run(share);
  }

  synchronized boolean takeDecodedHead(IngressShare share, long moreBytes) {
    if (share.closed) {
      return false;
    }
    boolean hasRoom = fits(share, moreBytes) || displaceLargest(share, moreBytes);
    if (hasRoom) {
      add(share, moreBytes);
    } else {
      recordTurnedAway(share, TurnAway.MEMORY);
    }
    return hasRoom;
  }

  synchronized void endBody(IngressShare share) {
    run(share);
  }

  /** A request that is passed on is not turned away any more, not even if that was decided. */
  private void run(IngressShare share) {
    share.turnedAway = false;
    enter(share, IngressPhase.RUNNING);
  }

  synchronized boolean isTurnedAway(IngressShare share) {
    return share.turnedAway;
  }

  synchronized void beginBody(IngressShare share, String account, long limitMillis) {
    share.account = account;
    addToAccount(share, share.bytes);
    enter(share, IngressPhase.BODY);
    share.limitNanos = timeNanos + limitMillis * 1_000_000;
  }

  synchronized Admission takeBody(IngressShare share, long moreBytes) {
    if (share.leaves() || share.closed) {
      return Admission.REFUSED;
    }
    if (share.bytes + moreBytes <= SMALL_BYTES) {
      return takeOrDisplace(share, moreBytes) ? Admission.ADMITTED : Admission.REFUSED;
    }
    if (fitsBeforeWaiting(share, moreBytes)) {
      add(share, moreBytes);
      return Admission.ADMITTED;
    }
    return holdBack(share, moreBytes);
  }

  private boolean fitsBeforeWaiting(IngressShare share, long moreBytes) {
    return fits(share, moreBytes) && waiting.stream().noneMatch(this::accountHasRoom);
  }

  private Admission holdBack(IngressShare share, long moreBytes) {
    share.wantedBytes = moreBytes;
    share.waitingNanos = timeNanos;
    waiting.add(share);
    return Admission.HELD_BACK;
  }

  synchronized Admission takeAnswerRoom(IngressShare share, long wholeBytes) {
    if (share.leaves() || share.closed) {
      return Admission.REFUSED;
    }
    if (share.answerBytes >= wholeBytes) {
      return Admission.ADMITTED;
    }
    if (share.wantsAnswer) {
      return Admission.HELD_BACK;
    }
    boolean small = share.bytes + wholeBytes <= SMALL_BYTES;
    if (!small && wholeBytes > roomForLarge() * ACCOUNT_FRACTION) {
      recordTurnedAway(share, TurnAway.MEMORY);
      return Admission.REFUSED;
    }
    boolean admitted =
        small
            ? fits(share, wholeBytes) || displaceLargest(share, wholeBytes)
            : fitsBeforeWaiting(share, wholeBytes);
    if (admitted) {
      beginAnswer(share, wholeBytes);
      return Admission.ADMITTED;
    }
    share.wantsAnswer = true;
    return holdBack(share, wholeBytes);
  }

  private void beginAnswer(IngressShare share, long wholeBytes) {
    add(share, wholeBytes);
    share.answerBytes = wholeBytes;
    enter(share, IngressPhase.RECEIVING_ANSWER);
  }

  synchronized void releaseAnswerRoom(IngressShare share) {
    if (share.closed) {
      return;
    }
    stopWaiting(share);
    add(share, -share.answerBytes);
    share.answerBytes = 0;
    run(share);
    resumeWaiting();
  }

  /** Takes bytes at once; if they do not fit, the largest holder gives way to a small request. */
  private boolean takeOrDisplace(IngressShare share, long moreBytes) {
    boolean hasRoom = fits(share, moreBytes) || displaceLargest(share, moreBytes);
    if (hasRoom) {
      add(share, moreBytes);
    } else {
      turnAway(share, TurnAway.MEMORY);
    }
    return hasRoom;
  }

  private boolean displaceLargest(IngressShare share, long moreBytes) {
    Optional<IngressShare> largest =
        shares.stream()
            .filter(other -> other.phase.holdsForSlowPeers() && !other.leaves())
            .max(Comparator.comparingLong(other -> other.bytes))
            .filter(other -> other.bytes > share.bytes + moreBytes)
            .filter(other -> mayDisplace(share, moreBytes));
    largest.ifPresent(other -> turnAway(other, TurnAway.MEMORY));
    return largest.isPresent();
  }

  /** Room that is given back a little later is lent to small requests only, and not without end. */
  private boolean mayDisplace(IngressShare share, long moreBytes) {
    return share.bytes + moreBytes <= SMALL_BYTES
        && bytes + moreBytes <= limits.maxBytes() + limits.maxBytes() / RESERVE_DIVISOR;
  }

  private boolean fits(IngressShare share, long moreBytes) {
    if (share.bytes + moreBytes <= SMALL_BYTES) {
      return bytes + moreBytes <= limits.maxBytes();
    }
    return bytes + moreBytes <= roomForLarge() && accountHasRoom(share, moreBytes);
  }

  private long roomForLarge() {
    return limits.maxBytes() - limits.maxBytes() / RESERVE_DIVISOR;
  }

  private boolean accountHasRoom(IngressShare waiter) {
    return accountHasRoom(waiter, waiter.wantedBytes);
  }

  private boolean accountHasRoom(IngressShare share, long moreBytes) {
    return share.account.isEmpty()
        || bytesByAccount.getOrDefault(share.account, 0L) + moreBytes
            <= roomForLarge() * ACCOUNT_FRACTION;
  }

  synchronized void recordProgress(IngressShare share, long movedBytes) {
    share.progressBytes += movedBytes;
    if (share.progressBytes >= MIN_BYTES_PER_SECOND) {
      share.progressBytes = 0;
      share.progressNanos = timeNanos;
    }
  }

  synchronized void takeAnswer(IngressShare share, long wholeBytes) {
    if (share.closed) {
      return;
    }
    stopWaiting(share);
    long lessBytes = share.answerBytes - wholeBytes;
    add(share, -lessBytes);
    share.answerBytes = wholeBytes;
    // The caller gets its answer, even if it was to be turned away while that came.
    share.turnedAway = false;
    enter(share, IngressPhase.ANSWER);
    if (lessBytes > 0) {
      resumeWaiting();
    }
  }

  synchronized void enter(IngressShare share, IngressPhase phase) {
    share.phase = phase;
    share.phaseNanos = timeNanos;
    share.progressNanos = timeNanos;
    share.progressBytes = 0;
  }

  synchronized void release(IngressShare share, long lessBytes) {
    if (!share.closed) {
      add(share, -lessBytes);
      resumeWaiting();
    }
  }

  synchronized void endRequest(IngressShare share) {
    if (share.closed) {
      return;
    }
    stopWaiting(share);
    add(share, CONNECTION_BYTES - share.bytes);
    addToAccount(share, -share.bytes);
    share.account = "";
    share.answerBytes = 0;
    share.turnedAway = false;
    enter(share, IngressPhase.IDLE);
    resumeWaiting();
  }

  synchronized boolean beginClose(IngressShare share) {
    if (!share.closed && !share.closing) {
      share.closing = true;
      closing++;
      forgetAddress(share);
      stopWaiting(share);
    }
    return bytes <= limits.maxBytes() / 2;
  }

  synchronized void close(IngressShare share) {
    if (share.closed) {
      return;
    }
    stopWaiting(share);
    if (share.closing) {
      closing--;
    } else {
      forgetAddress(share);
    }
    add(share, -share.bytes);
    share.closed = true;
    shares.remove(share);
    resumeWaiting();
  }

  private void forgetAddress(IngressShare share) {
    connectionsByAddress.computeIfPresent(
        share.address, (address, count) -> count == 1 ? null : count - 1);
  }

  private void stopWaiting(IngressShare share) {
    if (share.wantedBytes > 0) {
      share.wantedBytes = 0;
      share.wantsAnswer = false;
      waiting.remove(share);
    }
  }

  private void add(IngressShare share, long moreBytes) {
    share.bytes += moreBytes;
    bytes += moreBytes;
    addToAccount(share, moreBytes);
  }

  private void addToAccount(IngressShare share, long moreBytes) {
    if (!share.account.isEmpty()) {
      bytesByAccount.merge(
          share.account, moreBytes, (sum, more) -> sum + more == 0 ? null : sum + more);
    }
  }

  private void turnAway(IngressShare share, TurnAway limit) {
    if (!share.leaves()) {
      share.turnedAway = true;
      stopWaiting(share);
      recordTurnedAway(share, limit);
      share.holder.turnAway(limit);
    }
  }

  private void recordTurnedAway(IngressShare share, TurnAway limit) {
    turnedAway.merge(limit, 1L, Long::sum);
    lastAddresses.put(limit, share.address);
  }

  /**
   * Advances the time, and turns away whom the limits no longer admit.
   *
   * @return whether somebody waits, so that the next step should come soon
   */
  public synchronized boolean step(long nowNanos, long headerTimeoutMillis) {
    if (stepped) {
      timeNanos += Math.min(MAX_STEP_NANOS, nowNanos - lastStepNanos);
    }
    stepped = true;
    lastStepNanos = nowNanos;
    for (IngressShare share : shares) {
      if (share.phase == IngressPhase.HEAD
          && timeNanos - share.phaseNanos > headerTimeoutMillis * 1_000_000) {
        turnAway(share, TurnAway.HEADER_TIMEOUT);
      } else if (share.phase == IngressPhase.BODY && timeNanos - share.limitNanos > 0) {
        turnAway(share, TurnAway.BODY_TIMEOUT);
      }
    }
    if (!waiting.isEmpty()) {
      makeRoom();
      resumeWaiting();
    }
    return !waiting.isEmpty();
  }

  /** Turns away slow callers, or else the first in the queue once it has waited too long. */
  private void makeRoom() {
    IngressShare first = waiting.peek();
    boolean accountIsFull = !accountHasRoom(first);
    long wanted = waiting.stream().mapToLong(share -> share.wantedBytes).sum();
    long leaving =
        shares.stream().filter(IngressShare::leaves).mapToLong(share -> share.bytes).sum();
    List<IngressShare> slowest =
        shares.stream()
            .filter(this::isSlow)
            .filter(share -> !accountIsFull || share.account.equals(first.account))
            .sorted(Comparator.comparingDouble(this::byteSeconds).reversed())
            .toList();
    for (IngressShare share : slowest) {
      if (leaving >= wanted) {
        break;
      }
      leaving += share.bytes;
      turnAway(share, TurnAway.SLOW);
    }
    if (leaving < first.wantedBytes
        && timeNanos - first.waitingNanos > MAX_WAIT_NANOS
        && !(first.wantsAnswer && answersGiveBack())) {
      turnAway(first, TurnAway.MEMORY);
    }
  }

  /**
   * Returns whether a caller that reads, or an upstream that sends, has an answer that will end.
   */
  private boolean answersGiveBack() {
    return shares.stream().anyMatch(share -> share.phase.holdsAnswer() && !share.leaves());
  }

  private boolean isSlow(IngressShare share) {
    return share.phase.holdsForSlowPeers()
        && share.wantedBytes == 0
        && !share.leaves()
        && timeNanos - share.progressNanos >= SLOW_NANOS;
  }

  private double byteSeconds(IngressShare share) {
    return (double) share.bytes * (timeNanos - share.progressNanos);
  }

  private void resumeWaiting() {
    for (IngressShare share : List.copyOf(waiting)) {
      if (fits(share, share.wantedBytes)) {
        resume(share);
      }
    }
  }

  private void resume(IngressShare share) {
    long wanted = share.wantedBytes;
    boolean answer = share.wantsAnswer;
    stopWaiting(share);
    if (answer) {
      beginAnswer(share, wanted);
    } else {
      add(share, wanted);
      share.progressNanos = timeNanos;
    }
    share.holder.resume();
  }
}
