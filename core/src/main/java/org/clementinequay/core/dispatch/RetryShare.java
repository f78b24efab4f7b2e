package org.clementinequay.core.dispatch;

/**
 * Part of the retries of all hosts that one host may use on its own. The load that it answers is
 * the loss of many upstreams at once at hundreds of hosts, when every host wants to retry all that
 * it had there: a part for a fixed number of hosts would let the sum grow with the number of hosts.
 */
public final class RetryShare {
  /**
   * Fraction of the allowed retries that the hosts use together; the rest absorbs differences in
   * counting.
   */
  static final double USED_FRACTION = 0.8;

  /** Number of hosts that is assumed until the list of hosts is known: the largest expected. */
  static final int HOSTS_IF_UNKNOWN = 330;

  private RetryShare() {}

  /** Returns the retries per request of this host that it may use. */
  public static double perRequest(double retriesPerRequest) {
    return retriesPerRequest * USED_FRACTION;
  }

  /**
   * Returns this host's part of the retries that are allowed whatever the number of requests.
   *
   * @param listedHosts number of hosts on the last list of hosts, which is kept while no new one
   *     can be read; 0 if there was none yet
   */
  public static double ofBurst(double burst, int listedHosts) {
    return burst * USED_FRACTION / (listedHosts > 0 ? listedHosts : HOSTS_IF_UNKNOWN);
  }
}
