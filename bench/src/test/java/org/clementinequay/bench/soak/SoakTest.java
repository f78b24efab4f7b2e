package org.clementinequay.bench.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.LongStream;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.Outcome;
import org.clementinequay.core.RequestId;
import org.clementinequay.core.billing.BillLedger;
import org.clementinequay.core.billing.BillRecord;
import org.clementinequay.core.time.ManualClock;
import org.clementinequay.server.billing.BillReplicator;
import org.clementinequay.server.billing.BillingMetrics;
import org.clementinequay.server.billing.CopyHolderSelector;
import org.clementinequay.server.billing.CopyResult;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Short runs of the soak scenarios with fixed seeds, and tests of the scheduler and the mutants.
 */
public class SoakTest {
  private static final int SEEDS = 4;

  /** Tests of the scheduler. */
  public static class Scheduling {
    /** Guards against a paused process that keeps running or whose clock stops. */
    @Test
    public void pausedProcessResumesLateOnItsClock() {
      try (VirtualScheduler scheduler = new VirtualScheduler(1)) {
        List<Long> seen = new ArrayList<>();
        VirtualScheduler.Process process = scheduler.process("p");
        process.start(
            "duty",
            () -> {
              process.clock().sleep(Duration.ofSeconds(1));
              seen.add(process.clock().nanoTime());
            });
        scheduler
            .process("faults")
            .start(
                "pause",
                () -> {
                  process.pause(true);
                  scheduler.sleep(Duration.ofSeconds(10));
                  assertEquals(seen, List.of());
                  process.pause(false);
                });
        scheduler.runUntil(Duration.ofSeconds(20));
        assertEquals(seen.size(), 1);
        assertTrue(seen.get(0) >= Duration.ofSeconds(10).toNanos());
        assertEquals(scheduler.failures(), List.of());
      }
    }

    /** Guards against a killed process that keeps running, also while its threads are unwound. */
    @Test
    public void killedProcessNeverRunsAgain() {
      List<String> seen = new ArrayList<>();
      try (VirtualScheduler scheduler = new VirtualScheduler(1)) {
        VirtualScheduler.Process process = scheduler.process("p");
        process.start(
            "duty",
            () -> {
              scheduler.sleep(Duration.ofSeconds(1));
              seen.add("ran");
            });
        scheduler.process("faults").start("kill", process::kill);
        scheduler.runUntil(Duration.ofSeconds(20));
      }
      assertEquals(seen, List.of());
    }

    /** Guards against a run that passes although one of its threads failed. */
    @Test
    public void failureOfTaskIsReported() {
      try (VirtualScheduler scheduler = new VirtualScheduler(1)) {
        scheduler
            .process("p")
            .start(
                "duty",
                () -> {
                  throw new IllegalStateException("defect");
                });
        scheduler.runUntil(Duration.ofSeconds(1));
        assertEquals(scheduler.failures().size(), 1);
      }
    }
  }

  /** Runs of the scenarios. */
  public static class Scenarios {
    /** Returns all scenarios. */
    @DataProvider
    public Object[] scenarios() {
      return Scenario.values();
    }

    /** Returns all scenarios with fixed seeds. */
    @DataProvider
    public Iterator<Object[]> runs() {
      return Arrays.stream(Scenario.values())
          .flatMap(each -> LongStream.rangeClosed(1, SEEDS).mapToObj(seed -> run(each, seed)))
          .iterator();
    }

    private static Object[] run(Scenario scenario, long seed) {
      return new Object[] {scenario, seed};
    }

    /** Guards against violations of the invariants by the coordination code. */
    @Test(dataProvider = "runs")
    public void fixedSeedPasses(Scenario scenario, long seed) {
      assertEquals(scenario.run(seed, Optional.empty()).violations(), List.of());
    }

    /** Guards against randomness that does not come from the seed, which would prevent a replay. */
    @Test(dataProvider = "scenarios")
    public void sameSeedGivesSameHistory(Scenario scenario) {
      SoakRun.Result first = scenario.run(7, Optional.empty());
      assertEquals(scenario.run(7, Optional.empty()), first);
      assertNotEquals(scenario.run(8, Optional.empty()).events(), first.events());
    }
  }

  /** Minimal reproductions of defects that soak runs found. */
  public static class Reproductions {
    /**
     * Guards against a record that keeps a single copy for as long as the store is down: it was
     * copied again only when a link came up, not when a peer on an open link answered again.
     */
    @Test
    public void singleCopyIsRenewedOnceThePeerAnswersAgain() throws Exception {
      ManualClock clock = new ManualClock(VirtualScheduler.START);
      Incarnation self = new Incarnation("0".repeat(32));
      LatePeer peer = new LatePeer();
      BillReplicator replicator =
          new BillReplicator(
              new BillLedger(self),
              peer,
              new CopyHolderSelector(self, "domain", "region"),
              clock,
              BillingMetrics.NONE);
      BillRecord record =
          new BillRecord(
              new RequestId(self, 1), "a", "c", "m", Outcome.RAN, clock.now(), List.of());
      CompletableFuture<CopyResult> result = replicator.replicate(record);
      DutySteps.call(replicator, "step");
      clock.advance(BillReplicator.COPY_TIMEOUT);
      DutySteps.call(replicator, "step");
      assertEquals(result.join(), CopyResult.SINGLE_COPY);
      for (int i = 0; i < 20; i++) {
        clock.advance(BillReplicator.PEER_BACKOFF);
        DutySteps.call(replicator, "step");
      }
      assertTrue(peer.copies > 1, "copies sent: " + peer.copies);
    }

    /** Network with one peer that stays linked and never acknowledges a copy. */
    private static final class LatePeer implements PeerNetwork {
      int copies;

      @Override
      public List<Peer> peers() {
        Incarnation incarnation = new Incarnation("1".repeat(32));
        return List.of(new Peer(incarnation, "peer", "other", "region", 1, 1, 0, false));
      }

      @Override
      public boolean send(Incarnation to, PeerMessage message) {
        copies += message instanceof PeerMessage.BillCopy ? 1 : 0;
        return true;
      }

      @Override
      public void broadcast(PeerMessage message) {}

      @Override
      public void addListener(Listener listener) {}
    }
  }

  /** Runs with a disabled mechanism. */
  public static class Mutants {
    /** Returns all mutants. */
    @DataProvider
    public Object[] mutants() {
      return Mutant.values();
    }

    /** Guards against checks that pass even if the mechanism they cover is disabled. */
    @Test(dataProvider = "mutants")
    public void mutantIsCaught(Mutant mutant) {
      assertTrue(MutantCheck.run(mutant, 1, MutantCheck.DEFAULT_SEEDS).caught());
    }
  }
}
