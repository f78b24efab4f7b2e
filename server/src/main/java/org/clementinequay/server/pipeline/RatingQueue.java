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

/** Calls the rating service from its own threads, which take answers from a bounded queue. */
public final class RatingQueue implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CAPACITY = 4096;

  private final RatingService service;
  private final BlockingQueue<Task> tasks = new ArrayBlockingQueue<>(CAPACITY);
  private final List<Thread> threads = new ArrayList<>();

  /** Creates the queue and starts {@code threadCount} daemon threads. */
  public RatingQueue(RatingService service, int threadCount) {
    this.service = service;
    for (int i = 0; i < threadCount; i++) {
      Thread thread = new Thread(this::processTasks, "rating-" + i);
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
  }

  /**
   * Queues an answer for rating. The callback receives an empty score if the service fails, or at
   * once on the calling thread if the queue is full.
   */
  public void rate(
      ModelVersion version,
      String requestClass,
      String prompt,
      String answer,
      Consumer<OptionalDouble> callback) {
    if (!tasks.offer(new Task(version, requestClass, prompt, answer, callback))) {
      callback.accept(OptionalDouble.empty());
    }
  }

  @Override
  public void close() {
    threads.forEach(Thread::interrupt);
  }

  private void processTasks() {
    while (!Thread.currentThread().isInterrupted()) {
      try {
        rate(tasks.take());
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void rate(Task task) {
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
      task.callback.accept(score);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("a rating could not be processed");
    }
  }

  private record Task(
      ModelVersion version,
      String requestClass,
      String prompt,
      String answer,
      Consumer<OptionalDouble> callback) {}
}
