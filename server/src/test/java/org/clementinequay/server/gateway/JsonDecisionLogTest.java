package org.clementinequay.server.gateway;

import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementinequay.core.time.SystemClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that the log bounds what it keeps of requests. */
public class JsonDecisionLogTest {
  private static final int WAIT_SECONDS = 20;

  /** Output whose first write waits, and which records the size of the largest write. */
  private static final class SlowOutput extends OutputStream {
    final CountDownLatch mayWrite = new CountDownLatch(1);
    final CountDownLatch lastWritten = new CountDownLatch(1);
    final ByteArrayOutputStream written = new ByteArrayOutputStream();
    final AtomicInteger largest = new AtomicInteger();

    @Override
    public void write(int value) {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public synchronized void write(byte[] bytes, int offset, int length) {
      try {
        mayWrite.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      largest.accumulateAndGet(length, Math::max);
      written.write(bytes, offset, length);
      if (written.toString(StandardCharsets.UTF_8).contains("\"last\"")) {
        lastWritten.countDown();
      }
    }
  }

  @DataProvider
  public Object[][] longValues() {
    return new Object[][] {
      {"x".repeat(16_000)}, {Collections.nCopies(4000, "abcd")}, {List.of("x".repeat(16_000))},
    };
  }

  // Guards against a heap that is filled with what callers sent, if the log is read slowly.
  @Test(dataProvider = "longValues")
  public void longValuesAreCut(Object value) throws Exception {
    SlowOutput out = new SlowOutput();
    try (JsonDecisionLog log = new JsonDecisionLog(out, new SystemClock(), "h")) {
      log.record("first", "request", value);
      log.record("last");
      out.mayWrite.countDown();
      assertTrue(out.lastWritten.await(WAIT_SECONDS, TimeUnit.SECONDS));
    }
    String text = out.written.toString(StandardCharsets.UTF_8);
    assertTrue(text.length() < 3 * JsonDecisionLog.MAX_TEXT_LENGTH, text);
  }

  @Test
  public void waitingEntriesAreNotWrittenAllAtOnce() throws Exception {
    SlowOutput out = new SlowOutput();
    try (JsonDecisionLog log = new JsonDecisionLog(out, new SystemClock(), "h")) {
      for (int i = 0; i < 1000; i++) {
        log.record("entry", "request", "x".repeat(400));
      }
      log.record("last");
      out.mayWrite.countDown();
      assertTrue(out.lastWritten.await(WAIT_SECONDS, TimeUnit.SECONDS));
    }
    assertTrue(out.largest.get() <= 2 * JsonDecisionLog.MAX_BATCH_BYTES, out.largest + " bytes");
  }
}
