package org.clementinequay.server.billing;

/** Receives figures for the metrics. The methods must not block. */
public interface BillingMetrics {
  /** Receives nothing. */
  BillingMetrics NONE = new BillingMetrics() {};

  /** Called when records were released with this host's copy only. */
  default void singleCopy(int records) {}

  /** Called when a holder acknowledged records. */
  default void copied(int records, long nanos) {}

  /** Called when records of this host became durable. */
  default void sealed(int records) {}

  /** Called when records of a dead host were written. */
  default void flushed(int records) {}
}
