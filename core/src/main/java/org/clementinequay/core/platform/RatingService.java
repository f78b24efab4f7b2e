package org.clementinequay.core.platform;

import org.clementinequay.core.ModelVersion;

/** The platform's service that rates answers. */
public interface RatingService {
  /**
   * Rates an answer.
   *
   * @param version the version that produced the answer
   * @param requestClass name of the request class
   * @return a score from 0 (useless) to 1 (perfect)
   * @throws PlatformException if no answer was received
   */
  double rate(ModelVersion version, String requestClass, String prompt, String answer)
      throws PlatformException;
}
