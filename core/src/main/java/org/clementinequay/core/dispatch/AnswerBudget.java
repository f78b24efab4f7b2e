package org.clementinequay.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Budget of the bytes that a host holds of answers which upstreams have not completed.
 *
 * <p>Load: upstreams in trouble that send an event or a body without end, to many requests at once.
 * Each is bounded, but not their sum.
 *
 * <p>Algorithm: each answer may grow; once the sum exceeds the budget, the largest ones give way
 * until the rest fits. Ordinary answers are small, so that they outlast those without end.
 * Thread-safe.
 */
public final class AnswerBudget {
  /** Part of the heap for answers. */
  private static final double HEAP_FRACTION = 0.15;

  private final long maxBytes;
  private final Map<Holder, Long> bytesByHolder = new HashMap<>();
  private long bytes;
  private long displaced;

  /** An answer that holds bytes. Equal only to itself. */
  public interface Holder {
    /** Ends the answer, which has no room any more. Called without a lock of the budget. */
    void giveWay();
  }

  public AnswerBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns a budget for a host with a heap. */
  public static AnswerBudget ofHeap(long heapBytes) {
    return new AnswerBudget((long) (heapBytes * HEAP_FRACTION));
  }

  /** Returns the bytes that are held. */
  public synchronized long bytes() {
    return bytes;
  }

  /** Returns the number of answers that had to give way. */
  public synchronized long displaced() {
    return displaced;
  }

  /**
   * Sets the bytes that an answer holds, 0 once it has ended.
   *
   * @return the answers that must give way now, which may include this one; what they hold counts
   *     no more
   */
  public synchronized List<Holder> resize(Holder holder, long newBytes) {
    Long before =
        newBytes == 0 ? bytesByHolder.remove(holder) : bytesByHolder.put(holder, newBytes);
    bytes += newBytes - (before == null ? 0 : before);
    if (bytes <= maxBytes) {
      return List.of();
    }
    List<Holder> largest = new ArrayList<>();
    while (bytes > maxBytes && !bytesByHolder.isEmpty()) {
      Holder next =
          bytesByHolder.entrySet().stream()
              .max(Comparator.comparingLong(Map.Entry::getValue))
              .orElseThrow()
              .getKey();
      bytes -= bytesByHolder.remove(next);
      displaced++;
      largest.add(next);
    }
    return largest;
  }
}
