package org.clementinequay.server.pipeline;

import org.clementinequay.core.RequestFailedException;

/** A stage of the request pipeline. */
public interface Filter {
  /**
   * Processes the exchange and calls one method of {@code next} exactly once, during this call or
   * later and from any thread, unless it throws.
   *
   * @throws RequestFailedException to fail the request, as {@link Next#fail} does
   */
  void apply(Exchange exchange, Next next) throws RequestFailedException;

  /** Returns whether the filter also runs after the request has failed. */
  default boolean runsAfterFailure() {
    return false;
  }

  /** Continues the pipeline after a filter; calls after the first one have no effect. */
  interface Next {
    /** Continues with the next filter. */
    void proceed();

    /** Fails the request; only filters with {@link Filter#runsAfterFailure} run from now on. */
    void fail(RequestFailedException failure);
  }
}
