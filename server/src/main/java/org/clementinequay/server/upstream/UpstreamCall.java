package org.clementinequay.server.upstream;

import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;

/** One call in flight. Reads the response with back-pressure from the listener. */
public final class UpstreamCall {
  private final Request request;
  private final UpstreamListener listener;
  private final AtomicBoolean offered = new AtomicBoolean();
  private final AtomicBoolean done = new AtomicBoolean();

  UpstreamCall(Request request, UpstreamListener listener) {
    this.request = request;
    this.listener = listener;
  }

  void send() {
    request.onRequestBegin(r -> offered.set(true));
    request.onResponseHeaders(this::headers);
    request.onResponseContentSource((response, source) -> new Pump(source).iterate());
    request.send(this::completed);
  }

  /** Gives the call up and closes its connection; the listener is not called again. */
  public void abandon(Throwable cause) {
    done.set(true);
    request.abort(cause);
  }

  private void headers(Response response) {
    if (!done.get()) {
      listener.headers(
          response.getStatus(),
          response.getHeaders().get("X-Attempt-Id"),
          response.getHeaders().get("Content-Type"));
    }
  }

  private void completed(Result result) {
    if (!done.compareAndSet(false, true)) {
      return;
    }
    if (result.isFailed()) {
      listener.failed(result.getFailure(), offered.get());
    } else {
      listener.ended();
    }
  }

  private final class Pump extends IteratingCallback {
    private final Content.Source source;
    private Content.Chunk chunk;

    private Pump(Content.Source source) {
      this.source = source;
    }

    @Override
    protected Action process() {
      chunk = source.read();
      if (chunk == null) {
        source.demand(this::iterate);
        return Action.IDLE;
      }
      if (Content.Chunk.isFailure(chunk) || done.get()) {
        chunk.release();
        return Action.SUCCEEDED;
      }
      if (!chunk.hasRemaining()) {
        boolean last = chunk.isLast();
        chunk.release();
        if (last) {
          return Action.SUCCEEDED;
        }
        succeeded();
        return Action.SCHEDULED;
      }
      listener.content(chunk.getByteBuffer(), Callback.from(this::consumed, this::broken));
      return Action.SCHEDULED;
    }

    private void consumed() {
      chunk.release();
      succeeded();
    }

    private void broken(Throwable cause) {
      chunk.release();
      request.abort(cause);
      failed(cause);
    }
  }
}
