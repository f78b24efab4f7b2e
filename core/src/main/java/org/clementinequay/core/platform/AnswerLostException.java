package org.clementinequay.core.platform;

/** Thrown if a call was sent but no response arrived; a write may or may not have taken effect. */
public final class AnswerLostException extends PlatformException {
  private static final long serialVersionUID = 1L;

  /** Creates an exception without a cause. */
  public AnswerLostException(String message) {
    super(message, null);
  }

  /** Creates an exception with a cause. */
  public AnswerLostException(String message, Throwable cause) {
    super(message, cause);
  }
}
