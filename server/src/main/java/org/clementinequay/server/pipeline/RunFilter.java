package org.clementinequay.server.pipeline;

/** Places the request on upstreams and dispatches it until its answer is whole or it fails. */
public final class RunFilter implements Filter {
  private final Dispatcher dispatcher;
  private final ResponseWriter replies;

  /** Creates the stage. */
  public RunFilter(Dispatcher dispatcher, ResponseWriter replies) {
    this.dispatcher = dispatcher;
    this.replies = replies;
  }

  @Override
  public void apply(Exchange exchange, Next next) {
    if (exchange.answer != null) {
      // The answer of an earlier request with the same idempotency key.
      next.proceed();
      return;
    }
    dispatcher.retries.recordRequest();
    if (exchange.request().kind() == CallerRequest.Kind.ROUTE) {
      new RouteRun(dispatcher, exchange, next).start();
    } else {
      new ChatRun(dispatcher, exchange, replies, next).start();
    }
  }
}
