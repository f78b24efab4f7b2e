package org.clementinequay.server.claim;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.claim.ClaimAttempt;
import org.clementinequay.core.claim.ClaimRequest;
import org.clementinequay.core.claim.ClaimResult;
import org.clementinequay.core.claim.ClaimService;
import org.clementinequay.core.claim.StoredAnswer;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.time.RuntimeClock;
import org.jctools.queues.MpscArrayQueue;

/**
 * Writes claims of idempotency keys on its own thread. It groups the claims of concurrent requests
 * into transactions, because the table service can process several hundred transactions per second
 * but many rows in each. A second thread refuses claims at their deadline while the first one waits
 * for the store.
 */
public final class ClaimWriter implements AutoCloseable {
  /** Capacity of the queue of claims: two seconds at 2,000 claims per second. */
  public static final int QUEUE_CAPACITY = 4096;

  /** Time that the first claim of a batch waits for others. */
  public static final Duration BATCH_DELAY = Duration.ofMillis(3);

  /** Interval at which deadlines are checked; a refusal is late by at most this time. */
  static final Duration DEADLINE_CHECK_INTERVAL = Duration.ofMillis(25);

  /** Interval at which rows that were written under abandoned tokens are removed. */
  static final Duration CLEANUP_INTERVAL = Duration.ofMillis(200);

  /** Time for which a shutdown retries to record answers while the store is down. */
  static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(10);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ClaimService service;
  private final RuntimeClock clock;
  private final Metrics metrics;
  private final MpscArrayQueue<ClaimAttempt> queue = new MpscArrayQueue<>(QUEUE_CAPACITY);
  private final Thread writerThread = new Thread(this::run, "claim-writer");
  private final Thread deadlineThread = new Thread(this::refuseExpiredClaims, "claim-deadlines");
  private List<ClaimAttempt> undecided = new ArrayList<>();
  private long lastCleanupNanos;
  private volatile boolean idle;
  private volatile boolean closing;
  private volatile boolean terminated;

  /** Receives the counts that become metrics of claims. */
  public interface Metrics {
    /** Ignores all calls. */
    Metrics NONE = new Metrics() {};

    /** Called after each round of the writer thread with the number of claims in it. */
    default void roundCompleted(int claimCount, boolean storeAnswered) {}

    /** Called when a claim was refused because the queue was full. */
    default void queueFull() {}
  }

  /** Creates the writer; its threads run only after {@link #start}. */
  public ClaimWriter(ClaimService service, RuntimeClock clock, Metrics metrics) {
    this.service = Objects.requireNonNull(service);
    this.clock = Objects.requireNonNull(clock);
    this.metrics = Objects.requireNonNull(metrics);
    writerThread.setDaemon(true);
    deadlineThread.setDaemon(true);
  }

  /** Starts the threads; claims that were requested before are decided then. */
  public void start() {
    lastCleanupNanos = clock.nanoTime();
    writerThread.start();
    deadlineThread.start();
  }

  /**
   * Requests a claim without blocking. The future completes shortly after the deadline at the
   * latest. It is completed on a thread of this object, so dependent actions must not block.
   */
  public CompletableFuture<ClaimResult> claim(ClaimRequest request) {
    ClaimAttempt attempt = service.open(request);
    if (closing) {
      attempt.refuse(RefusalReason.SHUTTING_DOWN);
    } else if (!queue.offer(attempt)) {
      attempt.refuse(RefusalReason.OVERLOADED);
      metrics.queueFull();
    } else {
      wakeWriter();
      if (terminated) {
        attempt.refuse(RefusalReason.SHUTTING_DOWN);
      }
      return attempt.result();
    }
    service.round(List.of(attempt));
    return attempt.result();
  }

  /** Ends a grant with the upstream's answer, see {@link ClaimService#complete}. */
  public void complete(ClaimAttempt attempt, StoredAnswer answer) {
    service.complete(attempt, answer);
    wakeWriter();
  }

  /** Ends a grant under which no byte was sent, see {@link ClaimService#release}. */
  public void release(ClaimAttempt attempt) {
    service.release(attempt);
  }

