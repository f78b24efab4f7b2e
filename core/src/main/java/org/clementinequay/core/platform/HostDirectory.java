package org.clementinequay.core.platform;

import java.util.List;

/** The platform's list of live and leaving hosts. The list lags behind the actual state. */
public interface HostDirectory {
  /**
   * Reads the current list.
   *
   * @throws PlatformException if no response was received
   */
  List<HostEntry> hosts() throws PlatformException;
}
