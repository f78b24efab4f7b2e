package org.clementinequay.core.cascade;

/**
 * Key of a learned rate.
 *
 * @param account name of the client account
 * @param requestClass name of the request class
 * @param path the version and the rejected versions before it
 * @param kind what is counted
 */
public record RateKey(String account, String requestClass, RatePath path, Kind kind) {
  RateKey pooled() {
    return new RateKey("", requestClass, path, kind);
  }

  /** What is counted. */
  public enum Kind {
    /** Ratings of answers at the path, without selection: accepted as good or not. */
    PASS(0.5),
    /** Second ratings of drafts that were accepted: still rated as good or not. */
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
