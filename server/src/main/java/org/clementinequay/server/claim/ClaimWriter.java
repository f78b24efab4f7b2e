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
 * The thread that writes claims. It groups the claims of concurrent requests into transactions,
 * because the table service carries several hundred transactions a second but many rows in each. A
 * second thread refuses claims at their deadline while the first one waits for the store.
 */
public final class ClaimWriter implements AutoCloseable {
  /** Capacity of the ring; at 2,000 claims a second it holds the claims of two seconds. */
  public static final int RING_CAPACITY = 4096;

  /** Time for which the first claim of a batch waits for others. */
  public static final Duration GROUPING = Duration.ofMillis(3);

  /** Interval at which deadlines are checked; a refusal comes at most this much too late. */
  static final Duration DEADLINE_TICK = Duration.ofMillis(25);

  /** Interval at which rows under abandoned tokens are removed. */
  static final Duration RELEASE_INTERVAL = Duration.ofMillis(200);

  /** Time that a shutdown waits for answers to be recorded while the store is down. */
  static final Duration DRAIN_LIMIT = Duration.ofSeconds(10);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ClaimService service;
  private final RuntimeClock clock;
  private final Metrics metrics;
  private final MpscArrayQueue<ClaimAttempt> ring = new MpscArrayQueue<>(RING_CAPACITY);
  private final Thread writer = new Thread(this::run, "claim-writer");
  private final Thread deadlines = new Thread(this::watchDeadlines, "claim-deadlines");
  private List<ClaimAttempt> undecided = new ArrayList<>();
  private long lastReleaseNanos;
  private volatile boolean idle;
  private volatile boolean closing;
  private volatile boolean terminated;

  /** Receives figures for the metrics. */
  public interface Metrics {
    /** Receives nothing. */
    Metrics NONE = new Metrics() {};

    /** Called after each round with the number of claims in it. */
    default void round(int claims, boolean storeAnswered) {}

    /** Called when a claim was refused because the ring was full. */
    default void ringFull() {}
  }

  /** Creates the writer; {@link #start} starts its threads. */
  public ClaimWriter(ClaimService service, RuntimeClock clock, Metrics metrics) {
    this.service = Objects.requireNonNull(service);
    this.clock = Objects.requireNonNull(clock);
    this.metrics = Objects.requireNonNull(metrics);
    writer.setDaemon(true);
    deadlines.setDaemon(true);
  }

  /** Starts the threads. */
  public void start() {
    lastReleaseNanos = clock.nanoTime();
    writer.start();
    deadlines.start();
  }

  /**
   * Asks for a claim without blocking. The future completes at the latest shortly after the
   * deadline, on one of this object's threads, so what depends on it must not block.
   */
  public CompletableFuture<ClaimResult> claim(ClaimRequest request) {
    ClaimAttempt attempt = service.open(request);
    if (closing) {
      attempt.refuse(RefusalReason.SHUTTING_DOWN);
    } else if (!ring.offer(attempt)) {
      attempt.refuse(RefusalReason.OVERLOADED);
      metrics.ringFull();
    } else {
      wake();
      if (terminated) {
        attempt.refuse(RefusalReason.SHUTTING_DOWN);
      }
      return attempt.result();
    }
    service.round(List.of(attempt));
    return attempt.result();
  }

  /** Ends a grant with the answer of the upstream, see {@link ClaimService#complete}. */
  public void complete(ClaimAttempt attempt, StoredAnswer answer) {
    service.complete(attempt, answer);
    wake();
  }

  /** Ends a grant under which no byte was sent, see {@link ClaimService#release}. */
  public void release(ClaimAttempt attempt) {
    service.release(attempt);
  }

  /** Ends a grant whose request got no answer, see {@link ClaimService#leaveUnknown}. */
  public void leaveUnknown(ClaimAttempt attempt) {
    service.leaveUnknown(attempt);
  }

  /** Refuses new claims, decides those in the ring, records the answers and stops the threads. */
  @Override
  public void close() {
    closing = true;
    wake();
    try {
      writer.join();
      deadlines.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void wake() {
    if (idle) {
      LockSupport.unpark(writer);
    }
  }

  private void run() {
    try {
      while (!closing || hasWork()) {
        step();
      }
      drainCompletions();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      terminated = true;
      refuseRest();
    }
  }

  private boolean hasWork() {
    return !ring.isEmpty() || !undecided.isEmpty();
  }

  private void step() throws InterruptedException {
    awaitWork();
    boolean answered = true;
    if (hasWork()) {
      answered = decide();
    }
    answered &= maintain();
    if (!answered) {
      clock.sleep(ClaimService.RETRY_PAUSE);
    }
  }

  private void awaitWork() throws InterruptedException {
    idle = true;
    if (ring.isEmpty() && undecided.isEmpty() && service.unrecordedCompletions() == 0 && !closing) {
      LockSupport.parkNanos(this, RELEASE_INTERVAL.toNanos());
    }
    idle = false;
    if (Thread.interrupted()) {
      throw new InterruptedException();
    }
    if (undecided.isEmpty()
        && !closing
        && !ring.isEmpty()
        && ring.size() < ClaimService.MAX_BATCH) {
      clock.sleep(GROUPING);
    }
  }

  private boolean decide() {
    ring.drain(undecided::add, ClaimService.MAX_BATCH);
    int claims = undecided.size();
    try {
      ClaimService.Round round = service.round(undecided);
      undecided = new ArrayList<>(round.undecided());
      metrics.round(claims, round.storeAnswered());
      return round.storeAnswered();
    } catch (RuntimeException e) {
      // The state of the store is not known, so each token is given up and swept later.
      logger.atSevere().withCause(e).log("a batch of %d claims failed", claims);
      undecided.forEach(ClaimAttempt::abandon);
      return false;
    }
  }

  private boolean maintain() {
    try {
      if (service.unrecordedCompletions() > 0) {
        service.recordCompletions();
      }
      long now = clock.nanoTime();
      if (now - lastReleaseNanos >= RELEASE_INTERVAL.toNanos()) {
        lastReleaseNanos = now;
        service.removeAbandonedRows();
      }
      return true;
    } catch (PlatformException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "claims cannot be updated, %d answers wait: %s", waiting(), e.getMessage());
      return false;
    }
  }

  private int waiting() {
    return service.unrecordedCompletions();
  }

  private void drainCompletions() throws InterruptedException {
    long limit = clock.nanoTime() + DRAIN_LIMIT.toNanos();
    while (service.unrecordedCompletions() > 0 && clock.nanoTime() - limit < 0) {
      if (!maintain()) {
        clock.sleep(ClaimService.RETRY_PAUSE);
      }
    }
    if (service.unrecordedCompletions() > 0) {
      logger.atSevere().log(
          "%d answers were not recorded before the shutdown; repeats will be told unknown",
          service.unrecordedCompletions());
    }
  }

  private void refuseRest() {
    ring.drain(undecided::add);
    undecided.forEach(attempt -> attempt.refuse(RefusalReason.SHUTTING_DOWN));
  }

  private void watchDeadlines() {
    try {
      while (!terminated) {
        service.abandonPastDeadline();
        clock.sleep(DEADLINE_TICK);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
