package org.clementinequay.server.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import java.util.Map;
import org.clementinequay.core.forward.UpstreamListing;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against messages that a host of another release or this one cannot read. */
public class FrameCodecTest {
  private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

  @DataProvider
  public Object[][] messages() {
    return new Object[][] {
      {
        new PeerMessage.CrashNews(
            List.of(new PeerMessage.UpstreamCrash("s", "u@1", 120.5, 3.25, List.of("first"))),
            List.of(new PeerMessage.PromptPartName("s", "first")),
            List.of(new PeerMessage.QuarantinedPart("s", "bad", 60_000)))
      },
      {
        new PeerMessage.AccountDemand(
            true, 12.5, true, List.of(new PeerMessage.AccountWork("a", 3, 1)))
      },
      {new PeerMessage.OperatorReading(7, 12_345, List.of("a"))},
      {
        new PeerMessage.UpstreamReading(
            new UpstreamListing.Update(9, 1, 2, List.of(), List.of("u")), 12_345)
      },
      {new PeerMessage.ShiftNews("s", 7, 100, "", true, List.of(), List.of(1L << 40))},
    };
  }

  @Test(dataProvider = "messages")
  public void messageIsReadAsItWasWritten(PeerMessage message) throws Exception {
    byte[] frame = FrameCodec.encode(message);
    byte[] body = new byte[frame.length - FrameCodec.PREFIX_BYTES];
    System.arraycopy(frame, FrameCodec.PREFIX_BYTES, body, 0, body.length);
    assertEquals(FrameCodec.decode(body).orElseThrow(), message);
  }

  // Guards against a host that takes an earlier release's message for one of the last stage, or
  // for one with a time.
  @Test
  public void messagesOfTheEarlierReleaseLackTheNewFields() throws Exception {
    byte[] shift =
        MAPPER.writeValueAsBytes(
            Map.of("t", "shift", "s", "s", "o", 7, "a", 100, "x", "", "c", List.of()));
    byte[] reading = MAPPER.writeValueAsBytes(Map.of("t", "operator", "n", 7));
    assertFalse(((PeerMessage.ShiftNews) FrameCodec.decode(shift).orElseThrow()).lastStage());
    assertEquals(
        ((PeerMessage.OperatorReading) FrameCodec.decode(reading).orElseThrow()).storeMillis(), 0);
  }
}
