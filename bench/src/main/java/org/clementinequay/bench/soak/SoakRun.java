package org.clementinequay.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.clementinequay.server.logging.JsonLogging;

/** State of one run of a scenario: scheduler, platform and history, all derived from one seed. */
public final class SoakRun implements AutoCloseable {
  static {
    // Injected faults would flood the log; the property can still turn it on.
    if (System.getProperty(JsonLogging.LEVEL_PROPERTY) == null) {
      System.setProperty(JsonLogging.LEVEL_PROPERTY, "off");
    }
    JsonLogging.install(System.err);
  }

  private final long seed;
  private final Duration duration;
  private final Optional<Mutant> mutant;
  private final RandomGenerator random;
  private final VirtualScheduler scheduler;
  private final FaultPlan plan;
  private final FaultyPlatform platform;
  private final History history;
  private final List<String> violations = new ArrayList<>();

  /**
   * Prepares a run without starting threads.
   *
   * @param faults duration of the virtual time with faults
   * @param recovery duration of the fault-free virtual time that follows
   * @param mutant the mechanism that is disabled, if any
   */
  public SoakRun(long seed, Duration faults, Duration recovery, Optional<Mutant> mutant) {
    this.seed = seed;
    this.duration = faults.plus(recovery);
    this.mutant = mutant;
    random = VirtualScheduler.generator(seed);
    scheduler = new VirtualScheduler(random.nextLong());
    plan = FaultPlan.random(VirtualScheduler.generator(random.nextLong()), faults);
    platform = new FaultyPlatform(scheduler, plan, VirtualScheduler.generator(random.nextLong()));
    history = new History(scheduler);
  }

  /** Returns the random generator for the choices of the scenario. */
  public RandomGenerator random() {
    return random;
  }

  public VirtualScheduler scheduler() {
    return scheduler;
  }

  public FaultyPlatform platform() {
    return platform;
  }

  public History history() {
    return history;
  }

  /** Returns whether this run disables the mechanism of the mutant. */
  public boolean hasMutant(Mutant candidate) {
    return mutant.isPresent() && mutant.get() == candidate;
  }

  /** Returns whether the fault-free time has begun. */
  public boolean faultsEnded() {
    return scheduler.nowNanos() >= plan.faultsEndNanos();
  }

  /** Returns the virtual time at which the fault-free time begins, in nanoseconds. */
  public long faultsEndNanos() {
    return plan.faultsEndNanos();
  }

  /** Returns whether less than the given virtual time remains until the end of the run. */
  public boolean remainingLessThan(Duration time) {
    return scheduler.nowNanos() > duration.minus(time).toNanos();
  }

  /** Blocks for a random virtual time shorter than the given one. */
  public void sleepUpTo(Duration maxDuration) {
    scheduler.sleep(Duration.ofNanos(random.nextLong(maxDuration.toNanos())));
  }

  /** Records the violation of an invariant, which fails the run. */
  public void addViolation(String message) {
    violations.add(message);
  }

  /** Runs the threads until the end of the run; failed threads count as violations. */
  public void runToEnd() {
    scheduler.runUntil(duration);
    violations.addAll(scheduler.failures());
  }

  public Result result() {
    return new Result(seed, violations, history.events(), scheduler.steps());
  }

  @Override
  public void close() {
    scheduler.close();
  }

  /**
   * Result of a run.
   *
   * @param seed seed of the run
   * @param violations violated invariants; empty if the run passed
   * @param events the history
   * @param steps number of times that the scheduler chose a thread to run
   */
  public record Result(long seed, List<String> violations, List<History.Event> events, long steps) {
    /** Makes unmodifiable copies of the lists. */
    public Result {
      violations = List.copyOf(violations);
      events = List.copyOf(events);
    }
  }
}
