package org.clementinequay.server.operator;

import java.util.Optional;
import org.clementinequay.core.config.RevisionedConfiguration;

/** Read-only view of the entry host that the operators' interface runs on. */
public interface HostView {
  /** Returns whether the host accepts requests from callers. */
  boolean ready();

  /** Returns the configuration in force on this host, which may lag behind the latest one. */
  Optional<RevisionedConfiguration> inForce();

  /** Returns the state of the host and what it knows of its peers and upstreams. */
  HostStatus status();
}
