package org.clementinequay.server.gateway;

import org.clementinequay.core.platform.HostDirectory;
import org.clementinequay.core.platform.HostEntry;
import org.clementinequay.core.platform.PlatformException;

/** List of entry hosts to which each adds itself. */
public interface HostRegistry extends HostDirectory {
  /** Adds a host, or replaces its entry. */
  void register(HostEntry host) throws PlatformException;
}
