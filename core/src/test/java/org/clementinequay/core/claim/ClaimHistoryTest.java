package org.clementinequay.core.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReferenceArray;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryObjectStore;
import org.clementinequay.core.platform.memory.InMemoryTableService;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.core.time.SystemClock;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks the histories of concurrent hosts that share a table with random faults. */
public final class ClaimHistoryTest {
  private static final int HOSTS = 3;
  private static final int THREADS = 6;
  private static final int CLAIMS_PER_THREAD = 1500;
  private static final int KEYS = 700;
  private static final int KEY_WINDOW = 4;
  private static final byte[] BODY = "body".getBytes(StandardCharsets.UTF_8);

  /** Hosts that share a table; a restart creates a new service with a new incarnation. */
  private static final class Deployment {
    final ClaimHistory history = new ClaimHistory();
    final RuntimeClock clock = new SystemClock();
    final AtomicReferenceArray<ClaimService> hosts = new AtomicReferenceArray<>(HOSTS);
    private final FaultyTable table;
    private final InMemoryObjectStore objects = new InMemoryObjectStore(CallHook.NONE);

    Deployment(long seed) {
      table = new FaultyTable(new InMemoryTableService(CallHook.NONE), seed);
      Random random = new Random(seed);
      for (int i = 0; i < HOSTS; i++) {
        startHost(i, random);
      }
    }

    void startHost(int host, Random random) {
      hosts.set(host, new ClaimService(table, objects, clock, Incarnation.random(random)));
    }

    void claimKeys(long seed) {
      Random random = new Random(seed);
      for (int i = 0; i < CLAIMS_PER_THREAD; i++) {
        int host = random.nextInt(HOSTS);
        claim(hosts.get(host), key(i, random), random);
        maintain(hosts.get(random.nextInt(HOSTS)));
        if (random.nextInt(300) == 0) {
          startHost(host, random);
        }
      }
    }

    /**
     * All threads advance through the keys at about the same pace, so that they compete for them.
     */
    private static String key(int step, Random random) {
      return "k" + (step * KEYS / CLAIMS_PER_THREAD + random.nextInt(KEY_WINDOW));
    }

    private void claim(ClaimService host, String name, Random random) {
      ClaimKey key = new ClaimKey("labelworks", name);
      long deadline = clock.nanoTime() + Duration.ofNanos(random.nextInt(300_000)).toNanos();
      ClaimAttempt attempt = host.open(ClaimRequest.of(key, BODY, deadline));
      List<ClaimAttempt> undecided = List.of(attempt);
      while (!undecided.isEmpty()) {
        undecided = host.round(undecided).undecided();
      }
      ClaimResult result = attempt.result().join();
      if (result instanceof ClaimResult.Granted) {
        useGrant(host, attempt, key, random);
      } else if (result instanceof ClaimResult.Refused) {
        history.answeredNotRun(key, attempt.token());
      } else if (result instanceof ClaimResult.Completed completed) {
        history.answeredFromStore(key, completed.answer());
      }
    }

    private void useGrant(ClaimService host, ClaimAttempt attempt, ClaimKey key, Random random) {
      if (random.nextInt(4) == 0) {
        host.release(attempt);
        history.answeredNotRun(key, attempt.token());
        return;
      }
      history.executed(key, attempt.token());
      if (random.nextInt(4) == 0) {
        host.leaveUnknown(attempt);
      } else {
        StoredAnswer answer = ClaimFixture.answer(attempt.token().toString());
        history.completed(key, answer);
        host.complete(attempt, answer);
      }
    }

    private static void maintain(ClaimService host) {
      try {
        host.recordCompletions();
        host.removeAbandonedRows();
      } catch (PlatformException e) {
        assertTrue(host.trackedTokens() > 0, "a failed call must not drop tokens");
      }
    }
  }

  /** Returns the seeds of the fault injection. */
  @DataProvider
  public Object[][] seeds() {
    return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}, {6L}, {7L}, {8L}};
  }

  /** Guards against a second execution and a false not-run answer under faults and restarts. */
  @Test(dataProvider = "seeds")
  public void historyHasNoViolation(long seed) throws Exception {
    Deployment deployment = new Deployment(seed);
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < THREADS; i++) {
      long threadSeed = seed * 1000 + i;
      threads.add(new Thread(() -> deployment.claimKeys(threadSeed)));
    }
    threads.forEach(Thread::start);
    for (Thread thread : threads) {
      thread.join();
    }
    assertEquals(deployment.history.violations(), List.of());
    assertTrue(deployment.history.executions() > KEYS / 2, "most keys ran once");
  }

  /** Guards against a history check that accepts every history. */
  @Test
  public void checkerFindsViolations() {
    ClaimHistory history = new ClaimHistory();
    ClaimKey key = new ClaimKey("labelworks", "k");
    ClaimToken first = new ClaimToken(Incarnation.random(new Random(1)), 1);
    ClaimToken second = new ClaimToken(first.claimer(), 2);
    history.executed(key, first);
    history.executed(key, second);
    history.answeredNotRun(key, first);
    assertEquals(history.violations().size(), 2);
  }
}
