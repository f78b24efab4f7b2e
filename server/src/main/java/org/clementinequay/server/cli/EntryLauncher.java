package org.clementinequay.server.cli;

import org.clementinequay.server.settings.Settings;

/** Runs an entry host until the process receives a stop signal. */
public interface EntryLauncher {
  /**
   * Starts an entry host and returns after its graceful shutdown.
   *
   * @throws Exception if the entry host cannot start, for example because an address is in use
   */
  void run(Settings settings) throws Exception;
}
