package org.clementinequay.server.pipeline;

import org.clementinequay.core.ModelVersion;

/** Notified of the results of attempts and of ratings, by model version. */
public interface VersionObserver {
  /** Called when an attempt ended with a complete answer, or failed through the upstream. */
  void attemptEnded(ModelVersion version, boolean failed);

  /** Called when a draft or a released answer was rated. */
  void answerRated(ModelVersion version, boolean good);
}
