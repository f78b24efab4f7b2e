package org.clementinequay.server.billing;

/** Receives the counts that become metrics of billing. The methods must not block. */
public interface BillingMetrics {
  /** Ignores all calls. */
  BillingMetrics NONE = new BillingMetrics() {};

  /** Called when requests were released while only this host held their records. */
  default void singleCopy(int records) {}

  /** Called when a peer acknowledged copies, with the time from sending to acknowledgement. */
  default void copied(int records, long nanos) {}

  /** Called when records of this host became durable. */
  default void sealed(int records) {}

  /** Called when records of a dead host were written to the store. */
  default void flushed(int records) {}
}
