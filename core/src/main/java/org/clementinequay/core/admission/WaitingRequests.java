package org.clementinequay.core.admission;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Requests that wait in this host for room, in the order in which they get it: by priority, and
 * within one priority by deadline (earliest deadline first, Liu and Layland, 1973). Load: callers
 * compete for too little room. A caller who comes back after a rejection has less time left than
 * one who is new, and so comes first; nothing else on the wire tells the two apart. The number of
 * requests is bounded; if it is exceeded, the last in the order yields. Thread-safe.
 *
 * @param <R> request, compared by identity
 */
public final class WaitingRequests<R> {
  private final int capacity;
  private final Map<R, Entry<R>> entries = new HashMap<>();
  private final TreeSet<Entry<R>> order =
      new TreeSet<>(
          Comparator.<Entry<R>>comparingInt(Entry::priority)
              .thenComparing((a, b) -> Long.signum(a.deadlineNanos() - b.deadlineNanos()))
              .thenComparingLong(Entry::sequence));
  private long lastSequence;

  private record Entry<R>(R request, int priority, long deadlineNanos, long sequence) {}

  /** Creates an instance for at most the given number of requests; none waits if it is 0. */
  public WaitingRequests(int capacity) {
    this.capacity = capacity;
  }

  /** Returns whether requests may wait at all. */
  public boolean enabled() {
    return capacity > 0;
  }

  /**
   * Adds a request; has no effect if it waits already.
   *
   * @param priority rank of the request; 0 is the highest
   * @return the request that must not wait any longer, which may be the new one; empty if all may
   */
  public synchronized Optional<R> add(R request, int priority, long deadlineNanos) {
    if (entries.containsKey(request)) {
      return Optional.empty();
    }
    Entry<R> entry = new Entry<>(request, priority, deadlineNanos, ++lastSequence);
    entries.put(request, entry);
    order.add(entry);
    if (entries.size() <= capacity) {
      return Optional.empty();
    }
    R last = order.last().request();
    remove(last);
    return Optional.of(last);
  }

  /** Removes a request; returns false if it does not wait. */
  public synchronized boolean remove(R request) {
    Entry<R> entry = entries.remove(request);
    return entry != null && order.remove(entry);
  }

  /** Returns the requests in the order in which they get room. */
  public synchronized List<R> inOrder() {
    return order.stream().map(Entry::request).toList();
  }

  /** Returns the number of requests that wait. */
  public synchronized int size() {
    return entries.size();
  }
}
