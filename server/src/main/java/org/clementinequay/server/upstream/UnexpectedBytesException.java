package org.clementinequay.server.upstream;

/** Thrown when an upstream sent too many bytes without content. */
final class UnexpectedBytesException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  UnexpectedBytesException(String message) {
    super(message);
  }
}
