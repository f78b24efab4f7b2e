package org.clementinequay.core.platform.memory;

import org.clementinequay.core.platform.PlatformException;

/** Observes the calls to an in-memory service and may fail them, so that tests inject faults. */
public interface CallHook {
  /** A hook that does nothing. */
  CallHook NONE = new CallHook() {};

  /**
   * Called before the call takes effect; an exception here means that nothing was read or written.
   *
   * @param operation name of the operation, such as {@code read} or {@code commit}
   * @throws PlatformException to fail the call
   */
  default void beforeEffect(String operation) throws PlatformException {}

  /**
   * Called after the call took effect; an exception here loses the answer.
   *
   * @param operation name of the operation
   * @throws PlatformException to lose the answer
   */
  default void afterEffect(String operation) throws PlatformException {}
}
