package org.clementinequay.server.gateway;

import org.clementinequay.core.platform.HostDirectory;
import org.clementinequay.core.platform.HostEntry;
import org.clementinequay.core.platform.PlatformException;

/** List of entry hosts to which each host adds itself. */
public interface HostRegistry extends HostDirectory {
  /** Adds a host, or replaces the entry with the same name. */
  void register(HostEntry host) throws PlatformException;
}
