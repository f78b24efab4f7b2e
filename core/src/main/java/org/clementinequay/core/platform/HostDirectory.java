package org.clementinequay.core.platform;

import java.util.List;

/** The platform's list of live and leaving hosts. It lags behind the truth. */
public interface HostDirectory {
  /**
   * Reads the list.
   *
   * @throws PlatformException if no answer was received
   */
  List<HostEntry> hosts() throws PlatformException;
}
