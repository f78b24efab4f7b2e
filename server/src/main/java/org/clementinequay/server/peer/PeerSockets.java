package org.clementinequay.server.peer;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLEngine;

/** Creates the channels of links, with mutually authenticated TLS if a context is set. */
final class PeerSockets {
  private final Optional<SSLContext> tlsContext;

  PeerSockets(Optional<SSLContext> tlsContext) {
    this.tlsContext = tlsContext;
  }

  /** Returns the channel of a connected socket; the end that dialled is the client of TLS. */
  LinkChannel open(SocketChannel socket, boolean dialled) throws IOException {
    if (tlsContext.isEmpty()) {
      return LinkChannel.plain(socket);
    }
    SSLEngine engine = tlsContext.get().createSSLEngine();
    engine.setUseClientMode(dialled);
    if (!dialled) {
      engine.setNeedClientAuth(true);
    }
    return new TlsLinkChannel(socket, engine);
  }

  /**
   * Resolves an address of the form {@code host:port}, which may block; the result is unresolved if
   * the address is invalid.
   */
  static InetSocketAddress resolve(String address) {
    try {
      HostAndPort parts = HostAndPort.fromString(address);
      return new InetSocketAddress(parts.getHost(), parts.getPort());
    } catch (IllegalArgumentException | IllegalStateException e) {
      return InetSocketAddress.createUnresolved("invalid", 0);
    }
  }
}
