package org.clementinequay.core.dispatch;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.clementinequay.core.AttemptId;

/**
 * Splits the server-sent events of an engine and checks that each belongs to the attempt and comes
 * in order. Works on bytes and does not parse the data, because this runs once for every token.
 *
 * <p>Events of another attempt and repeated events are dropped and counted; a gap in the sequence
 * or an event without id is corrupt. Not thread-safe.
 */
public final class EventStreamReader {
  /** Longest event, in bytes; longer ones are corrupt. */
  public static final int MAX_EVENT_BYTES = 1 << 20;

  private static final int INITIAL_BYTES = 4096;
  private static final byte[] ID_FIELD = ascii("id: ");
  private static final byte[] DATA_FIELD = ascii("data: ");
  private static final byte[] END_DATA = ascii("[DONE]");

  private final byte[] idPrefix;
  private byte[] buffer = new byte[INITIAL_BYTES];
  private int start;
  private int end;
  private int scanned;
  private long expected;
  private long dropped;
  private boolean complete;

  /** Receives the events that passed the checks. */
  public interface Handler {
    /**
     * Called for each event in order. The bytes are valid during the call only.
     *
     * @param bytes buffer that holds the event's data line
     * @param offset start of the data, after the field name
     * @param length length of the data without the line end
     */
    void data(byte[] bytes, int offset, int length);
  }

  /** Creates a reader for the stream of an attempt that starts at an event number. */
  public EventStreamReader(AttemptId attempt, long firstSequence) {
    this.idPrefix = ascii(attempt + "/");
    this.expected = firstSequence;
  }

  /**
   * Consumes bytes of the stream.
   *
   * @throws CorruptStreamException if the stream cannot be the rest of the attempt's answer
   */
  public void feed(ByteBuffer bytes, Handler handler) throws CorruptStreamException {
    append(bytes);
    int lineEnd;
    while ((lineEnd = findEventEnd()) >= 0) {
      consume(start, lineEnd, handler);
      start = lineEnd + 2;
      scanned = start;
    }
    if (end - start > MAX_EVENT_BYTES) {
      throw new CorruptStreamException("event is longer than " + MAX_EVENT_BYTES + " bytes");
    }
  }

  /** Returns whether the end marker was received. */
  public boolean complete() {
    return complete;
  }

  /** Returns the number of the next event. */
  public long nextSequence() {
    return expected;
  }

  /** Returns how many events of other attempts or repeated events were dropped. */
  public long droppedEvents() {
    return dropped;
  }

  private void append(ByteBuffer bytes) {
    int length = bytes.remaining();
    if (end + length > buffer.length) {
      int kept = end - start;
      byte[] target =
          kept + length <= buffer.length
              ? buffer
              : new byte[Math.max(buffer.length * 2, kept + length)];
      System.arraycopy(buffer, start, target, 0, kept);
      buffer = target;
      scanned -= start;
      start = 0;
      end = kept;
    }
    bytes.get(buffer, end, length);
    end += length;
  }

  private int findEventEnd() {
    for (int i = Math.max(scanned, start); i + 1 < end; i++) {
      if (buffer[i] == '\n' && buffer[i + 1] == '\n') {
        return i;
      }
    }
    scanned = Math.max(start, end - 1);
    return -1;
  }

  private void consume(int from, int to, Handler handler) throws CorruptStreamException {
    int line = from;
    long sequence = -1;
    boolean foreign = false;
    while (line < to) {
      int next = lineEnd(line, to);
      if (startsWith(line, next, ID_FIELD)) {
        foreign = !startsWith(line + ID_FIELD.length, next, idPrefix);
        sequence = foreign ? -1 : parseSequence(line + ID_FIELD.length + idPrefix.length, next);
      } else if (startsWith(line, next, DATA_FIELD)) {
        data(line + DATA_FIELD.length, next, sequence, foreign, handler);
      }
      line = next + 1;
    }
  }

  private void data(int from, int to, long sequence, boolean foreign, Handler handler)
      throws CorruptStreamException {
    if (to - from == END_DATA.length && startsWith(from, to, END_DATA)) {
      complete = true;
      return;
    }
    if (foreign || (sequence >= 0 && sequence < expected)) {
      dropped++;
      return;
    }
    if (sequence != expected) {
      throw new CorruptStreamException("expected event " + expected + " but got " + sequence);
    }
    if (complete) {
      throw new CorruptStreamException("event " + sequence + " after the end marker");
    }
    expected++;
    handler.data(buffer, from, to - from);
  }

  private int lineEnd(int from, int to) {
    for (int i = from; i < to; i++) {
      if (buffer[i] == '\n') {
        return i;
      }
    }
    return to;
  }

  private boolean startsWith(int from, int to, byte[] prefix) {
    return to - from >= prefix.length
        && Arrays.equals(buffer, from, from + prefix.length, prefix, 0, prefix.length);
  }

  private long parseSequence(int from, int to) throws CorruptStreamException {
    long value = 0;
    for (int i = from; i < to; i++) {
      int digit = buffer[i] - '0';
      if (digit < 0 || digit > 9) {
        throw new CorruptStreamException("event id has no sequence number");
      }
      value = value * 10 + digit;
    }
    return value;
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
