package org.clementinequay.bench.soak;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Runs blocking code on real threads, one at a time, in virtual time. The thread that holds the
 * permit runs until it blocks in this scheduler. A seeded random generator then picks one of the
 * runnable threads; if there is none, virtual time advances to the next wake-up. The same seed
 * gives the same interleaving, so that a violation can be replayed.
 */
public final class VirtualScheduler implements AutoCloseable {
  /** Wall-clock time at the start of a run. */
  public static final Instant START = Instant.parse("2026-12-04T11:59:00Z");

  /** Virtual duration of one step in nanoseconds; lets time advance even in a busy loop. */
  private static final long STEP_NANOS = 1_000;

  /** Real time after which a step counts as blocked on something outside of the scheduler. */
  private static final long STUCK_THREAD_SECONDS = 20;

  private static final ExecutorService THREAD_POOL =
      Executors.newCachedThreadPool(
          body -> {
            Thread thread = new Thread(body, "virtual");
            thread.setDaemon(true);
            return thread;
          });

  private final RandomGenerator random;
  private final List<Task> tasks = new ArrayList<>();
  private final List<String> failures = new ArrayList<>();
  private final Semaphore controlReturned = new Semaphore(0);
  private final ThreadLocal<Task> running = new ThreadLocal<>();
  private Runnable stepObserver = () -> {};
  private long nowNanos;
  private long endNanos;
  private volatile long steps;
  private volatile Task lastTask;
  private boolean closing;

  /** Creates a scheduler whose choices are determined by the seed. */
  public VirtualScheduler(long seed) {
    this.random = generator(seed);
  }

  /** Returns a random generator with a fixed algorithm, so that seeds stay reproducible. */
  public static RandomGenerator generator(long seed) {
    return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
  }

  /** Code that a task runs. */
  public interface Body {
    /**
     * Runs the task; an exception that is thrown before the run is closed counts as its failure.
     */
    void run() throws Exception;
  }

  /** Unwinds the threads when a run is closed; code under test must not catch it. */
  private static final class RunOverError extends Error {
    private static final long serialVersionUID = 1L;

    RunOverError() {
      super("the run is closed", null, false, false);
    }
  }

  private static final class Task {
    final Process process;
    final String name;
    final Semaphore permit = new Semaphore(0);
    long wakeNanos;
    BooleanSupplier condition = () -> false;
    volatile Thread thread;

    Task(Process process, String name, long wakeNanos) {
      this.process = process;
      this.name = name;
      this.wakeNanos = wakeNanos;
    }
  }

  /**
   * A simulated operating system process, which can be paused, partitioned and killed and has its
   * own clock.
   */
  public final class Process {
    private final String name;
    private boolean paused;
    private boolean killed;
    private boolean partitioned;
    private int pauses;
    private int partitions;
    private double clockRate = 1;
    private Duration wallClockOffset = Duration.ZERO;

    private Process(String name) {
      this.name = name;
    }

    public String name() {
      return name;
    }

    /** Starts a thread of this process. */
    public void start(String threadName, Body body) {
      startAfter(Duration.ZERO, threadName, body);
    }

    /** Starts a thread of this process after a delay. */
    public void startAfter(Duration delay, String threadName, Body body) {
      Task task = new Task(this, name + "/" + threadName, nowNanos + delay.toNanos());
      tasks.add(task);
      THREAD_POOL.execute(() -> runTask(task, body));
    }

    /** Pauses or resumes the threads of the process; its clock continues. */
    public void pause(boolean active) {
      paused = active;
      pauses += active ? 1 : 0;
    }

    public boolean paused() {
      return paused;
    }

    /** Returns how often the process has been paused so far. */
    public int pauses() {
      return pauses;
    }

    /** Sets the rate of the monotonic clock relative to virtual time; 1 means no drift. */
    public void clockRate(double rate) {
      clockRate = rate;
    }

    /** Kills the process; none of its threads runs again. */
    public void kill() {
      killed = true;
    }

    public boolean killed() {
      return killed;
    }

    /** Disconnects the process from other processes and the platform, or reconnects it. */
    public void partition(boolean active) {
      partitioned = active;
      partitions += active ? 1 : 0;
    }

    /** Returns how often the process has been partitioned so far. */
    public int partitions() {
      return partitions;
    }

    public boolean partitioned() {
      return partitioned;
    }

    /** Sets the offset of the wall clock of the process from virtual time. */
    public void shiftWallClock(Duration offset) {
      wallClockOffset = offset;
    }

    /** Returns a clock that has the rate and the offset of this process. */
    public RuntimeClock clock() {
      return new ProcessClock(this);
    }
  }

  private final class ProcessClock implements RuntimeClock {
    private final Process process;

    ProcessClock(Process process) {
      this.process = process;
    }

