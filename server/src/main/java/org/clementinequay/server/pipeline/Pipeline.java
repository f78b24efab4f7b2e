package org.clementinequay.server.pipeline;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.clementinequay.core.Outcome;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.RequestFailedException;

/**
 * Runs the filters in order. Each filter calls a continuation when it is done, so that no thread
 * waits for another process. After a failure only filters with {@link Filter#runsAfterFailure} run.
 */
public final class Pipeline {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final List<Filter> filters;

  /** Creates a pipeline with a copy of the list of filters. */
  public Pipeline(List<Filter> filters) {
    this.filters = List.copyOf(filters);
  }

  /** Starts a request and returns without waiting for its end. */
  public void start(Exchange exchange) {
    runFrom(exchange, 0);
  }

  private void runFrom(Exchange exchange, int firstIndex) {
    for (int i = firstIndex; i < filters.size(); i++) {
      Filter filter = filters.get(i);
      if (exchange.failure.isEmpty() || filter.runsAfterFailure()) {
        apply(filter, exchange, i);
        return;
      }
    }
  }

  private void apply(Filter filter, Exchange exchange, int index) {
    Continuation continuation = new Continuation(exchange, index);
    try {
      filter.apply(exchange, continuation);
    } catch (RequestFailedException e) {
      continuation.fail(e);
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log(
          "request %s failed in %s", exchange.id(), filter.getClass().getSimpleName());
      // An attempt may be in flight when a filter throws; not-run is reported only if none can be.
      continuation.fail(
          exchange.attempts().isEmpty() && !exchange.replyStarted && index < runFilterIndex()
              ? RequestFailedException.notRun(RefusalReason.NOT_READY, "internal error")
              : RequestFailedException.unknown(RefusalReason.UPSTREAM_FAILED, "internal error"));
    }
  }

  private int runFilterIndex() {
    for (int i = 0; i < filters.size(); i++) {
      if (filters.get(i) instanceof RunFilter) {
        return i;
      }
    }
    return 0;
  }

  private final class Continuation implements Filter.Next {
    private final Exchange exchange;
    private final int index;
    private final AtomicBoolean called = new AtomicBoolean();

    private Continuation(Exchange exchange, int index) {
      this.exchange = exchange;
      this.index = index;
    }

    @Override
    public void proceed() {
      if (called.compareAndSet(false, true)) {
        runFrom(exchange, index + 1);
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
      logFalseNotRun(failure);
      runFrom(exchange, index + 1);
    }

    private void logFalseNotRun(RequestFailedException failure) {
      boolean attempted = !exchange.attempts().isEmpty();
      if (failure.outcome() == Outcome.NOT_RUN && attempted) {
        logger.atSevere().log(
            "invariant violated: request %s is reported as not-run after %d attempts",
            exchange.id(), exchange.attempts().size());
      }
    }
  }
}
