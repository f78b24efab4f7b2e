package org.clementinequay.server.peer;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;

/**
 * Opens the sockets of links, with mutually authenticated TLS if a context is set. The TLS
 * handshake runs on the link's own thread, so that a client that stalls during it does not block
 * other links.
 */
final class PeerSockets {
  private final Optional<SSLContext> tlsContext;
  private final int connectMillis;

  PeerSockets(Optional<SSLContext> tlsContext, Duration connectTimeout) {
    this.tlsContext = tlsContext;
    this.connectMillis = Math.toIntExact(Math.max(1, connectTimeout.toMillis()));
  }

  /** Opens the socket whose streams a link uses, layered on its TCP socket. */
  interface Opener {
    /** Returns the socket for the streams; blocks until it is connected. */
    Socket open(Socket tcpSocket) throws IOException;
  }

  /** Returns an opener that connects to an address of the form {@code host:port}. */
  Opener clientOpener(String address) {
    return tcpSocket -> {
      InetSocketAddress target = parseAddress(address);
      tcpSocket.connect(target, connectMillis);
      tcpSocket.setTcpNoDelay(true);
      if (tlsContext.isEmpty()) {
        return tcpSocket;
      }
      SSLSocket socket =
          (SSLSocket)
              tlsContext
                  .get()
                  .getSocketFactory()
                  .createSocket(tcpSocket, target.getHostString(), target.getPort(), true);
      socket.startHandshake();
      return socket;
    };
  }

  /** Returns an opener that completes an accepted connection. */
  Opener serverOpener() {
    return tcpSocket -> {
      tcpSocket.setTcpNoDelay(true);
      if (tlsContext.isEmpty()) {
        return tcpSocket;
      }
      SSLSocket socket =
          (SSLSocket) tlsContext.get().getSocketFactory().createSocket(tcpSocket, null, true);
      socket.setNeedClientAuth(true);
      socket.startHandshake();
      return socket;
    };
  }

  private static InetSocketAddress parseAddress(String address) throws IOException {
    try {
      HostAndPort parts = HostAndPort.fromString(address);
      return new InetSocketAddress(parts.getHost(), parts.getPort());
    } catch (IllegalArgumentException | IllegalStateException e) {
      throw new IOException("invalid address, expected host:port: " + address, e);
    }
  }
}
