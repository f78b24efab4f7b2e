package org.clementinequay.core.limit;

import java.util.Map;
import org.clementinequay.core.Incarnation;

/**
 * What an entry host tells its peers about its use of the account limits. Reports are cumulative:
 * merging one twice, late, or after a newer one changes nothing.
 *
 * @param origin the host that made the report
 * @param sequence number of the report at its origin, from 1
 * @param epoch identity of the set of members among which the limits are shared
 * @param accounts usage by account name
 */
public record LimitReport(
    Incarnation origin, long sequence, long epoch, Map<String, AccountUsage> accounts) {
  /** Copies the map. */
  public LimitReport {
    accounts = Map.copyOf(accounts);
  }

  /**
   * Usage of one account at the origin.
   *
   * @param demand requests per second that arrived there, admitted or not
   * @param limit the account's rate over all hosts as the origin knows it, in requests per second;
   *     hosts without requests of the account learn it from here
   * @param share part of the account's limits that the origin applies, from 0 to 1
   * @param granted total share that the origin has given to each other host in this epoch
   */
  public record AccountUsage(
      double demand, double limit, double share, Map<Incarnation, Double> granted) {
    /** Copies the map. */
    public AccountUsage {
      granted = Map.copyOf(granted);
    }

    /** Makes the usage of an account whose limit the origin does not know. */
    public AccountUsage(double demand, double share, Map<Incarnation, Double> granted) {
      this(demand, 0, share, granted);
    }
  }
}
