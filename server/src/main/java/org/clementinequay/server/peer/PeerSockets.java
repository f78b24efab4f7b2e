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
 * Opens the sockets of links, with mutually authenticated TLS where a context is set. The TLS
 * handshake runs on the link's own thread, so that a client that stalls in it holds up no other.
 */
final class PeerSockets {
  private final Optional<SSLContext> tls;
  private final int connectMillis;

  PeerSockets(Optional<SSLContext> tls, Duration connectTimeout) {
    this.tls = tls;
    this.connectMillis = Math.toIntExact(Math.max(1, connectTimeout.toMillis()));
  }

  /** Opens the socket whose streams a link uses, on top of its TCP socket. */
  interface Opener {
    /** Returns the socket for the streams; blocks until it is connected. */
    Socket open(Socket raw) throws IOException;
  }

  /** Returns how to open a connection to an address of the form {@code host:port}. */
  Opener dialling(String address) {
    return raw -> {
      InetSocketAddress target = parse(address);
      raw.connect(target, connectMillis);
      raw.setTcpNoDelay(true);
      if (tls.isEmpty()) {
        return raw;
      }
      SSLSocket socket =
          (SSLSocket)
              tls.get()
                  .getSocketFactory()
                  .createSocket(raw, target.getHostString(), target.getPort(), true);
      socket.startHandshake();
      return socket;
    };
  }

  /** Returns how to complete an accepted connection. */
  Opener accepting() {
    return raw -> {
      raw.setTcpNoDelay(true);
      if (tls.isEmpty()) {
        return raw;
      }
      SSLSocket socket = (SSLSocket) tls.get().getSocketFactory().createSocket(raw, null, true);
      socket.setNeedClientAuth(true);
      socket.startHandshake();
      return socket;
    };
  }

  private static InetSocketAddress parse(String address) throws IOException {
    try {
      HostAndPort parts = HostAndPort.fromString(address);
      return new InetSocketAddress(parts.getHost(), parts.getPort());
    } catch (IllegalArgumentException | IllegalStateException e) {
      throw new IOException("not an address: " + address, e);
    }
  }
}
