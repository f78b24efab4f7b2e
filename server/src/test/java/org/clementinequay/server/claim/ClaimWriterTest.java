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

/** Tests of the batching, refusals and shutdown of the claim writer. */
public final class ClaimWriterTest {
  private static final Duration LONG = Duration.ofMinutes(5);

  /** A store whose commits wait for a gate, on the clock of the machine. */
  private static final class Fixture implements CallHook {
    final RuntimeClock clock = new SystemClock();
    final CountDownLatch gate = new CountDownLatch(1);
    final CountDownLatch committing = new CountDownLatch(1);
    final AtomicInteger commits = new AtomicInteger();
    final ClaimService service =
        new ClaimService(
            new InMemoryTableService(this),
            new InMemoryObjectStore(CallHook.NONE),
            clock,
            Incarnation.random(new Random(1)));
    final ClaimWriter writer = new ClaimWriter(service, clock, ClaimWriter.Metrics.NONE);
    volatile boolean down;

    Fixture() {
      writer.start();
    }

    CompletableFuture<ClaimResult> claim(String key, Duration patience) {
      byte[] body = key.getBytes(StandardCharsets.UTF_8);
      long deadline = clock.nanoTime() + patience.toNanos();
      return writer.claim(ClaimRequest.of(new ClaimKey("labelworks", key), body, deadline));
    }

    List<CompletableFuture<ClaimResult>> claimMany(int count) {
      List<CompletableFuture<ClaimResult>> results = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        results.add(claim("key " + i, LONG));
      }
      return results;
    }

    void end(ClaimResult.Granted result) {
      writer.complete(result.attempt(), StoredAnswer.of(200, "text/plain", new byte[] {1}));
    }

    @Override
    public void beforeEffect(String operation) throws PlatformException {
      if (down) {
        throw new PlatformUnavailableException("scripted outage");
      }
      if (operation.equals("commit")) {
        commits.incrementAndGet();
        committing.countDown();
        try {
          gate.await();
        } catch (InterruptedException e) {
          throw new PlatformUnavailableException("interrupted", e);
        }
      }
    }
  }

  /**
   * Guards against one transaction per claim, which would exceed what the table service carries.
   */
  @Test
  public void waitingClaimsShareTransactions() throws Exception {
    Fixture fixture = new Fixture();
    CompletableFuture<ClaimResult> first = fixture.claim("first", LONG);
    fixture.committing.await();
    List<CompletableFuture<ClaimResult>> others = fixture.claimMany(1000);
    fixture.gate.countDown();
    assertTrue(first.join() instanceof ClaimResult.Granted);
    for (CompletableFuture<ClaimResult> other : others) {
      assertTrue(other.join() instanceof ClaimResult.Granted);
    }
    assertEquals(fixture.commits.get(), 1 + 4);
    fixture.writer.close();
  }

  /** Guards against claims or answers that are lost when the process stops. */
  @Test
  public void closeDecidesAndRecordsEverything() throws Exception {
    Fixture fixture = new Fixture();
    List<CompletableFuture<ClaimResult>> claims = fixture.claimMany(600);
    List<CompletableFuture<Void>> ends =
        claims.stream()
            .map(claim -> claim.thenAccept(result -> fixture.end((ClaimResult.Granted) result)))
            .toList();
    fixture.committing.await();
    Thread closer = new Thread(fixture.writer::close);
    closer.start();
    fixture.gate.countDown();
    closer.join();
    ends.forEach(CompletableFuture::join);
    claims.forEach(claim -> assertTrue(claim.join() instanceof ClaimResult.Granted));
    assertEquals(fixture.service.unrecordedCompletions(), 0);
    assertEquals(fixture.service.trackedTokens(), 0);
    assertEquals(
        fixture.claim("late", LONG).join(), new ClaimResult.Refused(RefusalReason.SHUTTING_DOWN));
  }

  /** Guards against callers that wait, or a claim that is dropped, when the ring is full. */
  @Test
  public void fullRingIsRefusedAtOnce() throws Exception {
    Fixture fixture = new Fixture();
    CompletableFuture<ClaimResult> first = fixture.claim("first", LONG);
    fixture.committing.await();
    fixture.claimMany(ClaimWriter.RING_CAPACITY);
    assertEquals(
        fixture.claim("one too many", LONG).join(),
        new ClaimResult.Refused(RefusalReason.OVERLOADED));
    fixture.gate.countDown();
    assertTrue(first.join() instanceof ClaimResult.Granted);
    fixture.writer.close();
  }

  /** Guards against a caller that waits as long as the store hangs, and a later grant to it. */
  @Test
  public void hangingStoreIsRefusedAtTheDeadline() throws Exception {
    Fixture fixture = new Fixture();
    ClaimResult unconfirmed = new ClaimResult.Refused(RefusalReason.CLAIM_UNCONFIRMED);
    assertEquals(fixture.claim("first", Duration.ofMillis(50)).join(), unconfirmed);
    assertEquals(fixture.claim("second", Duration.ofMillis(50)).join(), unconfirmed);
    fixture.gate.countDown();
    assertTrue(fixture.claim("first", LONG).join() instanceof ClaimResult.Granted);
    fixture.writer.close();
  }

  /** Guards against a refusal where the store returns before the deadline. */
  @Test
  public void shortOutageIsWaitedOut() throws Exception {
    Fixture fixture = new Fixture();
    fixture.gate.countDown();
    fixture.down = true;
    CompletableFuture<ClaimResult> claim = fixture.claim("first", LONG);
    fixture.down = false;
    assertTrue(claim.join() instanceof ClaimResult.Granted);
    fixture.writer.close();
  }
}
