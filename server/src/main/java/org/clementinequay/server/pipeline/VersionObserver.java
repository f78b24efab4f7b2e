package org.clementinequay.server.pipeline;

import org.clementinequay.core.ModelVersion;

/** Told what becomes of the attempts on each version. */
public interface VersionObserver {
  /** An attempt ended with its whole answer, or failed on the upstream's side. */
  void attemptEnded(ModelVersion version, boolean failed);

  /** An answer was rated. */
  void answerRated(ModelVersion version, boolean good);
}
