package org.clementinequay.server.billing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.clementinequay.core.Incarnation;

/** Bill records that were sent to a holder, which has not acknowledged them yet. */
final class PendingCopy {
  /**
   * A record and the future that its request waits for.
   *
   * @param line stored form of the record
   * @param result completed once; already complete if the record is only sent again
   * @param queuedNanos monotonic time at which the record was queued
   */
  record QueuedRecord(String line, CompletableFuture<CopyResult> result, long queuedNanos) {}

  private final List<QueuedRecord> queuedRecords;
  private final Incarnation holder;
  private final long sentNanos;
  private final Set<Incarnation> triedHolders;

  PendingCopy(
      List<QueuedRecord> queuedRecords,
      Incarnation holder,
      long sentNanos,
      Set<Incarnation> triedHolders) {
    this.queuedRecords = queuedRecords;
    this.holder = holder;
    this.sentNanos = sentNanos;
    this.triedHolders = new HashSet<>(triedHolders);
    this.triedHolders.add(holder);
  }

  List<QueuedRecord> queuedRecords() {
    return queuedRecords;
  }

  List<String> lines() {
    return queuedRecords.stream().map(QueuedRecord::line).toList();
  }

  Incarnation holder() {
    return holder;
  }

  long sentNanos() {
    return sentNanos;
  }

  Set<Incarnation> triedHolders() {
    return triedHolders;
  }

  void complete(CopyResult result) {
    queuedRecords.forEach(queuedRecord -> queuedRecord.result().complete(result));
  }
}
