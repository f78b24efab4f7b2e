package org.clementinequay.core.dispatch;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * Splits a stream of server-sent events with increasing ids into whole events, so that a stream
 * which breaks off in the middle of an event can go on elsewhere after the last whole one. The data
 * is not parsed. Not thread-safe.
 */
public final class EventSplitter {
  /** Longest event, in bytes; longer ones are corrupt. */
  public static final int MAX_EVENT_BYTES = 1 << 20;

  private static final int INITIAL_BYTES = 1024;
  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

  private byte[] buffer = new byte[INITIAL_BYTES];
  private int end;
  private long lastId;

  /** Creates a splitter that drops events up to an id, which the caller already has. */
  public EventSplitter(long lastId) {
    this.lastId = lastId;
  }

  /** Returns the id of the last whole event, or the one given at the start. */
  public long lastId() {
    return lastId;
  }

  /** Returns whether bytes of an event that is not whole are held. */
  public boolean hasPartialEvent() {
    return end > 0;
  }

  /** Forgets the bytes of an event that is not whole. */
  public void discardPartialEvent() {
    end = 0;
  }

  /**
   * Takes up bytes and returns the whole events that are new, as they were received.
   *
   * @throws CorruptStreamException if an event has no id, skips one, or is too long
   */
  public byte[] feed(ByteBuffer bytes) throws CorruptStreamException {
    append(bytes);
    int start = 0;
    int kept = 0;
    for (int i = 1; i < end; i++) {
      if (buffer[i] == '\n' && buffer[i - 1] == '\n' && i > start) {
        int next = i + 1;
        if (accept(start, next)) {
          System.arraycopy(buffer, start, buffer, kept, next - start);
          kept += next - start;
        }
        start = next;
      }
    }
    byte[] events = Arrays.copyOf(buffer, kept);
    System.arraycopy(buffer, start, buffer, 0, end - start);
    end -= start;
    if (end > MAX_EVENT_BYTES) {
      throw new CorruptStreamException("event is longer than " + MAX_EVENT_BYTES + " bytes");
    }
    return events;
  }

  private boolean accept(int from, int to) throws CorruptStreamException {
    long id = id(from, to);
    if (id < 0) {
      throw new CorruptStreamException("event without id");
    }
    if (id <= lastId) {
      return false;
    }
    if (id != lastId + 1) {
      throw new CorruptStreamException("event " + id + " follows " + lastId);
    }
    lastId = id;
    return true;
  }

  private long id(int from, int to) {
    int line = from;
    while (line < to) {
      int lineEnd = line;
      while (lineEnd < to && buffer[lineEnd] != '\n') {
        lineEnd++;
      }
      if (startsWith(line, lineEnd)) {
        String text =
            new String(
                    buffer,
                    line + ID_FIELD.length,
                    lineEnd - line - ID_FIELD.length,
                    StandardCharsets.US_ASCII)
                .trim();
        return parse(text);
      }
      line = lineEnd + 1;
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

  private boolean startsWith(int from, int to) {
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
