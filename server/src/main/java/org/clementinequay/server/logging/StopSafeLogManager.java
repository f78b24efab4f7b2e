package org.clementinequay.server.logging;

import java.util.logging.LogManager;

/**
 * Keeps the handlers until the process has ended. The manager of the JDK removes them as soon as
 * the shutdown begins, and what a graceful stop logs after that would be lost.
 */
public final class StopSafeLogManager extends LogManager {
  /** Creates a manager; called by the JDK. */
  public StopSafeLogManager() {}

  @Override
  public void reset() {
    // The shutdown hook of the JDK calls this.
  }
}
