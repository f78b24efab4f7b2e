package org.clementinequay.core.cascade;

/**
 * Key under which {@link LearnedRates} counts good and bad ratings.
 *
 * @param account name of the client account; empty for the totals over all accounts
 * @param requestClass name of the request class
 * @param path the version and the versions whose drafts were rejected before it
 * @param kind which ratings are counted
 */
public record RateKey(String account, String requestClass, RatePath path, Kind kind) {
  /** Returns the key of the totals over all accounts. */
  RateKey pooled() {
    return new RateKey("", requestClass, path, kind);
  }

  /** Which ratings are counted; each kind has the mean of its prior, a share of good ratings. */
  public enum Kind {
    /** First ratings of the answers at the path, whether the rating accepted or rejected them. */
    PASS(0.5),
    /** Second ratings of drafts that the first rating accepted. */
    KEPT(0.9);

    private final double priorMean;

    Kind(double priorMean) {
      this.priorMean = priorMean;
    }

    double priorMean() {
      return priorMean;
    }
  }
}