    @Override
    public Instant now() {
      return START.plusNanos(nowNanos).plus(process.wallClockOffset);
    }

    @Override
    public long nanoTime() {
      return (long) (nowNanos * process.clockRate);
    }

    @Override
    public void sleep(Duration duration) {
      VirtualScheduler.this.sleep(
          Duration.ofNanos((long) (duration.toNanos() / process.clockRate)));
    }
  }

  public Process process(String name) {
    return new Process(name);
  }

  /** Returns the virtual time since the start of the run in nanoseconds. */
  public long nowNanos() {
    return nowNanos;
  }

  /** Returns how many times a thread was chosen to run. */
  public long steps() {
    return steps;
  }

  /** Returns a description of each task that ended with an exception. */
  public List<String> failures() {
    return List.copyOf(failures);
  }

  /**
   * Returns the process of the calling thread.
   *
   * @throws IllegalStateException if the thread does not belong to this scheduler
   */
  public Process currentProcess() {
    Task task = running.get();
    if (task == null) {
      throw new IllegalStateException("not a thread of the scheduler");
    }
    return task.process;
  }

  /** Gives other runnable threads a chance to run. */
  public void switchPoint() {
    sleep(Duration.ZERO);
  }

  /** Blocks the calling thread in virtual time; returns at once on threads of other origin. */
  public void sleep(Duration duration) {
    await(() -> false, duration);
  }

  /**
   * Blocks the calling thread until the condition is true or the timeout has passed in virtual
   * time. Returns at once on threads of other origin.
   */
  public void await(BooleanSupplier condition, Duration timeout) {
    Task task = running.get();
    if (task == null) {
      return;
    }
    if (closing) {
      throw new RunOverError();
    }
    task.condition = condition;
    task.wakeNanos = nowNanos + Math.max(0, timeout.toNanos());
    if (!scheduleNext(task)) {
      awaitPermit(task);
    }
  }

  /** Sets the observer that is called before each step; it must not block. */
  public void observe(Runnable observer) {
    stepObserver = observer;
  }

  /** Runs the threads until the virtual time since the start of the run reaches the end. */
  public void runUntil(Duration end) {
    endNanos = end.toNanos();
    Task first = pickNext();
    if (first != null) {
      first.permit.release();
      awaitControl();
    }
  }

  /** Unwinds all threads. Their state and history must be checked before. */
  @Override
  public void close() {
    closing = true;
    for (Task task : List.copyOf(tasks)) {
      task.permit.release();
      awaitControl();
    }
  }

  /** Returns the task that runs next and advances virtual time; null at the end of the run. */
  private Task pickNext() {
    while (nowNanos < endNanos) {
      List<Task> runnable = new ArrayList<>();
      long nextWakeNanos = endNanos;
      for (Task task : tasks) {
        if (!task.process.paused && !task.process.killed) {
          nextWakeNanos = Math.min(nextWakeNanos, task.wakeNanos);
          if (task.wakeNanos <= nowNanos || task.condition.getAsBoolean()) {
            runnable.add(task);
          }
        }
      }
      if (!runnable.isEmpty()) {
        nowNanos += STEP_NANOS;
        steps++;
        stepObserver.run();
        lastTask = runnable.get(random.nextInt(runnable.size()));
        return lastTask;
      }
      nowNanos = nextWakeNanos;
    }
    return null;
  }

  /** Passes the permit to the next task; returns whether the calling task keeps it. */
  private boolean scheduleNext(Task from) {
    Task next = closing ? null : pickNext();
    if (next == null) {
      controlReturned.release();
    } else if (next != from) {
      next.permit.release();
    }
    return next == from;
  }

  private void awaitControl() {
    try {
      long lastSteps = -1;
      while (!controlReturned.tryAcquire(STUCK_THREAD_SECONDS, TimeUnit.SECONDS)) {
        if (steps == lastSteps) {
          IllegalStateException stuck =
              new IllegalStateException(lastTask.name + " blocks outside of the scheduler");
          stuck.setStackTrace(lastTask.thread.getStackTrace());
          throw stuck;
        }
        lastSteps = steps;
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted during a run", e);
    }
  }

  private void awaitPermit(Task task) {
    task.permit.acquireUninterruptibly();
    if (closing) {
      throw new RunOverError();
    }
  }

  private void runTask(Task task, Body body) {
    task.thread = Thread.currentThread();
    running.set(task);
    try {
      awaitPermit(task);
      body.run();
    } catch (RunOverError e) {
      // Expected when the run is closed.
    } catch (Exception | Error e) {
      if (!closing) {
        StackTraceElement[] trace = e.getStackTrace();
        failures.add(task.name + " failed: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
      }
    } finally {
      running.remove();
      tasks.remove(task);
      scheduleNext(task);
    }
  }
}
