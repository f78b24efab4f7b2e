package org.clementinequay.server.peer;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Queue;

/** Bounded queue of the frames that a link has yet to write. Safe for use by several threads. */
final class FrameQueue {
  /** Maximum number of queued frames; about ten seconds of a busy host's bill copies. */
  private static final int MAX_FRAMES = 1024;

  /** Maximum number of queued bytes; a few configuration documents. */
  private static final long MAX_BYTES = 16L << 20;

  private final Queue<ByteBuffer> frames = new ArrayDeque<>(4);
  private long queuedBytes;

  /** Adds a frame; returns false if the queue is full. */
  synchronized boolean offer(byte[] frame) {
    if (frames.size() >= MAX_FRAMES || queuedBytes + frame.length > MAX_BYTES) {
      return false;
    }
    queuedBytes += frame.length;
    frames.add(ByteBuffer.wrap(frame));
    return true;
  }

  synchronized boolean isEmpty() {
    return frames.isEmpty();
  }

  /** Copies the next bytes to a buffer as far as it has room; they stay in the queue. */
  synchronized void peek(ByteBuffer target) {
    for (ByteBuffer frame : frames) {
      if (!target.hasRemaining()) {
        return;
      }
      int count = Math.min(target.remaining(), frame.remaining());
      target.put(frame.duplicate().limit(frame.position() + count));
    }
  }

  /** Removes bytes that were written. */
  synchronized void remove(int bytes) {
    int left = bytes;
    queuedBytes -= bytes;
    while (left > 0) {
      ByteBuffer frame = frames.element();
      int count = Math.min(left, frame.remaining());
      frame.position(frame.position() + count);
      left -= count;
      if (!frame.hasRemaining()) {
        frames.remove();
      }
    }
  }
}
