package org.clementinequay.server.upstream;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;

/** An HTTP call to an upstream. The listener exerts back-pressure on the reading of the body. */
public final class UpstreamCall implements UpstreamTransport.Call {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final Request request;
  private final UpstreamListener listener;
  private final AtomicBoolean maybeSent = new AtomicBoolean();
  private final AtomicBoolean ended = new AtomicBoolean();

  /** Creates a call of a request that is not sent before {@link #start}. */
  public UpstreamCall(Request request, UpstreamListener listener) {
    this.request = request;
    this.listener = listener;
  }

  @Override
  public void start() {
    if (ended.get()) {
      // Another thread has aborted the call before this one could start it.
      return;
    }
    request.onRequestBegin(this::handleBegin);
    request.onResponseHeaders(this::handleHeaders);
    request.onResponseContentSource((response, source) -> new BodyReader(source).iterate());
    try {
      request.send(this::handleResult);
    } catch (RuntimeException e) {
      if (ended.compareAndSet(false, true)) {
        listener.failed(e, maybeSent.get());
      }
    }
  }

  @Override
  public void abort(Throwable cause) {
    ended.set(true);
    request.abort(cause);
  }

  private void handleBegin(Request begun) {
    if (listener.isStillNeeded()) {
      maybeSent.set(true);
    } else {
      request.abort(new IOException("the request is no longer needed"));
    }
  }

  private void handleHeaders(Response response) {
    if (!ended.get()) {
      listener.headers(response.getStatus(), response.getHeaders());
    }
  }

  private void handleResult(Result result) {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    try {
      if (result.isFailed()) {
        listener.failed(result.getFailure(), maybeSent.get());
      } else {
        listener.ended();
      }
    } catch (RuntimeException e) {
      // Jetty swallows exceptions of listeners, and the request would never be answered.
      logger.atSevere().withCause(e).log(
          "failed to handle the end of a call to %s", request.getURI());
    }
  }

  private final class BodyReader extends IteratingCallback {
    private final Content.Source source;
    private Content.Chunk chunk;

    private BodyReader(Content.Source source) {
      this.source = source;
    }

    @Override
    protected Action process() {
      chunk = source.read();
      if (chunk == null) {
        source.demand(this::iterate);
        return Action.IDLE;
      }
      if (Content.Chunk.isFailure(chunk) || ended.get()) {
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
      listener.content(
          chunk.getByteBuffer(), Callback.from(this::chunkProcessed, this::processingFailed));
      return Action.SCHEDULED;
    }

    private void chunkProcessed() {
      chunk.release();
      succeeded();
    }

    private void processingFailed(Throwable cause) {
      chunk.release();
      request.abort(cause);
      failed(cause);
    }
  }
}
