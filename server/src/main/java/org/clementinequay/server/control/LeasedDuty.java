package org.clementinequay.server.control;

import org.clementinequay.core.lease.LeaseGuard;

/** A control task that at most one entry host performs at a time, the holder of its lease. */
public interface LeasedDuty {
  /** Returns the name of the lease. */
  String name();

  /**
   * Performs one round; called repeatedly while the lease is held. May block. Implementations check
   * the guard immediately before each effect, because the lease may expire during the round.
   */
  void runOnce(LeaseGuard guard) throws InterruptedException;
}
