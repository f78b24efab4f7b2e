package org.clementinequay.server.billing;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.clementinequay.core.Incarnation;

/** Records that were sent to a holder and wait for its acknowledgement. */
final class PendingCopy {
  /**
   * A record with the future that its request waits for.
   *
   * @param line stored form of the record
   * @param result completed once; it is complete already when a copy is only renewed
   * @param addedNanos when the request began to wait, on the monotonic clock
   */
  record Entry(String line, CompletableFuture<CopyResult> result, long addedNanos) {}

  private final List<Entry> entries;
  private final Incarnation holder;
  private final long sentNanos;
  private final Set<Incarnation> tried;

  PendingCopy(List<Entry> entries, Incarnation holder, long sentNanos, Set<Incarnation> tried) {
    this.entries = entries;
    this.holder = holder;
    this.sentNanos = sentNanos;
    this.tried = new HashSet<>(tried);
    this.tried.add(holder);
  }

  List<Entry> entries() {
    return entries;
  }

  List<String> lines() {
    return entries.stream().map(Entry::line).toList();
  }

  Incarnation holder() {
    return holder;
  }

  long sentNanos() {
    return sentNanos;
  }

  Set<Incarnation> tried() {
    return tried;
  }

  void complete(CopyResult result) {
    entries.forEach(entry -> entry.result().complete(result));
  }
}
