package org.clementinequay.core.cascade;

import java.util.List;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.ModelVersion;

/**
 * Counters of one entry host process, as exchanged between entry hosts. All counts have decayed up
 * to the time of the report.
 *
 * @param origin the entry host process that made the observations
 * @param sequence number of the report at its origin; a receiver keeps the report with the highest
 * @param rates counts of good and bad ratings
 * @param times statistical moments of the answer times
 */
public record RateReport(
    Incarnation origin, long sequence, List<RateCounts> rates, List<TimeCounts> times) {
  /** Takes unmodifiable copies of the lists. */
  public RateReport {
    rates = List.copyOf(rates);
    times = List.copyOf(times);
  }

  /**
   * Counts of ratings under a key, which decay with a long half-life (slow) and with a short one
   * (fast).
   *
   * @param key account, class, path and kind of the ratings
   * @param slowGood good ratings, half-life of 30 minutes
   * @param slowBad bad ratings, half-life of 30 minutes
   * @param fastGood good ratings, half-life of 1 minute
   * @param fastBad bad ratings, half-life of 1 minute
   */
  public record RateCounts(
      RateKey key, double slowGood, double slowBad, double fastGood, double fastBad) {}

  /**
   * Moments of the time that complete answers of a version took; all three decay with a half-life
   * of 30 minutes.
   *
   * @param requestClass name of the request class
   * @param version the version that answered
   * @param count number of answers
   * @param sumMillis sum of the times, in milliseconds
   * @param sumSquares sum of the squared times, in square milliseconds
   */
  public record TimeCounts(
      String requestClass,
      ModelVersion version,
      double count,
      double sumMillis,
      double sumSquares) {}
}
