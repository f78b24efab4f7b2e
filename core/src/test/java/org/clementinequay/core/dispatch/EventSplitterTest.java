package org.clementinequay.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against answers with missing, repeated or truncated events. */
public class EventSplitterTest {
  private static String feed(EventSplitter splitter, String text) throws CorruptStreamException {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    return new String(splitter.feed(ByteBuffer.wrap(bytes)), StandardCharsets.UTF_8);
  }

  /** A stream that is read from its first event. */
  public static class Whole {
    private EventSplitter splitter;

    @BeforeMethod
    public void create() {
      splitter = new EventSplitter(0);
    }

    @Test
    public void returnsCompleteEventsAndBuffersTheRest() throws CorruptStreamException {
      assertEquals(feed(splitter, "id: 1\ndata: a\n\nid: 2\nda"), "id: 1\ndata: a\n\n");
      assertTrue(splitter.hasPartialEvent());
      assertEquals(splitter.lastId(), 1);
      assertEquals(feed(splitter, "ta: b\n\n"), "id: 2\ndata: b\n\n");
      assertEquals(splitter.lastId(), 2);
    }

    @Test
    public void acceptsSeparatorSplitBetweenReads() throws CorruptStreamException {
      assertEquals(feed(splitter, "id: 1\ndata: a\n"), "");
      assertEquals(feed(splitter, "\n"), "id: 1\ndata: a\n\n");
    }

    @Test
    public void idMayFollowOtherLines() throws CorruptStreamException {
      String event = "weight-versions: 2\nid: 1\ndata: a\n\n";
      assertEquals(feed(splitter, event), event);
    }

    // Guards against the memory of a long event that is kept until the end of the request.
    @Test
    public void bufferOfALongEventIsNotKept() throws CorruptStreamException {
      String event = "id: 1\ndata: " + "a".repeat(200_000) + "\n\n";
      assertEquals(feed(splitter, event), event);
      assertTrue(splitter.bufferBytes() < 20_000);
      feed(splitter, "id: 2\ndata: " + "b".repeat(200_000));
      assertTrue(splitter.bufferBytes() > 200_000);
      splitter.discardPartialEvent();
      assertTrue(splitter.bufferBytes() < 20_000);
    }

    @Test
    public void missingEventIsCorrupt() {
      assertThrows(CorruptStreamException.class, () -> feed(splitter, "id: 2\ndata: a\n\n"));
    }

    @Test
    public void eventWithoutIdIsCorrupt() {
      assertThrows(CorruptStreamException.class, () -> feed(splitter, "data: a\n\n"));
    }
  }

  /** A stream that another upstream resumes. */
  public static class Resumed {
    @Test
    public void repeatedEventsAreDropped() throws CorruptStreamException {
      EventSplitter splitter = new EventSplitter(0);
      feed(splitter, "id: 1\ndata: a\n\nid: 2\nda");
      splitter.discardPartialEvent();
      assertEquals(feed(splitter, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), "id: 2\ndata: b\n\n");
    }

    @Test
    public void startsAfterTheCallersLastEvent() throws CorruptStreamException {
      EventSplitter splitter = new EventSplitter(12);
      assertEquals(feed(splitter, "id: 13\ndata: a\n\n"), "id: 13\ndata: a\n\n");
    }
  }
}
