package org.clementinequay.core.platform.memory;

import org.clementinequay.core.platform.PlatformException;

/** Intercepts the calls to an in-memory service, so that tests can inject faults. */
public interface CallHook {
  /** Lets every call succeed. */
  CallHook NONE = new CallHook() {};

  /**
   * Runs before a call takes effect. If it throws, nothing is read or written.
   *
   * @param operation name of the called operation, such as {@code read} or {@code commit}
   * @throws PlatformException to fail the call
   */
  default void beforeEffect(String operation) throws PlatformException {}

  /**
   * Runs after a call took effect. If it throws, the caller does not receive the result.
   *
   * @param operation name of the called operation
   * @throws PlatformException to simulate a lost response
   */
  default void afterEffect(String operation) throws PlatformException {}
}
