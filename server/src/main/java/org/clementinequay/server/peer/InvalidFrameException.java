package org.clementinequay.server.peer;

import java.io.IOException;

/**
 * Thrown if the other end sent bytes that are not a valid frame in the current state of the
 * protocol, or if a message is too large for a frame.
 */
final class InvalidFrameException extends IOException {
  private static final long serialVersionUID = 1L;

  InvalidFrameException(String message) {
    super(message);
  }

  InvalidFrameException(String message, Throwable cause) {
    super(message, cause);
  }
}
