package org.clementinequay.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.clementinequay.server.logging.JsonLogging;

/** One run of a scenario: its scheduler, platform and history, all derived from one seed. */
public final class SoakRun implements AutoCloseable {
  static {
    // Injected faults would flood the log; it can still be turned on with this property.
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
   * Prepares a run.
   *
   * @param faults virtual time with faults
   * @param recovery virtual time without faults that follows it
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

  /** Returns the generator for the choices of the scenario. */
  public RandomGenerator random() {
    return random;
  }

  /** Returns the scheduler. */
  public VirtualScheduler scheduler() {
    return scheduler;
  }

  /** Returns the platform. */
  public FaultyPlatform platform() {
    return platform;
  }

  /** Returns the history. */
  public History history() {
    return history;
  }

  /** Returns whether a mechanism is disabled in this run. */
  public boolean hasMutant(Mutant candidate) {
    return mutant.isPresent() && mutant.get() == candidate;
  }

  /** Returns whether faults are over. */
  public boolean faultsEnded() {
    return scheduler.nowNanos() >= plan.faultsEndNanos();
  }

  /** Returns the virtual time from which there are no faults, in nanoseconds. */
  public long faultsEndNanos() {
    return plan.faultsEndNanos();
  }

  /** Returns whether less than the given time is left. */
  public boolean remainingLessThan(Duration time) {
    return scheduler.nowNanos() > duration.minus(time).toNanos();
  }

  /** Sleeps for a random time up to the given one. */
  public void sleepUpTo(Duration maxDuration) {
    scheduler.sleep(Duration.ofNanos(random.nextLong(maxDuration.toNanos())));
  }

  /** Notes that an invariant was violated. */
  public void addViolation(String message) {
    violations.add(message);
  }

  /** Runs the threads to the end of the run. */
  public void runToEnd() {
    scheduler.runUntil(duration);
    violations.addAll(scheduler.failures());
  }

  /** Returns the result. */
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
   * @param steps number of times that a thread was chosen to run
   */
  public record Result(long seed, List<String> violations, List<History.Event> events, long steps) {
    /** Copies the lists. */
    public Result {
      violations = List.copyOf(violations);
      events = List.copyOf(events);
    }
  }
}
