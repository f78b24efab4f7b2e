package org.clementinequay.server.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.claim.ClaimKey;
import org.clementinequay.core.claim.ClaimRequest;
import org.clementinequay.core.claim.ClaimResult;
import org.clementinequay.core.claim.ClaimService;
import org.clementinequay.core.claim.StoredAnswer;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryObjectStore;
import org.clementinequay.core.platform.memory.InMemoryTableService;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.core.time.SystemClock;
import org.testng.annotations.Test;

/** Tests batching, refusals and shutdown of the claim writer. */
public final class ClaimWriterTest {
  private static final Duration LONG_TIMEOUT = Duration.ofMinutes(5);

  /**
   * A writer on the system clock whose store blocks commits until {@link #commitGate} is opened.
   */
  private static final class Fixture implements CallHook {
    final RuntimeClock clock = new SystemClock();
    final CountDownLatch commitGate = new CountDownLatch(1);
    final CountDownLatch commitStarted = new CountDownLatch(1);
    final AtomicInteger commitCount = new AtomicInteger();
    final ClaimService service =
        new ClaimService(
            new InMemoryTableService(this),
            new InMemoryObjectStore(CallHook.NONE),
            clock,
            Incarnation.random(new Random(1)));
    final ClaimWriter writer = new ClaimWriter(service, clock, ClaimWriter.Metrics.NONE);
    volatile boolean storeDown;

    Fixture() {
      writer.start();
    }

    CompletableFuture<ClaimResult> claim(String key, Duration timeout) {
      byte[] body = key.getBytes(StandardCharsets.UTF_8);
      long deadline = clock.nanoTime() + timeout.toNanos();
      return writer.claim(ClaimRequest.of(new ClaimKey("labelworks", key), body, deadline));
    }

    List<CompletableFuture<ClaimResult>> claimMany(int count) {
      List<CompletableFuture<ClaimResult>> results = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        results.add(claim("key " + i, LONG_TIMEOUT));
      }
      return results;
    }

    void completeClaim(ClaimResult.Granted result) {
      writer.complete(result.attempt(), StoredAnswer.of(200, "text/plain", new byte[] {1}));
    }

    @Override
    public void beforeEffect(String operation) throws PlatformException {
      if (storeDown) {
        throw new PlatformUnavailableException("scripted outage");
      }
      if (operation.equals("commit")) {
        commitCount.incrementAndGet();
        commitStarted.countDown();
        try {
          commitGate.await();
        } catch (InterruptedException e) {
          throw new PlatformUnavailableException("interrupted", e);
        }
      }
    }
  }

  /** Guards against one transaction per claim, which would overload the table service. */
  @Test
  public void waitingClaimsAreBatchedIntoTransactions() throws Exception {
    Fixture fixture = new Fixture();
    CompletableFuture<ClaimResult> first = fixture.claim("first", LONG_TIMEOUT);
    fixture.commitStarted.await();
    List<CompletableFuture<ClaimResult>> others = fixture.claimMany(1000);
    fixture.commitGate.countDown();
    assertTrue(first.join() instanceof ClaimResult.Granted);
    for (CompletableFuture<ClaimResult> other : others) {
      assertTrue(other.join() instanceof ClaimResult.Granted);
    }
    assertEquals(fixture.commitCount.get(), 1 + 4);
    fixture.writer.close();
  }

  /** Guards against claims or answers that are lost in a graceful shutdown. */
  @Test
  public void closeDecidesClaimsAndRecordsAnswers() throws Exception {
    Fixture fixture = new Fixture();
    List<CompletableFuture<ClaimResult>> claims = fixture.claimMany(600);
    List<CompletableFuture<Void>> completions =
        claims.stream()
            .map(
                claim ->
                    claim.thenAccept(result -> fixture.completeClaim((ClaimResult.Granted) result)))
            .toList();
    fixture.commitStarted.await();
    Thread closer = new Thread(fixture.writer::close);
    closer.start();
    fixture.commitGate.countDown();
    closer.join();
    completions.forEach(CompletableFuture::join);
    claims.forEach(claim -> assertTrue(claim.join() instanceof ClaimResult.Granted));
    assertEquals(fixture.service.unrecordedCompletions(), 0);
    assertEquals(fixture.service.trackedTokens(), 0);
    assertEquals(
        fixture.claim("late", LONG_TIMEOUT).join(),
        new ClaimResult.Refused(RefusalReason.SHUTTING_DOWN));
  }

  /**
   * Guards against a claim that waits or is dropped, instead of refused, when the queue is full.
   */
  @Test
  public void claimIsRefusedAtOnceWhenQueueIsFull() throws Exception {
    Fixture fixture = new Fixture();
    CompletableFuture<ClaimResult> first = fixture.claim("first", LONG_TIMEOUT);
    fixture.commitStarted.await();
    fixture.claimMany(ClaimWriter.QUEUE_CAPACITY);
    assertEquals(
        fixture.claim("one too many", LONG_TIMEOUT).join(),
        new ClaimResult.Refused(RefusalReason.OVERLOADED));
    fixture.commitGate.countDown();
    assertTrue(first.join() instanceof ClaimResult.Granted);
    fixture.writer.close();
  }

  /**
   * Guards against a claim that waits for a hanging store beyond its deadline, and against a later
   * grant of the refused claim, which would keep its key when the store recovers.
   */
  @Test
  public void claimIsRefusedAtDeadlineWhenStoreHangs() throws Exception {
    Fixture fixture = new Fixture();
    ClaimResult unconfirmed = new ClaimResult.Refused(RefusalReason.CLAIM_UNCONFIRMED);
    assertEquals(fixture.claim("first", Duration.ofMillis(50)).join(), unconfirmed);
    assertEquals(fixture.claim("second", Duration.ofMillis(50)).join(), unconfirmed);
    fixture.commitGate.countDown();
    assertTrue(fixture.claim("first", LONG_TIMEOUT).join() instanceof ClaimResult.Granted);
    fixture.writer.close();
  }

  /** Guards against a refusal although the store recovers before the deadline. */
  @Test
  public void claimIsGrantedAfterShortOutage() throws Exception {
    Fixture fixture = new Fixture();
    fixture.commitGate.countDown();
    fixture.storeDown = true;
    CompletableFuture<ClaimResult> claim = fixture.claim("first", LONG_TIMEOUT);
    fixture.storeDown = false;
    assertTrue(claim.join() instanceof ClaimResult.Granted);
    fixture.writer.close();
  }
}
