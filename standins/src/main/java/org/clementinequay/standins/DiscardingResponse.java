package org.clementinequay.standins;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** A response whose content goes nowhere, for calls that take effect but whose answer is lost. */
final class DiscardingResponse extends Response.Wrapper {
  private final HttpFields.Mutable headers = HttpFields.build();

  DiscardingResponse(Request request) {
    super(request, null);
  }

  @Override
  public void setStatus(int code) {
    // The status is lost with the answer.
  }

  @Override
  public HttpFields.Mutable getHeaders() {
    return headers;
  }

  @Override
  public void write(boolean last, ByteBuffer byteBuffer, Callback callback) {
    callback.succeeded();
  }
}
