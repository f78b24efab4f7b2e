package org.clementinequay.server.gateway;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** Probes upstreams over TCP. */
final class ConnectProbe implements UpstreamProbe {
  private static final int TIMEOUT_MILLIS = 100;

  @Override
  public Result probe(String address) {
    try (Socket socket = new Socket()) {
      HostAndPort upstream = HostAndPort.fromString(address);
      socket.connect(new InetSocketAddress(upstream.getHost(), upstream.getPort()), TIMEOUT_MILLIS);
      return Result.CONNECTED;
    } catch (ConnectException e) {
      return Result.REFUSED;
    } catch (IOException | IllegalArgumentException | IllegalStateException e) {
      // No connection in time, or an address to which none can be opened.
      return Result.SILENT;
    }
  }
}
