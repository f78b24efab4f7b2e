package org.clementinequay.server.pipeline;

import com.google.common.flogger.FluentLogger;
import java.util.function.Consumer;
import org.clementinequay.core.limit.AccountLimiter;

/** Sends the end of the answer, releases what the request holds, and reports it. */
public final class ReplyFilter implements Filter {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final ResponseWriter replies;
  private final AccountLimiter limiter;
  private final Consumer<Exchange> observer;

  /** Creates the stage; the observer sees each finished exchange once. */
  public ReplyFilter(ResponseWriter replies, AccountLimiter limiter, Consumer<Exchange> observer) {
    this.replies = replies;
    this.limiter = limiter;
    this.observer = observer;
  }

  @Override
  public boolean settles() {
    return true;
  }

  @Override
  public void apply(Exchange exchange, Next next) {
    if (exchange.limitHeld) {
      exchange.limitHeld = false;
      limiter.release(exchange.account().name());
    }
    try {
      if (exchange.failure().isPresent()) {
        replies.fail(exchange);
      } else {
        replies.finish(exchange);
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
