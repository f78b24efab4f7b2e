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

/** Checks of an engine's event stream. */
public final class EventStreamReaderTest {
  private static final AttemptId OWN = AttemptId.parse("0123456789abcdef0123456789abcdef-7.1");
  private static final AttemptId OTHER = AttemptId.parse("0123456789abcdef0123456789abcdef-7.10");

  private static String event(AttemptId id, int sequence) {
    return "id: " + id + "/" + sequence + "\ndata: token" + sequence + "\n\n";
  }

  private static List<String> read(EventStreamReader reader, String text, int partBytes)
      throws CorruptStreamException {
    List<String> seen = new ArrayList<>();
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    for (int from = 0; from < bytes.length; from += partBytes) {
      int length = Math.min(partBytes, bytes.length - from);
      reader.feed(
          ByteBuffer.wrap(bytes, from, length),
          (buffer, offset, size) ->
              seen.add(new String(buffer, offset, size, StandardCharsets.UTF_8)));
    }
    return seen;
  }

  /** Streams that are in order. */
  public static final class Whole {
    /** Guards against an event that is lost or split at the border of two reads. */
    @Test
    public void survivesEverySplit() throws CorruptStreamException {
      String text = event(OWN, 0) + event(OWN, 1) + event(OWN, 2) + "data: [DONE]\n\n";
      for (int part = 1; part <= text.length(); part++) {
        EventStreamReader reader = new EventStreamReader(OWN, 0);
        assertEquals(read(reader, text, part), List.of("token0", "token1", "token2"));
        assertTrue(reader.complete());
      }
    }

    /** Guards against a buffer that breaks when events of many sizes pass through it. */
    @Test
    public void carriesEventsOfManySizes() throws CorruptStreamException {
      SplittableRandom random = new SplittableRandom(11);
      EventStreamReader reader = new EventStreamReader(OWN, 0);
      for (int i = 0; i < 500; i++) {
        String data = "x".repeat(random.nextInt(9000));
        String text = "id: " + OWN + "/" + i + "\ndata: " + data + "\n\n";
        assertEquals(read(reader, text, 1 + random.nextInt(3000)), List.of(data));
      }
    }

    /** Guards against a cut stream that is taken for a whole one. */
    @Test
    public void isIncompleteWithoutEndMarker() throws CorruptStreamException {
      EventStreamReader reader = new EventStreamReader(OWN, 0);
      read(reader, event(OWN, 0), 1000);
      assertFalse(reader.complete());
    }
  }

  /** Streams that are mixed or damaged. */
  public static final class Damaged {
    /** Guards against an answer that holds parts of another request, also one with a longer id. */
    @Test
    public void dropsEventsOfOtherAttempts() throws CorruptStreamException {
      EventStreamReader reader = new EventStreamReader(OWN, 0);
      String text = event(OWN, 0) + event(OTHER, 1) + event(OWN, 1);
      assertEquals(read(reader, text, 1000), List.of("token0", "token1"));
      assertEquals(reader.droppedEvents(), 1);
    }

    /** Guards against a token that the caller sees twice after a resumption. */
    @Test
    public void dropsRepeatedEvents() throws CorruptStreamException {
      EventStreamReader reader = new EventStreamReader(OWN, 5);
      String text = event(OWN, 3) + event(OWN, 4) + event(OWN, 5);
      assertEquals(read(reader, text, 1000), List.of("token5"));
      assertEquals(reader.droppedEvents(), 2);
    }

    /** Guards against a gap that is passed off as a whole answer. */
    @Test
    public void refusesAGap() {
      EventStreamReader reader = new EventStreamReader(OWN, 0);
      assertThrows(
          CorruptStreamException.class, () -> read(reader, event(OWN, 0) + event(OWN, 2), 1000));
    }

    /** Guards against data that nothing ties to the attempt. */
    @Test
    public void refusesDataWithoutId() {
      EventStreamReader reader = new EventStreamReader(OWN, 0);
      assertThrows(CorruptStreamException.class, () -> read(reader, "data: x\n\n", 1000));
    }

    /** Guards against memory without bound for an event that never ends. */
    @Test
    public void refusesAnEndlessEvent() {
      EventStreamReader reader = new EventStreamReader(OWN, 0);
      String endless = "data: " + "x".repeat(EventStreamReader.MAX_EVENT_BYTES);
      assertThrows(CorruptStreamException.class, () -> read(reader, endless, 65_536));
    }
  }
}
