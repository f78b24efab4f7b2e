package org.clementinequay.standins;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Response that discards status, headers and content, to simulate a lost answer. */
final class DiscardingResponse extends Response.Wrapper {
  private final HttpFields.Mutable headers = HttpFields.build();

  DiscardingResponse(Request request) {
    super(request, null);
  }

  @Override
  public void setStatus(int code) {
    // The wrapped response is null, and no status is ever sent.
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
