package org.clementinequay.server.gateway;

import org.clementinequay.server.upstream.UpstreamListener;
import org.clementinequay.server.upstream.UpstreamTransport;

/** Sends attempts to upstreams. */
public interface UpstreamSender {
  /**
   * Creates a call without starting it.
   *
   * @param listener receives the response once the call was started
   */
  UpstreamTransport.Call newCall(OutboundRequest request, UpstreamListener listener);
}
