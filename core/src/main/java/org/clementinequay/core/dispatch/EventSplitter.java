package org.clementinequay.core.dispatch;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a stream of server-sent events with consecutive ids into complete events, so that a stream
 * which breaks off within an event can be resumed on another upstream after the last complete
 * event. The data is not parsed. Not thread-safe.
 */
public final class EventSplitter {
  /** Greatest length of an event in bytes; a longer one is treated as corrupt. */
  public static final int MAX_EVENT_BYTES = 1 << 20;

  /** Greatest number of bytes of repeated events that are dropped in one stream. */
  static final int MAX_REPEATED_BYTES = 1 << 20;

  private static final int INITIAL_BYTES = 1024;

  /** Size up to which the buffer is kept for the next event. */
  private static final int MAX_KEPT_BYTES = 16 << 10;

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private byte[] buffer = new byte[INITIAL_BYTES];
  private int end;
  private long lastId;
  private long repeatedBytes;

  /**
   * Creates a splitter.
   *
   * @param lastId id of the last event that the caller already has; events up to it are dropped
   */
  public EventSplitter(long lastId) {
    this.lastId = lastId;
  }

  /** Returns the id of the last complete event, or the initial one before the first event. */
  public long lastId() {
    return lastId;
  }

  /** Returns whether the buffer holds the beginning of an incomplete event. */
  public boolean hasPartialEvent() {
    return end > 0;
  }

  /** Discards the buffered bytes of an incomplete event. */
  public void discardPartialEvent() {
    end = 0;
    shrink();
  }

  /** Returns the bytes of memory that the buffer takes. */
  public int bufferBytes() {
    return buffer.length;
  }

  private void shrink() {
    if (end == 0 && buffer.length > MAX_KEPT_BYTES) {
      buffer = new byte[INITIAL_BYTES];
    }
  }

  /**
   * Adds received bytes and returns the new events that they complete, byte for byte as received.
   * Events whose id is not greater than the last one are dropped as repeated.
   *
   * @return the events, or an empty array if no new event is complete
   * @throws CorruptStreamException if an event has no id, skips an id, or is too long, or if too
   *     many events are repeated
   */
  public byte[] feed(ByteBuffer bytes) throws CorruptStreamException {
    int searchedBytes = end;
    append(bytes);
    int start = 0;
    int keptBytes = 0;
    for (int i = Math.max(1, searchedBytes); i < end; i++) {
      if (buffer[i] == '\n' && buffer[i - 1] == '\n' && i > start) {
        int nextStart = i + 1;
        if (accept(start, nextStart)) {
          System.arraycopy(buffer, start, buffer, keptBytes, nextStart - start);
          keptBytes += nextStart - start;
        }
        start = nextStart;
      }
    }
    byte[] events = Arrays.copyOf(buffer, keptBytes);
    System.arraycopy(buffer, start, buffer, 0, end - start);
    end -= start;
    if (end > MAX_EVENT_BYTES) {
      throw new CorruptStreamException("event is longer than " + MAX_EVENT_BYTES + " bytes");
    }
    shrink();
    return events;
  }

  private boolean accept(int from, int to) throws CorruptStreamException {
    long id = id(from, to);
    if (id < 0) {
      throw new CorruptStreamException("event without id");
    }
    if (id <= lastId) {
      repeatedBytes += to - from;
      if (repeatedBytes > MAX_REPEATED_BYTES) {
        throw new CorruptStreamException(
            "more than " + MAX_REPEATED_BYTES + " bytes of repeated events");
      }
      return false;
    }
    if (id != lastId + 1) {
      throw new CorruptStreamException("gap in event ids: " + id + " after " + lastId);
    }
    lastId = id;
    return true;
  }

  private long id(int from, int to) {
    int lineStart = from;
    while (lineStart < to) {
      int lineEnd = lineStart;
      while (lineEnd < to && buffer[lineEnd] != '\n') {
        lineEnd++;
      }
      if (startsWithIdField(lineStart, lineEnd)) {
        String text =
            new String(
                    buffer,
                    lineStart + ID_FIELD.length,
                    lineEnd - lineStart - ID_FIELD.length,
                    StandardCharsets.US_ASCII)
                .trim();
        return parse(text);
      }
      lineStart = lineEnd + 1;
    }
    return -1;
  }

  private static long parse(String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      return -1;
    }
  }

  private boolean startsWithIdField(int from, int to) {
    if (to - from < ID_FIELD.length) {
      return false;
    }
    for (int i = 0; i < ID_FIELD.length; i++) {
      if (buffer[from + i] != ID_FIELD[i]) {
        return false;
      }
    }
    return true;
  }

  private void append(ByteBuffer bytes) {
    int length = bytes.remaining();
    if (end + length > buffer.length) {
      buffer = Arrays.copyOf(buffer, Math.max(buffer.length * 2, end + length));
    }
    bytes.get(buffer, end, length);
    end += length;
  }
}
