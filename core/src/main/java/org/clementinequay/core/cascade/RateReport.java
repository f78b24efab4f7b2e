package org.clementinequay.core.cascade;

import java.util.List;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.ModelVersion;

/**
 * The counters of one origin, as exchanged between entry hosts. All counts are aged to the moment
 * of the report.
 *
 * @param origin the entry host process that made the observations
 * @param sequence number of the report at its origin; a receiver keeps the highest
 * @param rates counts of good and bad ratings
 * @param times moments of the answer times
 */
public record RateReport(
    Incarnation origin, long sequence, List<RateCounts> rates, List<TimeCounts> times) {
  /** Copies the lists. */
  public RateReport {
    rates = List.copyOf(rates);
    times = List.copyOf(times);
  }

  /**
   * Counts of ratings under a key, aged with a long and with a short half-life.
   *
   * @param key what was counted
   * @param slowGood good ratings, long half-life
   * @param slowBad bad ratings, long half-life
   * @param fastGood good ratings, short half-life
   * @param fastBad bad ratings, short half-life
   */
  public record RateCounts(
      RateKey key, double slowGood, double slowBad, double fastGood, double fastBad) {}

  /**
   * Moments of the time of whole answers of a version.
   *
   * @param requestClass name of the request class
   * @param version the version
   * @param count aged number of answers
   * @param sumMillis aged sum of the times
   * @param sumSquares aged sum of the squared times
   */
  public record TimeCounts(
      String requestClass,
      ModelVersion version,
      double count,
      double sumMillis,
      double sumSquares) {}
}
