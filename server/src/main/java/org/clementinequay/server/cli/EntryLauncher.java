package org.clementinequay.server.cli;

import org.clementinequay.server.settings.Settings;

/** Runs an entry host until the process is told to stop. */
public interface EntryLauncher {
  /**
   * Starts an entry host and returns after its graceful shutdown.
   *
   * @throws Exception if it cannot start, such as when an address is in use
   */
  void run(Settings settings) throws Exception;
}
