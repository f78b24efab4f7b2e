package org.clementinequay.server.gateway;

import org.clementinequay.server.upstream.UpstreamListener;
import org.clementinequay.server.upstream.UpstreamTransport;

/** Sends attempts to upstreams. */
public interface UpstreamSender {
  /** Returns a call that has not been started. */
  UpstreamTransport.Call newCall(OutboundRequest request, UpstreamListener listener);
}
