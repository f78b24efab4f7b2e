package org.clementinequay.server.caller;

import java.nio.ByteBuffer;
import java.util.Map;
import org.clementinequay.server.pipeline.ReplySink;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes an answer to a Jetty response. */
final class JettyReply implements ReplySink {
  private final Response response;
  private final Callback callback;

  JettyReply(Response response, Callback callback) {
    this.response = response;
    this.callback = callback;
  }

  @Override
  public void begin(int status, Map<String, String> headers) {
    response.setStatus(status);
    headers.forEach((name, value) -> response.getHeaders().put(name, value));
  }

  @Override
  public void write(ByteBuffer bytes, Callback written) {
    response.write(false, bytes, written);
  }

  @Override
  public void end(ByteBuffer bytes) {
    response.write(true, bytes, callback);
  }

  @Override
  public void abort(Throwable cause) {
    callback.failed(cause);
  }
}
