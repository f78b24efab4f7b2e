package org.clementinequay.server.gateway;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.IteratingCallback;
import org.eclipse.jetty.util.thread.Scheduler;

/** Writes the text of the metrics to one reader, and closes its connection if it takes too long. */
final class MetricsResponse extends IteratingCallback {
  private static final int MAX_READ_SECONDS = 10;

  private final Response response;
  private final List<byte[]> segments;
  private final Callback onEnd;
  private final Scheduler.Task timeout;
  private int next;

  /**
   * Creates a response that is not written before {@link #iterate}.
   *
   * @param segments text of the metrics
   * @param onEnd called once, when the text was written or cannot be written
   */
  MetricsResponse(Request request, Response response, List<byte[]> segments, Callback onEnd) {
    this.response = response;
    this.segments = segments;
    this.onEnd = onEnd;
    CloseAwareEndPoint endPoint = CloseAwareEndPoint.of(request);
    this.timeout =
        endPoint.getScheduler().schedule(endPoint::close, MAX_READ_SECONDS, TimeUnit.SECONDS);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/plain; version=0.0.4");
    response
        .getHeaders()
        .put(HttpHeader.CONTENT_LENGTH, segments.stream().mapToLong(part -> part.length).sum());
  }

  @Override
  protected Action process() {
    if (next == segments.size()) {
      return Action.SUCCEEDED;
    }
    ByteBuffer segment = ByteBuffer.wrap(segments.get(next));
    next++;
    response.write(next == segments.size(), segment, this);
    return Action.SCHEDULED;
  }

  @Override
  protected void onCompleteSuccess() {
    timeout.cancel();
    onEnd.succeeded();
  }

  @Override
  protected void onCompleteFailure(Throwable cause) {
    timeout.cancel();
    onEnd.failed(cause);
  }
}
