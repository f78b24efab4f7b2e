package org.clementinequay.core.limit;

import java.util.Map;
import org.clementinequay.core.Incarnation;

/**
 * Report of an entry host to its peers on its use of the account limits. Reports are cumulative:
 * merging one twice, late or after a newer one changes nothing.
 *
 * @param origin the host process that created the report
 * @param sequence number of the report at its origin, starting at 1
 * @param epoch hash that identifies the hosts among which the limits are divided, and their weights
 * @param accounts usage by account name
 */
public record LimitReport(
    Incarnation origin, long sequence, long epoch, Map<String, AccountUsage> accounts) {
  /** Takes an unmodifiable copy of the map. */
  public LimitReport {
    accounts = Map.copyOf(accounts);
  }

  /**
   * Usage of one account at the origin.
   *
   * @param demand requests per second that arrived at the origin, admitted or not
   * @param limit the account's rate limit over all hosts as known to the origin, in requests per
   *     second; 0 if unknown. Hosts without requests of the account take the limit from here.
   * @param share part of the account's limits that the origin applies, from 0 to 1
   * @param granted total share that the origin has granted to each other host in this epoch
   */
  public record AccountUsage(
      double demand, double limit, double share, Map<Incarnation, Double> granted) {
    /** Takes an unmodifiable copy of the map. */
    public AccountUsage {
      granted = Map.copyOf(granted);
    }

    /** Creates the usage of an account whose limit the origin does not know. */
    public AccountUsage(double demand, double share, Map<Incarnation, Double> granted) {
      this(demand, 0, share, granted);
    }
  }
}
