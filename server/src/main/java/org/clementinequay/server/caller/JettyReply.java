package org.clementinequay.server.caller;

import java.nio.ByteBuffer;
import java.util.Map;
import org.clementinequay.server.pipeline.ReplySink;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes to a Jetty response; the end of the reply completes the callback of the request. */
final class JettyReply implements ReplySink {
  private final Response response;
  private final Callback requestCallback;

  JettyReply(Response response, Callback requestCallback) {
    this.response = response;
    this.requestCallback = requestCallback;
  }

  @Override
  public void begin(int status, Map<String, String> headers) {
    response.setStatus(status);
    headers.forEach((name, value) -> response.getHeaders().put(name, value));
  }

  @Override
  public void write(ByteBuffer bytes, Callback writeCallback) {
    response.write(false, bytes, writeCallback);
  }

  @Override
  public void end(ByteBuffer bytes) {
    response.write(true, bytes, requestCallback);
  }

  @Override
  public void abort(Throwable cause) {
    requestCallback.failed(cause);
  }
}
