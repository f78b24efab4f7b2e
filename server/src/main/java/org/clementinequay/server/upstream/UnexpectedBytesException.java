package org.clementinequay.server.upstream;

/** Thrown when an upstream sent bytes that belong to no response, or too many without content. */
final class UnexpectedBytesException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  UnexpectedBytesException(String message) {
    super(message);
  }
}
