package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertSame;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.testng.annotations.Test;

/** Tests that readers of the metrics share one text while any of them reads. */
public class MetricsTextTest {
  private int writes;

  private MetricsText text(int bytes) {
    return new MetricsText(
        out -> {
          writes++;
          out.write("m".repeat(bytes).getBytes(StandardCharsets.US_ASCII));
        });
  }

  @Test
  public void isWhole() {
    List<byte[]> segments = text(200_000).open().orElseThrow();
    ByteArrayOutputStream joined = new ByteArrayOutputStream();
    segments.forEach(joined::writeBytes);
    assertEquals(joined.toString(StandardCharsets.US_ASCII), "m".repeat(200_000));
  }

  // Guards against a text of megabytes that the host holds for each slow reader.
  @Test
  public void isSharedUntilItsLastReaderEnds() {
    writes = 0;
    MetricsText text = text(10);
    List<byte[]> first = text.open().orElseThrow();
    assertSame(text.open().orElseThrow(), first);
    text.close();
    assertSame(text.open().orElseThrow(), first);
    text.close();
    text.close();
    text.open();
    assertEquals(writes, 2);
  }

  @Test
  public void hasABoundedNumberOfReaders() {
    MetricsText text = text(10);
    for (int i = 0; i < MetricsText.MAX_READERS; i++) {
      assertTrue(text.open().isPresent());
    }
    assertTrue(text.open().isEmpty());
    text.close();
    assertTrue(text.open().isPresent());
  }
}
