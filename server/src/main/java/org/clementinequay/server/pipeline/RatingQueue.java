package org.clementinequay.server.pipeline;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.RatingService;

/** Threads that ask the rating service, fed by a bounded ring. */
public final class RatingQueue implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CAPACITY = 4096;

  private final RatingService service;
  private final BlockingQueue<Task> tasks = new ArrayBlockingQueue<>(CAPACITY);
  private final List<Thread> threads = new ArrayList<>();

  /** Creates and starts the threads. */
  public RatingQueue(RatingService service, int threadCount) {
    this.service = service;
    for (int i = 0; i < threadCount; i++) {
      Thread thread = new Thread(this::work, "rating-" + i);
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
  }

  /**
   * Rates an answer later; the result is empty if the service did not answer or the ring is full.
   */
  public void rate(
      ModelVersion version,
      String requestClass,
      String prompt,
      String answer,
      Consumer<OptionalDouble> result) {
    if (!tasks.offer(new Task(version, requestClass, prompt, answer, result))) {
      result.accept(OptionalDouble.empty());
    }
  }

  @Override
  public void close() {
    threads.forEach(Thread::interrupt);
  }

  private void work() {
    while (!Thread.currentThread().isInterrupted()) {
      try {
        run(tasks.take());
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void run(Task task) {
    OptionalDouble score = OptionalDouble.empty();
    try {
      score =
          OptionalDouble.of(
              service.rate(task.version, task.requestClass, task.prompt, task.answer));
    } catch (PlatformException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "rating service does not answer: %s", e.getMessage());
    }
    try {
      task.result.accept(score);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("a rating could not be taken up");
    }
  }

  private record Task(
      ModelVersion version,
      String requestClass,
      String prompt,
      String answer,
      Consumer<OptionalDouble> result) {}
}
