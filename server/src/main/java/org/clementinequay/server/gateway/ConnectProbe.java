package org.clementinequay.server.gateway;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;

/** Probes an upstream by a connection that is closed at once. */
final class ConnectProbe implements UpstreamProbe {
  private static final int TIMEOUT_MILLIS = 100;

  @Override
  public boolean isRefused(String address) {
    HostAndPort upstream = HostAndPort.fromString(address);
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(upstream.getHost(), upstream.getPort()), TIMEOUT_MILLIS);
      return false;
    } catch (ConnectException e) {
      return true;
    } catch (IOException e) {
      // No answer in time, or no route: says nothing about the process.
      return false;
    }
  }
}