  /** Ends a grant whose request got no answer, see {@link ClaimService#leaveUnknown}. */
  public void leaveUnknown(ClaimAttempt attempt) {
    service.leaveUnknown(attempt);
  }

  /** Refuses new claims, decides the queued ones, records answers and stops the threads. */
  @Override
  public void close() {
    closing = true;
    wakeWriter();
    try {
      writerThread.join();
      deadlineThread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void wakeWriter() {
    if (idle) {
      LockSupport.unpark(writerThread);
    }
  }

  private void run() {
    try {
      while (!closing || hasPendingClaims()) {
        step();
      }
      recordRemainingCompletions();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      terminated = true;
      refuseRemainingClaims();
    }
  }

  private boolean hasPendingClaims() {
    return !queue.isEmpty() || !undecided.isEmpty();
  }

  private void step() throws InterruptedException {
    awaitWork();
    boolean storeAnswered = true;
    if (hasPendingClaims()) {
      storeAnswered = decideClaims();
    }
    storeAnswered &= recordAndCleanUp();
    if (!storeAnswered) {
      clock.sleep(ClaimService.RETRY_PAUSE);
    }
  }

  private void awaitWork() throws InterruptedException {
    idle = true;
    if (queue.isEmpty()
        && undecided.isEmpty()
        && service.unrecordedCompletions() == 0
        && !closing) {
      LockSupport.parkNanos(this, CLEANUP_INTERVAL.toNanos());
    }
    idle = false;
    if (Thread.interrupted()) {
      throw new InterruptedException();
    }
    if (undecided.isEmpty()
        && !closing
        && !queue.isEmpty()
        && queue.size() < ClaimService.MAX_BATCH) {
      clock.sleep(BATCH_DELAY);
    }
  }

  private boolean decideClaims() {
    queue.drain(undecided::add, ClaimService.MAX_BATCH);
    int claimCount = undecided.size();
    try {
      ClaimService.Round round = service.round(undecided);
      undecided = new ArrayList<>(round.undecided());
      metrics.roundCompleted(claimCount, round.storeAnswered());
      return round.storeAnswered();
    } catch (RuntimeException e) {
      // It is unknown which rows were written, so the tokens are abandoned and their rows are
      // removed later.
      logger.atSevere().withCause(e).log(
          "deciding a batch of %d claims failed; they are refused", claimCount);
      undecided.forEach(ClaimAttempt::abandon);
      return false;
    }
  }

  private boolean recordAndCleanUp() {
    try {
      if (service.unrecordedCompletions() > 0) {
        service.recordCompletions();
      }
      long now = clock.nanoTime();
      if (now - lastCleanupNanos >= CLEANUP_INTERVAL.toNanos()) {
        lastCleanupNanos = now;
        service.removeAbandonedRows();
      }
      return true;
    } catch (PlatformException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "claims cannot be updated, %d answers wait: %s", unrecordedAnswers(), e.getMessage());
      return false;
    }
  }

  private int unrecordedAnswers() {
    return service.unrecordedCompletions();
  }

  private void recordRemainingCompletions() throws InterruptedException {
    long drainDeadlineNanos = clock.nanoTime() + DRAIN_TIMEOUT.toNanos();
    while (service.unrecordedCompletions() > 0 && clock.nanoTime() - drainDeadlineNanos < 0) {
      if (!recordAndCleanUp()) {
        clock.sleep(ClaimService.RETRY_PAUSE);
      }
    }
    if (service.unrecordedCompletions() > 0) {
      logger.atSevere().log(
          "%d answers were not recorded before the shutdown; repeats will be told unknown",
          service.unrecordedCompletions());
    }
  }

  private void refuseRemainingClaims() {
    queue.drain(undecided::add);
    undecided.forEach(attempt -> attempt.refuse(RefusalReason.SHUTTING_DOWN));
  }

  private void refuseExpiredClaims() {
    try {
      while (!terminated) {
        service.abandonPastDeadline();
        clock.sleep(DEADLINE_CHECK_INTERVAL);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
