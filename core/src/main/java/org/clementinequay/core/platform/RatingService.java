package org.clementinequay.core.platform;

import org.clementinequay.core.ModelVersion;

/** The platform's service that rates the answers of models. */
public interface RatingService {
  /**
   * Rates the answer to a prompt. The call blocks.
   *
   * @param version the version that produced the answer
   * @param requestClass name of the request class
   * @return score from 0 (useless) to 1 (perfect)
   * @throws PlatformException if no response was received
   */
  double rate(ModelVersion version, String requestClass, String prompt, String answer)
      throws PlatformException;
}
