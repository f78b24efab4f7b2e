package org.clementinequay.server.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.expectThrows;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against frames that are lost or changed by the way in which their bytes arrive. */
public class FrameReaderTest {
  @DataProvider
  public Object[][] pieceLengths() {
    return new Object[][] {{1}, {3}, {1000}, {100_000}};
  }

  @Test(dataProvider = "pieceLengths")
  public void framesAreReadInPieces(int pieceLength) throws Exception {
    List<PeerMessage> sent =
        List.of(
            new PeerMessage.BillSealed(1),
            new PeerMessage.DocumentReply(2, "hash", "x".repeat(5000)),
            new PeerMessage.BillSealed(3));
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (PeerMessage message : sent) {
      bytes.write(FrameCodec.encode(message));
    }
    FrameReader reader = new FrameReader();
    List<PeerMessage> received = new ArrayList<>();
    for (int start = 0; start < bytes.size(); start += pieceLength) {
      int length = Math.min(pieceLength, bytes.size() - start);
      ByteBuffer piece = ByteBuffer.wrap(bytes.toByteArray(), start, length);
      Optional<byte[]> body = reader.next(piece, FrameCodec.MAX_FRAME_BYTES);
      while (body.isPresent()) {
        received.add(FrameCodec.decode(body.get()).orElseThrow());
        body = reader.next(piece, FrameCodec.MAX_FRAME_BYTES);
      }
    }
    assertEquals(received, sent);
  }

  @Test
  public void lengthOutOfRangeIsRefusedBeforeTheBodyArrives() {
    for (int length : new int[] {-1, 0, FrameCodec.MAX_HELLO_BYTES + 1}) {
      ByteBuffer prefix = ByteBuffer.allocate(FrameCodec.PREFIX_BYTES).putInt(length).flip();
      expectThrows(
          InvalidFrameException.class,
          () -> new FrameReader().next(prefix, FrameCodec.MAX_HELLO_BYTES));
    }
  }
}
