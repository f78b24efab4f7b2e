package org.clementinequay.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.function.Supplier;

/**
 * Changes the state of an object under its lock, and makes the calls that a change leads to after
 * the lock was released: the called components may call back or take locks of other objects. See
 * Bloch, Effective Java, 3rd ed., item 79 ("open calls").
 */
final class OpenCalls {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Object lock;
  private List<Runnable> ownCalls = new ArrayList<>();
  private final Queue<Runnable> orderedCalls = new ArrayDeque<>();
  private boolean running;

  /** Creates an instance for the state that an object's lock guards. */
  OpenCalls(Object lock) {
    this.lock = lock;
  }

  /**
   * Records a call that the current thread makes after its change. Calls of different threads have
   * no order.
   */
  void add(Runnable call) {
    ownCalls.add(call);
  }

  /**
   * Records a call that is made after all that were recorded so before, by one thread at a time:
   * the current one, or another one that is making such a call.
   */
  void addInOrder(Runnable call) {
    orderedCalls.add(call);
  }

  /** Runs a change under the lock and then makes the calls that it recorded. */
  void update(Runnable change) {
    update(
        () -> {
          change.run();
          return null;
        });
  }

  /**
   * Runs a change under the lock, makes the calls that it recorded, and returns its result. A
   * change within another one leaves its calls to the outer one.
   */
  <T> T update(Supplier<T> change) {
    if (Thread.holdsLock(lock)) {
      return change.get();
    }
    List<Runnable> calls = List.of();
    try {
      synchronized (lock) {
        try {
          return change.get();
        } finally {
          calls = ownCalls;
          ownCalls = new ArrayList<>();
        }
      }
    } finally {
      calls.forEach(OpenCalls::runOne);
      runOrdered();
    }
  }

  private void runOrdered() {
    synchronized (lock) {
      if (running) {
        return;
      }
      running = true;
    }
    boolean completed = false;
    try {
      for (Runnable call = nextOrdered(); call != null; call = nextOrdered()) {
        runOne(call);
      }
      completed = true;
    } finally {
      if (!completed) {
        // An Error ended a call; the next update makes the remaining ones.
        synchronized (lock) {
          running = false;
        }
      }
    }
  }

  private Runnable nextOrdered() {
    synchronized (lock) {
      Runnable call = orderedCalls.poll();
      running = call != null;
      return call;
    }
  }

  private static void runOne(Runnable call) {
    try {
      call.run();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("call failed; the calls after it are made all the same");
    }
  }
}
