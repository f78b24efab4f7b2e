package org.clementinequay.server.pipeline;

import com.google.common.flogger.FluentLogger;
import java.util.function.Consumer;
import org.clementinequay.core.limit.AccountLimiter;

/** Releases the limiter permit, ends the response, and logs and reports the request. */
public final class ReplyFilter implements Filter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ResponseWriter responseWriter;
  private final AccountLimiter limiter;
  private final Consumer<Exchange> observer;

  /** Creates a filter; the observer receives each finished exchange once. */
  public ReplyFilter(
      ResponseWriter responseWriter, AccountLimiter limiter, Consumer<Exchange> observer) {
    this.responseWriter = responseWriter;
    this.limiter = limiter;
    this.observer = observer;
  }

  @Override
  public boolean runsAfterFailure() {
    return true;
  }

  @Override
  public void apply(Exchange exchange, Next next) {
    if (exchange.limiterPermitHeld) {
      exchange.limiterPermitHeld = false;
      limiter.release(exchange.account().name());
    }
    try {
      if (exchange.failure().isPresent()) {
        responseWriter.fail(exchange);
      } else {
        responseWriter.finish(exchange);
      }
    } finally {
      logger.atInfo().log(
          "request %s account=%s class=%s attempts=%d outcome=%s reason=%s cost_micros=%d",
          exchange.id(),
          exchange.account() == null ? "" : exchange.account().name(),
          exchange.requestClassName(),
          exchange.attempts().size(),
          exchange.outcome().label(),
          exchange.failure().map(f -> f.reason().code()).orElse(""),
          exchange.costMicros());
      observer.accept(exchange);
    }
    next.proceed();
  }
}
