package org.clementinequay.server.peer;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

/**
 * Assembles the frames of a link from the bytes that arrive. Memory grows with the bytes of a frame
 * that have arrived, not with the length that it announces, and none is held between frames.
 */
final class FrameReader {
  private static final int INITIAL_BYTES = 512;
  private static final byte[] EMPTY = new byte[0];

  private int prefix;
  private int prefixBytes;
  private byte[] body = EMPTY;
  private int received;

  /**
   * Takes bytes and returns the body of the next complete frame; empty if all bytes were taken.
   *
   * @param maxBytes maximum length to accept
   * @throws InvalidFrameException if the length is out of range
   */
  Optional<byte[]> next(ByteBuffer bytes, int maxBytes) throws InvalidFrameException {
    while (prefixBytes < FrameCodec.PREFIX_BYTES && bytes.hasRemaining()) {
      prefix = prefix << Byte.SIZE | Byte.toUnsignedInt(bytes.get());
      prefixBytes++;
    }
    if (prefixBytes < FrameCodec.PREFIX_BYTES) {
      return Optional.empty();
    }
    FrameCodec.checkLength(prefix, maxBytes);
    int count = Math.min(bytes.remaining(), prefix - received);
    ensureCapacity(received + count);
    bytes.get(body, received, count);
    received += count;
    if (received < prefix) {
      return Optional.empty();
    }
    byte[] complete = body;
    body = EMPTY;
    prefix = 0;
    prefixBytes = 0;
    received = 0;
    return Optional.of(complete);
  }

  private void ensureCapacity(int bytes) {
    if (bytes > body.length || body.length == 0) {
      int doubled = Math.max(INITIAL_BYTES, 2 * body.length);
      body = Arrays.copyOf(body, Math.min(prefix, Math.max(bytes, doubled)));
    }
  }
}
