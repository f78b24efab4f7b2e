package org.clementinequay.core.platform;

import org.clementinequay.core.RouterException;

/** Thrown if a call to a platform service did not return a result. */
public abstract class PlatformException extends RouterException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  protected PlatformException(String message, Throwable cause) {
    super(message, cause);
  }
}
