package org.clementinequay.server.gateway;

import java.io.ByteArrayOutputStream;

/** Body of a response that is received whole before it is passed on. */
final class WholeBody extends ByteArrayOutputStream {
  /** Makes room for a body of a stated length, so that the array has just that size. */
  void reserve(int length) {
    if (size() == 0 && length > buf.length) {
      buf = new byte[length];
    }
  }

  /** Returns the body, which must not grow any more; a whole array is not copied. */
  byte[] bytes() {
    return size() == buf.length ? buf : toByteArray();
  }
}
