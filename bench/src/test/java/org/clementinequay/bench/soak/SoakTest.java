package org.clementinequay.bench.soak;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Short runs of the soak scenarios with fixed seeds, and tests of the harness itself. */
public class SoakTest {
  private static final int SEEDS = 4;

  /** Tests of the scheduler. */
  public static class Scheduling {
    /** Guards against a frozen process that goes on, or whose clock stands still. */
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

    /** Guards against a killed process that still acts, also while its threads are unwound. */
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

    /** Guards against a run that passes although one of its threads died. */
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

    /** Guards against violations of the invariants by the coordination code. */
    @Test(dataProvider = "scenarios")
    public void fixedSeedsPass(Scenario scenario) {
      for (long seed = 1; seed <= SEEDS; seed++) {
        assertEquals(scenario.run(seed, Optional.empty()).violations(), List.of(), "seed " + seed);
      }
    }

    /** Guards against a source of chance outside the seed, which would prevent a replay. */
    @Test(dataProvider = "scenarios")
    public void sameSeedGivesSameHistory(Scenario scenario) {
      SoakRun.Result first = scenario.run(7, Optional.empty());
      assertEquals(scenario.run(7, Optional.empty()), first);
      assertNotEquals(scenario.run(8, Optional.empty()).events(), first.events());
    }
  }

  /** Runs with a disabled mechanism. */
  public static class Mutants {
    /** Returns all mutants. */
    @DataProvider
    public Object[] mutants() {
      return Mutant.values();
    }

    /** Guards against checks that pass whatever the code does. */
    @Test(dataProvider = "mutants")
    public void mutantIsCaught(Mutant mutant) {
      assertTrue(MutantCheck.run(mutant, 1, MutantCheck.DEFAULT_SEEDS).caught());
    }
  }
}
