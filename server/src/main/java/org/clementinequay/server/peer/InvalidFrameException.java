package org.clementinequay.server.peer;

import java.io.IOException;

/** The other end sent bytes that are not a valid frame at this point of the conversation. */
final class InvalidFrameException extends IOException {
  private static final long serialVersionUID = 1L;

  InvalidFrameException(String message) {
    super(message);
  }

  InvalidFrameException(String message, Throwable cause) {
    super(message, cause);
  }
}
