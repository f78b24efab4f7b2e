package org.clementinequay.core.cascade;

import java.util.List;
import org.clementinequay.core.ModelVersion;

/**
 * Input of {@link CascadePlanner} for one request.
 *
 * @param account name of the client account
 * @param requestClass name of the request class
 * @param qualityTarget minimum share of answers that must be rated as good, from 0 to 1
 * @param remainingMillis time left until the deadline, in milliseconds
 * @param ratingMillis expected time to rate one draft, in milliseconds
 * @param draw uniform random number in [0, 1) that the caller generates for this request
 * @param candidates versions that the request may use, cheapest first; at most {@link
 *     CascadePlanner#MAX_CANDIDATES}
 */
public record CascadeRequest(
    String account,
    String requestClass,
    double qualityTarget,
    long remainingMillis,
    double ratingMillis,
    double draw,
    List<Candidate> candidates) {
  /**
   * Takes an unmodifiable copy of the list.
   *
   * @throws IllegalArgumentException if there are no candidates or too many
   */
  public CascadeRequest {
    candidates = List.copyOf(candidates);
    if (candidates.isEmpty() || candidates.size() > CascadePlanner.MAX_CANDIDATES) {
      throw new IllegalArgumentException(
          "number of candidates is out of range: " + candidates.size());
    }
  }

  /**
   * A version that the request may use.
   *
   * @param version the version
   * @param costMicros expected cost of its answer, in millionths of the billing unit
   * @param defaultMillis expected time of its answer while none was measured, in milliseconds
   */
  public record Candidate(ModelVersion version, double costMicros, double defaultMillis) {}
}
