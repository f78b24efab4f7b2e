package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.Map;
import org.clementinequay.server.gateway.UpstreamProbe.Result;
import org.testng.annotations.Test;

/**
 * Guards against a probe that takes one upstream's state for another's, or fails for a bad address.
 */
public class ConnectProbeTest {
  @Test
  public void tellsUpstreamsApartInOneCall() throws IOException {
    InetAddress loopback = InetAddress.getLoopbackAddress();
    int free;
    try (ServerSocket closed = new ServerSocket(0, 1, loopback)) {
      free = closed.getLocalPort();
    }
    try (ServerSocket open = new ServerSocket(0, 5, loopback)) {
      String live = "127.0.0.1:" + open.getLocalPort();
      String gone = "127.0.0.1:" + free;
      assertEquals(
          new ConnectProbe().probeAll(List.of(live, gone, "no address", live)),
          Map.of(live, Result.CONNECTED, gone, Result.REFUSED, "no address", Result.SILENT));
      assertEquals(new ConnectProbe().probe(live), Result.CONNECTED);
    }
  }
}
