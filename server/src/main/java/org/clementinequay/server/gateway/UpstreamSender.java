package org.clementinequay.server.gateway;

import org.clementinequay.server.upstream.UpstreamListener;
import org.clementinequay.server.upstream.UpstreamTransport;
import org.eclipse.jetty.http.HttpFields;

/** Sends attempts to upstreams. */
public interface UpstreamSender {
  /**
   * Returns a call that has not been started.
   *
   * @param address IP address and port
   * @param pathQuery path and query, sent unchanged
   * @param silenceMillis time without a byte after which the connection is taken for dead
   * @param once whether the connection must be a new one: a kept connection can close as the
   *     request is sent, and then nobody knows whether it ran
   */
  UpstreamTransport.Call call(
      String address,
      String method,
      String pathQuery,
      HttpFields headers,
      byte[] body,
      boolean once,
      long silenceMillis,
      UpstreamListener listener);
}
