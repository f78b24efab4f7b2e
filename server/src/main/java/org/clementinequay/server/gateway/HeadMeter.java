package org.clementinequay.server.gateway;

import java.nio.ByteBuffer;

/** Counts bytes and lines of a request's head as they arrive, up to its empty line. */
final class HeadMeter {
  private int bytes;
  private int lines;
  private int lineBytes;
  private boolean ended;

  /** Begins another head. */
  void reset() {
    bytes = 0;
    lines = 0;
    lineBytes = 0;
    ended = false;
  }

  /**
   * Counts the bytes of a buffer from a position to its limit; what follows the head is ignored.
   */
  void count(ByteBuffer buffer, int position) {
    for (int i = position; i < buffer.limit() && !ended; i++) {
      byte next = buffer.get(i);
      bytes++;
      if (next == '\n') {
        endLine();
      } else if (next != '\r') {
        lineBytes++;
      }
    }
  }

  private void endLine() {
    if (lineBytes > 0) {
      lines++;
      lineBytes = 0;
    } else if (lines > 0) {
      ended = true;
    } else {
      // Empty lines before a request do not belong to it.
      bytes = 0;
    }
  }

  int bytes() {
    return bytes;
  }

  int lines() {
    return lines;
  }
}
