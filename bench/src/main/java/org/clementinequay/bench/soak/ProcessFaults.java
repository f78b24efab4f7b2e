package org.clementinequay.bench.soak;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

/**
 * Pauses, kills and partitions processes and shifts their wall clocks at random times until the end
 * of faults.
 */
public final class ProcessFaults {
  private static final Duration MAX_INTERVAL = Duration.ofSeconds(6);
  private static final Duration MAX_FAULT_DURATION = Duration.ofSeconds(25);
  private static final Duration MAX_WALL_CLOCK_SHIFT = Duration.ofSeconds(60);

  private final SoakRun run;
  private final Supplier<List<VirtualScheduler.Process>> victims;
  private final Consumer<VirtualScheduler.Process> kill;

  /**
   * Creates an injector, which causes no faults until it is started.
   *
   * @param victims returns the live processes
   * @param kill kills a process and may start a replacement
   */
  public ProcessFaults(
      SoakRun run,
      Supplier<List<VirtualScheduler.Process>> victims,
      Consumer<VirtualScheduler.Process> kill) {
    this.run = run;
    this.victims = victims;
    this.kill = kill;
  }

  /** Kinds of process faults. */
  public enum Kind {
    /** The process is paused and later resumes without being told. */
    PAUSE {
      @Override
      void begin(VirtualScheduler.Process victim, RandomGenerator random) {
        victim.pause(true);
      }

      @Override
      void end(VirtualScheduler.Process victim) {
        victim.pause(false);
      }
    },
    /** The process can reach neither its peers nor the platform. */
    PARTITION {
      @Override
      void begin(VirtualScheduler.Process victim, RandomGenerator random) {
        victim.partition(true);
      }

      @Override
      void end(VirtualScheduler.Process victim) {
        victim.partition(false);
      }
    },
    /** The wall clock of the process is shifted by up to {@link #MAX_WALL_CLOCK_SHIFT}. */
    WALL_CLOCK {
      @Override
      void begin(VirtualScheduler.Process victim, RandomGenerator random) {
        long maxShiftMillis = MAX_WALL_CLOCK_SHIFT.toMillis();
        victim.shiftWallClock(Duration.ofMillis(random.nextLong(-maxShiftMillis, maxShiftMillis)));
      }

      @Override
      void end(VirtualScheduler.Process victim) {
        victim.shiftWallClock(Duration.ZERO);
      }
    },
    /** The process is killed by the callback of the scenario. */
    KILL {
      @Override
      void begin(VirtualScheduler.Process victim, RandomGenerator random) {}

      @Override
      void end(VirtualScheduler.Process victim) {}
    };

    abstract void begin(VirtualScheduler.Process victim, RandomGenerator random);

    abstract void end(VirtualScheduler.Process victim);
  }

  /** Starts threads that inject faults; at most one fault per thread is active at a time. */
  public void start(int threads, List<Kind> kinds) {
    VirtualScheduler.Process process = run.scheduler().process("faults");
    for (int i = 0; i < threads; i++) {
      process.start("cause" + i, () -> injectFaults(kinds));
    }
  }

  private void injectFaults(List<Kind> kinds) {
    while (true) {
      run.sleepUpTo(MAX_INTERVAL);
      if (run.faultsEnded()) {
        return;
      }
      List<VirtualScheduler.Process> liveProcesses = victims.get();
      if (liveProcesses.isEmpty()) {
        continue;
      }
      VirtualScheduler.Process victim =
          liveProcesses.get(run.random().nextInt(liveProcesses.size()));
      Kind kind = kinds.get(run.random().nextInt(kinds.size()));
      run.history().add(victim.name(), "fault", kind.name(), 0, "");
      if (kind == Kind.KILL) {
        kill.accept(victim);
        continue;
      }
      kind.begin(victim, run.random());
      long remainingNanos = Math.max(1, run.faultsEndNanos() - run.scheduler().nowNanos());
      run.sleepUpTo(Duration.ofNanos(Math.min(remainingNanos, MAX_FAULT_DURATION.toNanos())));
      kind.end(victim);
    }
  }
}
