package org.clementinequay.server.operator;

import java.time.Instant;
import org.clementinequay.core.platform.PlatformException;

/** Computes bills from the sealed batches of bill records. */
public interface BillSource {
  /**
   * Returns the bill of an account.
   *
   * @param account name of the account
   * @param from start of the period, included
   * @param to end of the period, excluded
   * @throws PlatformException if the batches cannot be read
   */
  BillReport bill(String account, Instant from, Instant to) throws PlatformException;
}
