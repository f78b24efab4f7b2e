package org.clementinequay.core.platform;

import org.clementinequay.core.RouterException;

/** A call to a service of the platform did not return an answer. */
public abstract class PlatformException extends RouterException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception. */
  protected PlatformException(String message, Throwable cause) {
    super(message, cause);
  }
}
