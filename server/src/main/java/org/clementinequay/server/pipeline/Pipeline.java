package org.clementinequay.server.pipeline;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinequay.core.Outcome;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.RequestFailedException;

/**
 * Runs the filters in order, in continuation style, so that no thread waits for another process.
 * After a failure only the filters that settle the request run.
 */
public final class Pipeline {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final List<Filter> filters;

  /** Creates a pipeline of the given stages. */
  public Pipeline(List<Filter> filters) {
    this.filters = List.copyOf(filters);
  }

  /** Starts a request. */
  public void start(Exchange exchange) {
    run(exchange, 0);
  }

  private void run(Exchange exchange, int from) {
    for (int i = from; i < filters.size(); i++) {
      Filter filter = filters.get(i);
      if (exchange.failure.isEmpty() || filter.settles()) {
        apply(filter, exchange, i);
        return;
      }
    }
  }

  private void apply(Filter filter, Exchange exchange, int index) {
    Step step = new Step(exchange, index);
    try {
      filter.apply(exchange, step);
    } catch (RequestFailedException e) {
      step.fail(e);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log(
          "request %s failed in %s", exchange.id(), filter.getClass().getSimpleName());
      // An attempt may be in flight when a filter breaks, so not-run is only claimed without one.
      step.fail(
          exchange.attempts().isEmpty() && !exchange.replyStarted && index < runIndex()
              ? RequestFailedException.notRun(RefusalReason.NOT_READY, "internal error")
              : RequestFailedException.unknown(RefusalReason.UPSTREAM_FAILED, "internal error"));
    }
  }

  private int runIndex() {
    for (int i = 0; i < filters.size(); i++) {
      if (filters.get(i) instanceof RunFilter) {
        return i;
      }
    }
    return 0;
  }

  private final class Step implements Filter.Next {
    private final Exchange exchange;
    private final int index;
    private final AtomicBoolean called = new AtomicBoolean();

    private Step(Exchange exchange, int index) {
      this.exchange = exchange;
      this.index = index;
    }

    @Override
    public void proceed() {
      if (called.compareAndSet(false, true)) {
        run(exchange, index + 1);
      }
    }

    @Override
    public void fail(RequestFailedException failure) {
      if (!called.compareAndSet(false, true)) {
        return;
      }
      if (exchange.failure.isEmpty()) {
        exchange.failure = Optional.of(failure);
      }
      checkOutcome(failure);
      run(exchange, index + 1);
    }

    private void checkOutcome(RequestFailedException failure) {
      boolean offered = !exchange.attempts().isEmpty();
      if (failure.outcome() == Outcome.NOT_RUN && offered) {
        logger.atSevere().log(
            "invariant violated: request %s is reported as not-run after %d attempts",
            exchange.id(), exchange.attempts().size());
      }
    }
  }
}
