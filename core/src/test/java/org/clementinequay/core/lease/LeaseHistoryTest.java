package org.clementinequay.core.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.fail;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.CommitResult;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowKey;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.platform.TableService;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryTableService;
import org.clementinequay.core.time.ManualClock;
import org.clementinequay.core.time.RuntimeClock;
import org.testng.annotations.Test;

/**
 * Checks the histories of concurrent candidates with random faults of the table service, pauses,
 * writes that are applied late and clocks with different rates. Time is virtual: one thread
 * advances the reference clock.
 */
public class LeaseHistoryTest {
  private static final int CANDIDATES = 4;
  private static final int INTERVALS_PER_SEED = 500;
  private static final Duration TICK = Duration.ofMillis(10);
  private static final long REAL_TIME_LIMIT_NANOS = 60_000_000_000L;

  /**
   * An interval of the reference clock during which a process was certain to hold the lease.
   *
   * @param holder process that held the lease
   * @param fencingNumber fencing number of the lease
   * @param readNanos time after the process had read the remaining validity
   * @param untilNanos earliest time at which the validity ends
   */
  private record HeldInterval(
      Incarnation holder, long fencingNumber, long readNanos, long untilNanos) {}

  /** One run of concurrent candidates. */
  private static final class Simulation {
    final ManualClock referenceClock = new ManualClock(Instant.EPOCH);
    final InMemoryTableService table = new InMemoryTableService(CallHook.NONE);
    final ConcurrentLinkedQueue<HeldInterval> heldIntervals = new ConcurrentLinkedQueue<>();
    final AtomicBoolean stopped = new AtomicBoolean();

    void run(long seed) throws Exception {
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < CANDIDATES; i++) {
        int number = i;
        SplittableRandom random = new SplittableRandom(seed * 100 + i);
        threads.add(new Thread(() -> runCandidate(number, random), "candidate-" + i));
      }
      threads.forEach(Thread::start);
      long start = System.nanoTime();
      while (heldIntervals.size() < INTERVALS_PER_SEED
          && System.nanoTime() - start < REAL_TIME_LIMIT_NANOS) {
        referenceClock.advance(TICK);
        Thread.onSpinWait();
      }
      stopped.set(true);
      for (Thread thread : threads) {
        thread.join();
      }
    }

    private void runCandidate(int number, SplittableRandom random) {
      // Rates from 0.97 to 1.03 differ by less than the take-over margin tolerates.
      double rate = 0.97 + 0.02 * number;
      RuntimeClock clock = new RatedClock(referenceClock, rate, random.nextLong());
      LeaseStore store = new LeaseStore(new FaultyTable(this, random));
      while (!stopped.get()) {
        Incarnation self = Incarnation.random(random);
        LeaseCandidate candidate =
            new LeaseCandidate(store, "duty", self, LeaseTiming.PRODUCTION, clock);
        // Simulates a restart: the old process stops without a release.
        for (int step = random.nextInt(1000); step >= 0 && !stopped.get(); step--) {
          try {
            candidate.step(random.nextInt(CANDIDATES) == 0);
          } catch (PlatformException e) {
            pause(Duration.ofMillis(random.nextInt(500)));
          }
          recordInterval(self, candidate.lease(), rate);
          pause(Duration.ofMillis(random.nextInt(200)));
          if (random.nextInt(25) == 0) {
            pause(Duration.ofMillis(random.nextInt(30_000)));
            recordInterval(self, candidate.lease(), rate);
          }
        }
      }
    }

    private void recordInterval(Incarnation self, Optional<Lease> lease, double rate) {
      if (lease.isEmpty()) {
        return;
      }
      long before = referenceClock.nanoTime();
      long validNanos = lease.get().remaining().toNanos();
      long after = referenceClock.nanoTime();
      if (validNanos > 0) {
        long until = before + (long) (validNanos / rate);
        heldIntervals.add(new HeldInterval(self, lease.get().fencingNumber(), after, until));
      }
    }

    /** Blocks until the reference clock has advanced by the duration. */
    void pause(Duration duration) {
      long until = referenceClock.nanoTime() + duration.toNanos();
      while (referenceClock.nanoTime() < until && !stopped.get()) {
        Thread.onSpinWait();
      }
    }
  }

  /** A monotonic clock with its own rate and origin, whose wall-clock time is arbitrary. */
  private record RatedClock(ManualClock referenceClock, double rate, long origin)
      implements RuntimeClock {
    @Override
    public Instant now() {
      return Instant.ofEpochMilli(origin >>> 24);
    }

    @Override
    public long nanoTime() {
      return origin + (long) (referenceClock.nanoTime() * rate);
    }

    @Override
    public void sleep(Duration duration) {
      throw new UnsupportedOperationException();
    }
  }

  /** Fails calls, loses answers, pauses the caller, and applies some writes late. */
  private static final class FaultyTable implements TableService {
    private final Simulation simulation;
    private final SplittableRandom random;
    private List<RowWrite> lateWrites = List.of();

    private FaultyTable(Simulation simulation, SplittableRandom random) {
      this.simulation = simulation;
      this.random = random;
    }

    @Override
    public Optional<Row> read(RowKey key) throws PlatformException {
      injectFault();
      Optional<Row> row = simulation.table.read(key);
      injectFault();
      applyLateWrites();
      return row;
    }

    @Override
    public List<Row> scan(String table, String keyPrefix, String afterKey, int limit) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CommitResult commit(List<RowWrite> writes) throws PlatformException {
      injectFault();
      applyLateWrites();
      if (random.nextInt(20) == 0) {
        lateWrites = writes;
        throw new AnswerLostException("applied later");
      }
      CommitResult result = simulation.table.commit(writes);
      if (random.nextInt(10) == 0) {
        throw new AnswerLostException("applied");
      }
      return result;
    }

    private void applyLateWrites() throws PlatformException {
      if (!lateWrites.isEmpty() && random.nextBoolean()) {
        simulation.table.commit(lateWrites);
        lateWrites = List.of();
        if (random.nextInt(4) == 0) {
          simulation.pause(Duration.ofMillis(random.nextInt(15_000)));
        }
      }
    }

    private void injectFault() throws PlatformException {
      if (random.nextInt(30) == 0) {
        simulation.pause(Duration.ofMillis(random.nextInt(15_000)));
      }
      if (random.nextInt(30) == 0) {
        throw new PlatformUnavailableException("down");
      }
    }
  }

  /** Guards against two valid holders at a time and against fencing numbers that do not rise. */
  @Test
  public void holdersExcludeEachOther() throws Exception {
    for (long seed = 1; seed <= 3; seed++) {
      Simulation simulation = new Simulation();
      simulation.run(seed);
      List<HeldInterval> intervals = new ArrayList<>(simulation.heldIntervals);
      assertTrue(
          intervals.size() >= INTERVALS_PER_SEED,
          "intervals of seed " + seed + ": " + intervals.size());
      check(intervals, seed);
    }
  }

  private static void check(List<HeldInterval> intervals, long seed) {
    for (HeldInterval earlier : intervals) {
      for (HeldInterval later : intervals) {
        if (earlier.fencingNumber() == later.fencingNumber()) {
          assertEquals(
              earlier.holder(), later.holder(), "holders of one fencing number, seed " + seed);
        } else if (earlier.fencingNumber() < later.fencingNumber()
            && later.readNanos() < earlier.untilNanos()) {
          fail("two holders at the same time, seed " + seed + ": " + earlier + " and " + later);
        }
      }
    }
  }
}
