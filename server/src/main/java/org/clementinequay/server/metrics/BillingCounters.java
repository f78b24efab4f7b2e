package org.clementinequay.server.metrics;

import org.clementinequay.server.billing.BillingMetrics;

/** Counts bill records that were copied, released with a single copy, sealed or flushed. */
public final class BillingCounters implements BillingMetrics {
  private final RouterMetrics metrics;

  /** Creates counters that are part of the metrics of a host. */
  public BillingCounters(RouterMetrics metrics) {
    this.metrics = metrics;
  }

  @Override
  public void singleCopy(int records) {
    metrics.increment("clementinequay_bills_single_copy_total", records);
  }

  @Override
  public void copied(int records, long nanos) {
    metrics.increment("clementinequay_bills_copied_total", records);
    metrics.recordTime("clementinequay_bill_copy_seconds", nanos);
  }

  @Override
  public void sealed(int records) {
    metrics.increment("clementinequay_bills_sealed_total", records);
  }

  @Override
  public void flushed(int records) {
    metrics.increment("clementinequay_bills_flushed_total", records);
  }
}
