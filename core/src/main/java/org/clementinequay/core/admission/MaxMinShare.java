package org.clementinequay.core.admission;

import java.util.Arrays;

/** Max-min fair division (Bertsekas and Gallager, Data Networks, 2nd edition, 1992, 6.5.2). */
final class MaxMinShare {
  private MaxMinShare() {}

  /**
   * Returns the largest share of the room; infinite if there is enough for all. It is no less than
   * the mean demand: if all were beyond their shares, the order of their priorities would be lost.
   */
  static double largest(double[] demands, double room) {
    double[] sorted = demands.clone();
    Arrays.sort(sorted);
    double total = Arrays.stream(sorted).sum();
    if (room >= total) {
      return Double.POSITIVE_INFINITY;
    }
    double left = room;
    int accounts = sorted.length;
    for (double demand : sorted) {
      if (demand > left / accounts) {
        break;
      }
      left -= demand;
      accounts--;
    }
    return Math.max(left / accounts, total / sorted.length);
  }
}
