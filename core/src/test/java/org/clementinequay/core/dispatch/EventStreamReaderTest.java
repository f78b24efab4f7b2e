package org.clementinequay.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.clementinequay.core.AttemptId;
import org.testng.annotations.Test;

/** Tests of the checks that {@link EventStreamReader} makes on an engine's event stream. */
public final class EventStreamReaderTest {
  private static final AttemptId OWN = AttemptId.parse("0123456789abcdef0123456789abcdef-7.1");
  private static final AttemptId OTHER = AttemptId.parse("0123456789abcdef0123456789abcdef-7.10");

  private static String event(AttemptId id, int sequence) {
    return "id: " + id + "/" + sequence + "\ndata: token" + sequence + "\n\n";
  }

  private static List<String> read(EventStreamReader reader, String text, int chunkBytes)
      throws CorruptStreamException {
    List<String> received = new ArrayList<>();
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    for (int from = 0; from < bytes.length; from += chunkBytes) {
      int length = Math.min(chunkBytes, bytes.length - from);
      reader.feed(
          ByteBuffer.wrap(bytes, from, length),
          (buffer, offset, size) ->
              received.add(new String(buffer, offset, size, StandardCharsets.UTF_8)));
    }
    return received;
  }

  /** Streams without faults. */
  public static final class Whole {
    /** Guards against an event that is lost or split at the boundary between two reads. */
    @Test
    public void readsEventsSplitAnywhere() throws CorruptStreamException {
      String text = event(OWN, 0) + event(OWN, 1) + event(OWN, 2) + "data: [DONE]\n\n";
      for (int chunkBytes = 1; chunkBytes <= text.length(); chunkBytes++) {
        EventStreamReader reader = new EventStreamReader(OWN, 0);
        assertEquals(read(reader, text, chunkBytes), List.of("token0", "token1", "token2"));
        assertTrue(reader.complete());
      }
    }

    /** Guards against buffer growth and compaction that corrupt events of different sizes. */
    @Test
    public void readsEventsOfManySizes() throws CorruptStreamException {
      SplittableRandom random = new SplittableRandom(11);
      EventStreamReader reader = new EventStreamReader(OWN, 0);
      for (int i = 0; i < 500; i++) {
        String data = "x".repeat(random.nextInt(9000));
        String text = "id: " + OWN + "/" + i + "\ndata: " + data + "\n\n";
        assertEquals(read(reader, text, 1 + random.nextInt(3000)), List.of(data));
      }
    }

    /** Guards against treating a truncated stream as complete. */
    @Test
    public void isIncompleteWithoutEndMarker() throws CorruptStreamException {
      EventStreamReader reader = new EventStreamReader(OWN, 0);
      read(reader, event(OWN, 0), 1000);
      assertFalse(reader.complete());
    }
  }

  /** Streams with events of other attempts, or with missing or invalid events. */
  public static final class Damaged {
    /**
     * Guards against an answer that contains events of another attempt, also if the id of this
     * attempt is a prefix of the other id.
     */
    @Test
    public void dropsEventsOfOtherAttempts() throws CorruptStreamException {
      EventStreamReader reader = new EventStreamReader(OWN, 0);
      String text = event(OWN, 0) + event(OTHER, 1) + event(OWN, 1);
      assertEquals(read(reader, text, 1000), List.of("token0", "token1"));
      assertEquals(reader.droppedEvents(), 1);
    }

    /** Guards against sending the caller a token twice after the stream was resumed. */
    @Test
    public void dropsRepeatedEvents() throws CorruptStreamException {
      EventStreamReader reader = new EventStreamReader(OWN, 5);
      String text = event(OWN, 3) + event(OWN, 4) + event(OWN, 5);
      assertEquals(read(reader, text, 1000), List.of("token5"));
      assertEquals(reader.droppedEvents(), 2);
    }

    /** Guards against passing on an answer with a missing event as complete. */
    @Test
    public void refusesAGap() {
      EventStreamReader reader = new EventStreamReader(OWN, 0);
      assertThrows(
          CorruptStreamException.class, () -> read(reader, event(OWN, 0) + event(OWN, 2), 1000));
    }

    /** Guards against data that cannot be attributed to the attempt because it has no id. */
    @Test
    public void refusesDataWithoutId() {
      EventStreamReader reader = new EventStreamReader(OWN, 0);
      assertThrows(CorruptStreamException.class, () -> read(reader, "data: x\n\n", 1000));
    }

    /** Guards against unbounded memory use for an event that never ends. */
    @Test
    public void refusesAnEndlessEvent() {
      EventStreamReader reader = new EventStreamReader(OWN, 0);
      String endless = "data: " + "x".repeat(EventStreamReader.MAX_EVENT_BYTES);
      assertThrows(CorruptStreamException.class, () -> read(reader, endless, 65_536));
    }
  }
}
