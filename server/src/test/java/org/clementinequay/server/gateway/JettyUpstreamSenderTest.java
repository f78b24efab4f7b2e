package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.clementinequay.server.upstream.UpstreamListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.Callback;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against truncated responses that look complete. */
public class JettyUpstreamSenderTest {
  private static final String HEAD = "HTTP/1.1 200 OK\r\n\r\n";
  private static final String PART = "part of the answer";

  /** Responses without a length, which end with the connection. */
  public static class WithoutLength {
    private HttpClient client;
    private ServerSocket upstream;

    @BeforeMethod
    public void start() throws Exception {
      client = JettyFactory.newClient("test");
      client.start();
      upstream = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterMethod
    public void stop() throws Exception {
      client.stop();
      upstream.close();
    }

    @Test
    public void closedConnectionCompletesTheResponse() throws Exception {
      assertEquals(outcome(false), "ended");
    }

    @Test
    public void connectionResetFailsTheResponse() throws Exception {
      assertEquals(outcome(true), "failed");
    }

    private String outcome(boolean reset) throws Exception {
      CompletableFuture<String> outcome = new CompletableFuture<>();
      CompletableFuture<Void> received = new CompletableFuture<>();
      Thread server = new Thread(() -> serve(reset, received));
      server.start();
      new JettyUpstreamSender(client, client)
          .newCall(
              new OutboundRequest(
                  "127.0.0.1:" + upstream.getLocalPort(),
                  "GET",
                  "/",
                  HttpFields.EMPTY,
                  new byte[0],
                  false,
                  20_000),
              new Recorder(outcome, received))
          .start();
      String result = outcome.get(30, TimeUnit.SECONDS);
      server.join();
      return result;
    }

    private void serve(boolean reset, CompletableFuture<Void> received) {
      try (Socket socket = upstream.accept()) {
        socket.getInputStream().read(new byte[4096]);
        socket.getOutputStream().write((HEAD + PART).getBytes(StandardCharsets.US_ASCII));
        socket.getOutputStream().flush();
        received.join();
        if (reset) {
          socket.setSoLinger(true, 0);
        }
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  private record Recorder(CompletableFuture<String> outcome, CompletableFuture<Void> received)
      implements UpstreamListener {
    @Override
    public void headers(int status, HttpFields headers) {}

    @Override
    public void content(ByteBuffer bytes, Callback next) {
      bytes.position(bytes.limit());
      received.complete(null);
      next.succeeded();
    }

    @Override
    public void ended() {
      outcome.complete("ended");
    }

    @Override
    public void failed(Throwable cause, boolean offered) {
      received.complete(null);
      outcome.complete("failed");
    }
  }
}
