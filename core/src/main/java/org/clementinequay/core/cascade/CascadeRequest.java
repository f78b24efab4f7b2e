package org.clementinequay.core.cascade;

import java.util.List;
import org.clementinequay.core.ModelVersion;

/**
 * What the planner needs to know of a request.
 *
 * @param account name of the client account
 * @param requestClass name of the request class
 * @param qualityTarget least share of answers that must be rated as good, from 0 to 1
 * @param remainingMillis time left until the deadline, in milliseconds
 * @param checkMillis expected time to rate one draft, in milliseconds
 * @param draw uniform random number in [0, 1), drawn by the caller for this request
 * @param candidates versions that the request may use, cheapest first; at most {@link
 *     CascadePlanner#MAX_CANDIDATES}
 */
public record CascadeRequest(
    String account,
    String requestClass,
    double qualityTarget,
    long remainingMillis,
    double checkMillis,
    double draw,
    List<Candidate> candidates) {
  /** Copies the list. */
  public CascadeRequest {
    candidates = List.copyOf(candidates);
    if (candidates.isEmpty() || candidates.size() > CascadePlanner.MAX_CANDIDATES) {
      throw new IllegalArgumentException("number of candidates: " + candidates.size());
    }
  }

  /**
   * A version that the request may use.
   *
   * @param version the version
   * @param costMicros expected cost of its answer, in millionths of the billing unit
   * @param defaultMillis expected time of its answer if nothing was learned, in milliseconds
   */
  public record Candidate(ModelVersion version, double costMicros, double defaultMillis) {}
}
