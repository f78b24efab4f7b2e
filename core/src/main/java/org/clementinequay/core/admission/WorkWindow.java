package org.clementinequay.core.admission;

import java.util.Arrays;

/** Sums over the last seconds, in slots of a fixed length. Not thread-safe. */
final class WorkWindow {
  private static final long SLOT_NANOS = 500_000_000L;

  /** Slots of the window, which is 5 s long. */
  private static final int SLOTS = 10;

  private final double[] workMillis = new double[SLOTS];
  private final int[] requests = new int[SLOTS];
  private long lastSlot = Long.MIN_VALUE;

  void add(double millis, long nowNanos) {
    advance(nowNanos);
    int index = Math.floorMod(lastSlot, SLOTS);
    workMillis[index] += millis;
    requests[index]++;
  }

  double workMillis(long nowNanos) {
    advance(nowNanos);
    return Arrays.stream(workMillis).sum();
  }

  int requests(long nowNanos) {
    advance(nowNanos);
    return Arrays.stream(requests).sum();
  }

  AccountShares.AccountSum sum(String account, long nowNanos) {
    return new AccountShares.AccountSum(account, workMillis(nowNanos), requests(nowNanos));
  }

  /** Empties the slots whose time is over. */
  private void advance(long nowNanos) {
    long slot = Math.floorDiv(nowNanos, SLOT_NANOS);
    if (lastSlot == Long.MIN_VALUE || slot - lastSlot >= SLOTS) {
      Arrays.fill(workMillis, 0);
      Arrays.fill(requests, 0);
    } else {
      for (long i = lastSlot + 1; i <= slot; i++) {
        workMillis[Math.floorMod(i, SLOTS)] = 0;
        requests[Math.floorMod(i, SLOTS)] = 0;
      }
    }
    lastSlot = Math.max(lastSlot, slot);
  }
}
