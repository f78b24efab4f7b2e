package org.clementinequay.server.upstream;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;

/** One HTTP call. Reads the response with back-pressure from the listener. */
public final class UpstreamCall implements UpstreamTransport.Call {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Request request;
  private final UpstreamListener listener;
  private final AtomicBoolean offered = new AtomicBoolean();
  private final AtomicBoolean done = new AtomicBoolean();

  /** Creates a call of a request that has not been sent. */
  public UpstreamCall(Request request, UpstreamListener listener) {
    this.request = request;
    this.listener = listener;
  }

  @Override
  public void start() {
    request.onRequestBegin(r -> offered.set(true));
    request.onResponseHeaders(this::headers);
    request.onResponseContentSource((response, source) -> new Pump(source).iterate());
    request.send(this::completed);
  }

  @Override
  public void abort(Throwable cause) {
    done.set(true);
    request.abort(cause);
  }

  private void headers(Response response) {
    if (!done.get()) {
      listener.headers(response.getStatus(), response.getHeaders());
    }
  }

  private void completed(Result result) {
    if (!done.compareAndSet(false, true)) {
      return;
    }
    try {
      if (result.isFailed()) {
        listener.failed(result.getFailure(), offered.get());
      } else {
        listener.ended();
      }
    } catch (RuntimeException e) {
      // Jetty drops what a listener throws, and the request would never be answered.
      logger.atSevere().withCause(e).log(
          "the end of a call to %s was not handled", request.getURI());
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
