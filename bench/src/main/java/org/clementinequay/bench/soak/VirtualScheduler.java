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
 * baton runs until it sleeps or reaches a switch point; a seeded generator then picks among the
 * runnable threads, and time jumps to the next wake-up when there is none. The same seed gives the
 * same interleaving, so that a violation can be replayed.
 */
public final class VirtualScheduler implements AutoCloseable {
  /** Wall-clock time at the start of a run. */
  public static final Instant START = Instant.parse("2026-12-04T11:59:00Z");

  /** Virtual cost of one step in nanoseconds; keeps a busy loop from stopping time. */
  private static final long STEP_NANOS = 1_000;

  /** A step that takes longer in real time blocks on something that the scheduler cannot see. */
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

  /** Creates a scheduler whose choices follow from the seed. */
  public VirtualScheduler(long seed) {
    this.random = generator(seed);
  }

  /** Returns a generator of random numbers with a fixed algorithm. */
  public static RandomGenerator generator(long seed) {
    return RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
  }

  /** Code that a task runs. */
  public interface Body {
    /** Runs; an exception other than the end of the run counts as a failure of the task. */
    void run() throws Exception;
  }

  /** Unwinds the threads of a run that is over; code under test must not catch it. */
  private static final class RunOverError extends Error {
    private static final long serialVersionUID = 1L;

    RunOverError() {
      super("the run is over", null, false, false);
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

  /** A simulated operating system process: it can be paused and killed, and has its own clock. */
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

    /** Returns the name. */
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

    /** Freezes or resumes the process; its clock goes on. */
    public void pause(boolean active) {
      paused = active;
      pauses += active ? 1 : 0;
    }

    /** Returns whether the process is frozen. */
    public boolean paused() {
      return paused;
    }

    /** Returns how often the process was frozen so far. */
    public int pauses() {
      return pauses;
    }

    /** Makes the monotonic clock run at another rate than the true time; 1 is the true rate. */
    public void clockRate(double rate) {
      clockRate = rate;
    }

    /** Ends the process; none of its threads runs again. */
    public void kill() {
      killed = true;
    }

    /** Returns whether the process was killed. */
    public boolean killed() {
      return killed;
    }

    /** Cuts the process off from other processes and the platform, or reconnects it. */
    public void partition(boolean active) {
      partitioned = active;
      partitions += active ? 1 : 0;
    }

    /** Returns how often the process was cut off so far. */
    public int partitions() {
      return partitions;
    }

    /** Returns whether the process is cut off. */
    public boolean partitioned() {
      return partitioned;
    }

    /** Makes the wall clock of the process differ from the true time. */
    public void shiftWallClock(Duration offset) {
      wallClockOffset = offset;
    }

    /** Returns the clock of the process. */
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

  /** Creates a process. */
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

  /** Returns the tasks that ended with an exception. */
  public List<String> failures() {
    return List.copyOf(failures);
  }

  /** Returns the process of the calling thread. */
  public Process currentProcess() {
    Task task = running.get();
    if (task == null) {
      throw new IllegalStateException("not a thread of the scheduler");
    }
    return task.process;
  }

  /** Lets other threads run. */
  public void switchPoint() {
    sleep(Duration.ZERO);
  }

  /** Blocks the calling thread in virtual time; threads of other origin return at once. */
  public void sleep(Duration duration) {
    await(() -> false, duration);
  }

  /** Blocks the calling thread until the condition is true or the time is over. */
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

  /** Calls the observer after each step; it must not block. */
  public void observe(Runnable observer) {
    stepObserver = observer;
  }

  /** Runs the threads until the virtual time is reached. */
  public void runUntil(Duration end) {
    endNanos = end.toNanos();
    Task first = pickNext();
    if (first != null) {
      first.permit.release();
      awaitControl();
    }
  }

  /** Unwinds all threads. State and history must have been checked before. */
  @Override
  public void close() {
    closing = true;
    for (Task task : List.copyOf(tasks)) {
      task.permit.release();
      awaitControl();
    }
  }

  /** Picks the thread that runs next; null at the end of the run. */
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

  /** Passes the baton on; returns whether the caller keeps it. */
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
              new IllegalStateException(lastTask.name + " blocks without using its clock");
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
