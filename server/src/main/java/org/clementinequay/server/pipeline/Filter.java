package org.clementinequay.server.pipeline;

import org.clementinequay.core.RequestFailedException;

/** One stage of the request pipeline. */
public interface Filter {
  /**
   * Works on the exchange and calls {@code next} exactly once, now or later and from any thread,
   * unless it throws.
   *
   * @throws RequestFailedException to end the request; only the stages that settle it then run
   */
  void apply(Exchange exchange, Next next) throws RequestFailedException;

  /** Returns whether the stage runs for failed requests too. */
  default boolean settles() {
    return false;
  }

  /** Continuation of the pipeline. */
  interface Next {
    /** Goes on with the next stage. */
    void proceed();

    /** Ends the request; only the stages that settle it run. */
    void fail(RequestFailedException failure);
  }
}
