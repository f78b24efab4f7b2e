package org.clementinequay.server.control;

import org.clementinequay.core.lease.LeaseGuard;

/** A control duty that at most one entry host performs at a time. */
public interface LeasedDuty {
  /** Returns the name of the lease. */
  String name();

  /**
   * Performs one round while the lease is held. May block; checks the guard right before each
   * effect.
   */
  void runOnce(LeaseGuard guard) throws InterruptedException;
}
