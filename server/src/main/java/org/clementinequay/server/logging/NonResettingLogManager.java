package org.clementinequay.server.logging;

import java.util.logging.LogManager;

/**
 * Keeps the handlers until the process has ended. The manager of the JDK removes them as soon as
 * the shutdown begins, and the log lines of a graceful stop after that would be lost.
 */
public final class NonResettingLogManager extends LogManager {
  /** Called by the JDK, which creates the manager by its class name. */
  public NonResettingLogManager() {}

  @Override
  public void reset() {
    // The shutdown hook of the JDK calls this.
  }
}
