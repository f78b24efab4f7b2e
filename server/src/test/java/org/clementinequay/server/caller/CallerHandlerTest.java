package org.clementinequay.server.caller;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.time.ManualClock;
import org.clementinequay.server.pipeline.Exchange;
import org.clementinequay.server.pipeline.Filter;
import org.clementinequay.server.pipeline.Pipeline;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the HTTP interface of callers. */
public class CallerHandlerTest {
  private static final int MAX_WAIT_MILLIS = 20_000;
  private static final int HEAD_MILLIS = 200;

  /** A host that drains while a caller sends its request. */
  public static class Draining {
    private final AtomicInteger started = new AtomicInteger();
    private final Server server = new Server();
    private CallerHandler handler;
    private Socket caller;

    @BeforeMethod
    public void start() throws Exception {
      handler =
          new CallerHandler(
              new Pipeline(List.of(new CountingFilter())),
              new Incarnation("0".repeat(32)),
              new ManualClock(Instant.EPOCH));
      ServerConnector connector = new ServerConnector(server);
      connector.setHost("127.0.0.1");
      server.addConnector(connector);
      server.setHandler(handler);
      server.start();
      caller = new Socket(InetAddress.getLoopbackAddress(), connector.getLocalPort());
      caller.setSoTimeout(MAX_WAIT_MILLIS);
    }

    @AfterMethod
    public void stop() throws Exception {
      caller.close();
      server.stop();
    }

    private void send(String text) throws Exception {
      caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    // Guards against requests that are taken on in a stop because their head came before it.
    @Test
    public void refusesARequestWhoseBodyEndsLater() throws Exception {
      send(
          "POST /v1/routes/r HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer k\r\n"
              + "Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
      long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MILLIS);
      while (handler.openRequests() == 0 && System.nanoTime() - deadline < 0) {
        TimeUnit.MILLISECONDS.sleep(1);
      }
      // The request counts as open a moment before the handler checks for a shutdown.
      TimeUnit.MILLISECONDS.sleep(HEAD_MILLIS);
      handler.drain();
      send("0\r\n\r\n");
      String answer = new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      assertTrue(answer.startsWith("HTTP/1.1 503"), answer);
      assertEquals(started.get(), 0);
    }

    /** Counts the requests that are taken on. */
    private final class CountingFilter implements Filter {
      @Override
      public void apply(Exchange exchange, Next next) {
        started.incrementAndGet();
      }
    }
  }
}
