package org.clementinequay.core;

/** Root of the checked exceptions of the router. */
public abstract class RouterException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message fit for logs and callers. */
  protected RouterException(String message, Throwable cause) {
    super(message, cause);
  }
}
