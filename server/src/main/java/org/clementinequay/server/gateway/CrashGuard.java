package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.quarantine.CrashLedger;
import org.clementinequay.core.quarantine.CrashReport;
import org.clementinequay.core.quarantine.PartQuarantine;
import org.clementinequay.core.quarantine.SharedPart;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Keeps requests with a part of the prompt under which upstreams crash from all upstreams. Attempts
 * report here how they ended; {@link CrashGuardTask} turns that into evidence and exchanges it with
 * the peers.
 */
final class CrashGuard {
  /** Maximum number of entries that wait for the task; further ones are dropped. */
  private static final int MAX_PENDING = 512;

  /** Maximum number of parts of all attempts that wait for the task. */
  static final int MAX_PENDING_PARTS = 16_384;

  private final RuntimeClock clock;
  private final CrashLedger ledger = new CrashLedger();
  private final PartQuarantine quarantine = new PartQuarantine();
  private final BlockingQueue<BrokenAttempt> broken = new ArrayBlockingQueue<>(MAX_PENDING);
  private final BlockingQueue<SharedPart> cleared = new ArrayBlockingQueue<>(MAX_PENDING);

  private final AtomicInteger pendingParts = new AtomicInteger();

  /** An attempt whose connection ended before its answer had begun, and the upstream's address. */
  record BrokenAttempt(CrashReport report, String address) {}

  CrashGuard(RuntimeClock clock) {
    this.clock = clock;
  }

  /** Reports an attempt whose connection ended before or just after the first event. */
  void attemptBroken(UpstreamInstance upstream, long startNanos, List<String> partIds) {
    if (partIds.isEmpty() || !takePending(partIds.size())) {
      return;
    }
    boolean added =
        broken.offer(
            new BrokenAttempt(
                new CrashReport(
                    upstream.service(), processId(upstream), startNanos, clock.nanoTime(), partIds),
                upstream.address()));
    if (!added) {
      pendingParts.addAndGet(-partIds.size());
    }
  }

  /** Takes room for parts; a prompt takes no more than half of what is left, so that others fit. */
  private boolean takePending(int parts) {
    int before =
        pendingParts.getAndUpdate(
            pending -> parts <= (MAX_PENDING_PARTS - pending) / 2 ? pending + parts : pending);
    return parts <= (MAX_PENDING_PARTS - before) / 2;
  }

  /** Returns a name of the process; its id may be that of an earlier one. */
  private static String processId(UpstreamInstance upstream) {
    return upstream.id() + '@' + upstream.startMillis();
  }

  /** Reports an answer that has begun, which clears the parts of its prompt. */
  void answerBegun(String service, List<String> partIds) {
    for (String id : partIds) {
      SharedPart part = new SharedPart(service, id);
      if (clear(part)) {
        cleared.offer(part);
      }
    }
  }

  /** Ends the suspicion against a part and its quarantine; returns whether there was one. */
  boolean clear(SharedPart part) {
    boolean lifted = quarantine.lift(part, clock.nanoTime());
    if (lifted) {
      ledger.removeNamed(part);
    }
    return ledger.clear(part) || lifted;
  }

  /** Returns the time until requests with these parts may be sent; empty if they may now. */
  Optional<Duration> quarantined(String service, List<String> partIds) {
    long now = clock.nanoTime();
    for (String id : partIds) {
      Optional<Duration> remaining = quarantine.remaining(new SharedPart(service, id), now);
      if (remaining.isPresent()) {
        return remaining;
      }
    }
    return Optional.empty();
  }

  /** Adds evidence; returns whether it tells something new. */
  boolean recordCrash(CrashReport report) {
    return ledger.recordCrash(report, clock.nanoTime());
  }

  /** Puts a part in quarantine; returns false if it is there already or was cleared just now. */
  boolean quarantine(SharedPart part, Duration duration) {
    boolean added = quarantine.add(part, duration, clock.nanoTime());
    if (added) {
      ledger.addNamed(part);
    }
    return added;
  }

  /**
   * Puts the parts in quarantine for which there is enough evidence, and returns them. Lifts the
   * quarantine of parts whose crashes are explained by them.
   */
  List<SharedPart> quarantineNamed() {
    List<SharedPart> added = new ArrayList<>();
    Optional<SharedPart> next = ledger.nameNext(clock.nanoTime());
    while (next.isPresent()) {
      if (quarantine.add(next.get(), PartQuarantine.DURATION, clock.nanoTime())) {
        added.add(next.get());
      } else {
        ledger.removeNamed(next.get());
      }
      next = ledger.nameNext(clock.nanoTime());
    }
    if (!added.isEmpty()) {
      for (SharedPart part : ledger.releaseExplained()) {
        quarantine.lift(part, clock.nanoTime());
        cleared.offer(part);
      }
    }
    return added;
  }

  /** Ends the quarantines whose time is over. */
  void endExpired() {
    quarantine.removeEnded(clock.nanoTime()).forEach(ledger::removeNamed);
  }

  List<PartQuarantine.Entry> quarantinedParts() {
    return quarantine.entries(clock.nanoTime());
  }

  /** Returns the broken attempts since the last call. */
  List<BrokenAttempt> takeBroken() {
    List<BrokenAttempt> taken = new ArrayList<>();
    broken.drainTo(taken);
    taken.forEach(attempt -> pendingParts.addAndGet(-attempt.report().partIds().size()));
    return taken;
  }

  /** Returns the parts that this host cleared since the last call. */
  List<SharedPart> takeCleared() {
    List<SharedPart> taken = new ArrayList<>();
    cleared.drainTo(taken);
    return taken;
  }
}
