package org.clementinequay.server.pipeline;

import java.util.Optional;
import org.clementinequay.core.ModelVersion;

/** Gives requests the configuration in force at the time of each call. */
public interface ConfigurationSource {
  /** Returns the configuration in force, or empty before the first one was loaded. */
  Optional<ActiveConfiguration> current();

  /**
   * Returns whether this host may start work on a version that the configuration permits. False for
   * versions whose rollout was stopped on the evidence of this host or a peer, and for versions
   * being rolled out while the configuration is stale.
   */
  boolean usable(ModelVersion version);
}
