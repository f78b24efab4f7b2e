package org.clementinequay.core.platform;

/** Thrown if a service was unreachable or refused the call; nothing was written. */
public final class PlatformUnavailableException extends PlatformException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception without a cause. */
  public PlatformUnavailableException(String message) {
    super(message, null);
  }

  /** Creates an exception with a cause. */
  public PlatformUnavailableException(String message, Throwable cause) {
    super(message, cause);
  }
}
