package org.clementinequay.server.upstream;

import java.util.Map;
import org.eclipse.jetty.client.transport.HttpExchange;
import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpConnectionOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpReceiverOverHTTP;
import org.eclipse.jetty.io.EndPoint;

/** Connection that passes the number of bytes read to its receiver before they are parsed. */
final class BoundedHttpConnection extends HttpConnectionOverHTTP {
  BoundedHttpConnection(EndPoint endPoint, Map<String, Object> context) {
    super(endPoint, context);
  }

  @Override
  protected HttpChannelOverHTTP newHttpChannel() {
    return new Channel(this);
  }

  @Override
  protected void addBytesIn(long count) {
    super.addBytesIn(count);
    ((Channel) getHttpChannel()).getHttpReceiver().recordRead(count);
  }

  private static final class Channel extends HttpChannelOverHTTP {
    private Channel(HttpConnectionOverHTTP connection) {
      super(connection);
    }

    @Override
    protected HttpReceiverOverHTTP newHttpReceiver() {
      return new BoundedHttpReceiver(this);
    }

    @Override
    protected BoundedHttpReceiver getHttpReceiver() {
      return (BoundedHttpReceiver) super.getHttpReceiver();
    }

    @Override
    public void send(HttpExchange exchange) {
      getHttpReceiver().expectResponse();
      super.send(exchange);
    }

    /** Keeps the connection unless bytes followed the response. */
    @Override
    public void release() {
      if (getHttpReceiver().hasSurplus()) {
        getHttpConnection().close();
      } else {
        super.release();
      }
    }
  }
}
