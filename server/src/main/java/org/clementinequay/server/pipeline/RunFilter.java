package org.clementinequay.server.pipeline;

/** Dispatches the request to upstreams until it has a complete answer or fails. */
public final class RunFilter implements Filter {
  private final Dispatcher dispatcher;
  private final ResponseWriter responseWriter;

  /** Creates a filter; {@code responseWriter} starts the responses that are streamed. */
  public RunFilter(Dispatcher dispatcher, ResponseWriter responseWriter) {
    this.dispatcher = dispatcher;
    this.responseWriter = responseWriter;
  }

  @Override
  public void apply(Exchange exchange, Next next) {
    if (exchange.answer != null) {
      // The claim returned the answer of an earlier request with the same idempotency key.
      next.proceed();
      return;
    }
    dispatcher.retryBudget.recordRequest();
    if (exchange.request().kind() == CallerRequest.Kind.ROUTE) {
      new RouteRun(dispatcher, exchange, next).start();
    } else {
      new ChatRun(dispatcher, exchange, responseWriter, next).start();
    }
  }
}
