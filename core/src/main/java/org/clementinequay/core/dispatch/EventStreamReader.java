package org.clementinequay.core.dispatch;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.clementinequay.core.AttemptId;

/**
 * Splits the event stream of an engine into server-sent events and checks that each event belongs
 * to the attempt and arrives in order. Works on bytes and does not parse the data, because this
 * code runs once for every token.
 *
 * <p>Events of another attempt and repeated events are dropped and counted. A gap in the sequence
 * numbers or an event without id makes the stream corrupt. Not thread-safe.
 */
public final class EventStreamReader {
  /** Greatest length of an event in bytes; a longer one is treated as corrupt. */
  public static final int MAX_EVENT_BYTES = 1 << 20;

  private static final int INITIAL_BYTES = 4096;
  private static final byte[] ID_FIELD = ascii("id: ");
  private static final byte[] DATA_FIELD = ascii("data: ");
  private static final byte[] END_DATA = ascii("[DONE]");

  private final byte[] idPrefix;
  private byte[] buffer = new byte[INITIAL_BYTES];
  private int start;
  private int end;
  private int scannedUpTo;
  private long expectedSequence;
  private long droppedEvents;
  private boolean complete;

  /** Receives the events that passed the checks. */
  public interface Handler {
    /**
     * Called for each event in order. The buffer is reused and only valid during the call.
     *
     * @param bytes buffer that holds the event's data line
     * @param offset start of the data, after the field name
     * @param length length of the data without the line end
     */
    void data(byte[] bytes, int offset, int length);
  }

  /**
   * Creates a reader for the stream of an attempt.
   *
   * @param firstSequence sequence number of the first event to pass on; events before it count as
   *     repeated
   */
  public EventStreamReader(AttemptId attempt, long firstSequence) {
    this.idPrefix = ascii(attempt + "/");
    this.expectedSequence = firstSequence;
  }

  /**
   * Adds received bytes and passes the events that they complete to the handler.
   *
   * @throws CorruptStreamException if an event is missing, has no valid id, is too long, or follows
   *     the end marker
   */
  public void feed(ByteBuffer bytes, Handler handler) throws CorruptStreamException {
    append(bytes);
    int eventEnd;
    while ((eventEnd = findEventEnd()) >= 0) {
      processEvent(start, eventEnd, handler);
      start = eventEnd + 2;
      scannedUpTo = start;
    }
    if (end - start > MAX_EVENT_BYTES) {
      throw new CorruptStreamException("event is longer than " + MAX_EVENT_BYTES + " bytes");
    }
  }

  /** Returns whether the end marker {@code [DONE]} was received. */
  public boolean complete() {
    return complete;
  }

  /** Returns the sequence number that the next event must have. */
  public long nextSequence() {
    return expectedSequence;
  }

  /** Returns the number of events dropped because they were repeated or of another attempt. */
  public long droppedEvents() {
    return droppedEvents;
  }

  private void append(ByteBuffer bytes) {
    int length = bytes.remaining();
    if (end + length > buffer.length) {
      int unreadBytes = end - start;
      byte[] target =
          unreadBytes + length <= buffer.length
              ? buffer
              : new byte[Math.max(buffer.length * 2, unreadBytes + length)];
      System.arraycopy(buffer, start, target, 0, unreadBytes);
      buffer = target;
      scannedUpTo -= start;
      start = 0;
      end = unreadBytes;
    }
    bytes.get(buffer, end, length);
    end += length;
  }

  private int findEventEnd() {
    for (int i = Math.max(scannedUpTo, start); i + 1 < end; i++) {
      if (buffer[i] == '\n' && buffer[i + 1] == '\n') {
        return i;
      }
    }
    scannedUpTo = Math.max(start, end - 1);
    return -1;
  }

  private void processEvent(int from, int to, Handler handler) throws CorruptStreamException {
    int lineStart = from;
    long sequence = -1;
    boolean otherAttempt = false;
    while (lineStart < to) {
      int lineEnd = findLineEnd(lineStart, to);
      if (startsWith(lineStart, lineEnd, ID_FIELD)) {
        otherAttempt = !startsWith(lineStart + ID_FIELD.length, lineEnd, idPrefix);
        sequence =
            otherAttempt
                ? -1
                : parseSequence(lineStart + ID_FIELD.length + idPrefix.length, lineEnd);
      } else if (startsWith(lineStart, lineEnd, DATA_FIELD)) {
        processData(lineStart + DATA_FIELD.length, lineEnd, sequence, otherAttempt, handler);
      }
      lineStart = lineEnd + 1;
    }
  }

  private void processData(int from, int to, long sequence, boolean otherAttempt, Handler handler)
      throws CorruptStreamException {
    if (to - from == END_DATA.length && startsWith(from, to, END_DATA)) {
      complete = true;
      return;
    }
    if (otherAttempt || (sequence >= 0 && sequence < expectedSequence)) {
      droppedEvents++;
      return;
    }
    if (sequence != expectedSequence) {
      throw new CorruptStreamException(
          "expected event " + expectedSequence + " but got " + sequence);
    }
    if (complete) {
      throw new CorruptStreamException("event " + sequence + " after the end marker");
    }
    expectedSequence++;
    handler.data(buffer, from, to - from);
  }

  private int findLineEnd(int from, int to) {
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
