package org.clementinequay.server.pipeline;

import java.util.Optional;
import org.clementinequay.core.ModelVersion;

/** What requests ask about the configuration in force at the moment of the question. */
public interface ConfigurationSource {
  /** Returns the configuration in force, or empty before the first one arrived. */
  Optional<ActiveConfiguration> current();

  /**
   * Returns whether this host may start work on a version that the configuration permits. False for
   * versions that the brake stopped, and for versions being rolled out while the configuration is
   * stale.
   */
  boolean usable(ModelVersion version);
}
