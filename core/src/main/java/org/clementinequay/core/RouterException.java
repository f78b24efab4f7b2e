package org.clementinequay.core;

/** Base class of the router's checked exceptions. */
public abstract class RouterException extends Exception {
  private static final long serialVersionUID = 1L;

  /**
   * Creates an exception.
   *
   * @param message message that may be logged and sent to callers
   * @param cause cause, or null if there is none
   */
  protected RouterException(String message, Throwable cause) {
    super(message, cause);
  }
}
