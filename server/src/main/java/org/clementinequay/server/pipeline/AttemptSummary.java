package org.clementinequay.server.pipeline;

import java.util.Optional;
import org.clementinequay.core.ModelVersion;

/**
 * What one attempt did, for bills and logs.
 *
 * @param number number of the attempt within the request, from 1
 * @param version version that ran; empty for a route
 * @param upstream name of the upstream
 * @param state how the attempt ended
 * @param promptTokens tokens of the prompt that the upstream processed
 * @param completionTokens tokens that the upstream generated, as far as they arrived here
 * @param costMicros price in millionths of the billing unit
 */
public record AttemptSummary(
    int number,
    Optional<ModelVersion> version,
    String upstream,
    State state,
    long promptTokens,
    long completionTokens,
    long costMicros) {

  /** How an attempt ended. */
  public enum State {
    /** Its whole answer was released to the caller. */
    ACCEPTED,
    /** A whole draft that was not good enough. */
    REJECTED_DRAFT,
    /** Ended without its whole answer. */
    FAILED,
    /** Stopped because the caller left or the deadline passed. */
    CANCELLED
  }
}
