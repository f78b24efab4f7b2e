package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.lang.ref.WeakReference;
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
      client = JettyFactory.newClient("test", new ConnectionLimit(100));
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

  /** Connections that are kept for the next request. */
  public static class IdleConnection {
    private static final int BODY_BYTES = 1 << 20;
    private static final int IDLE_MILLIS = 60_000;
    private static final int MAX_COLLECTIONS = 100;
    private static final int PAUSE_MILLIS = 50;

    // Guards against bodies that connections to upstreams hold beyond their requests.
    @Test
    public void doesNotHoldTheLastBody() throws Exception {
      HttpClient client = JettyFactory.newClient("test", new ConnectionLimit(100));
      client.setIdleTimeout(IDLE_MILLIS);
      client.start();
      try (ServerSocket upstream = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        CompletableFuture<Socket> connection = new CompletableFuture<>();
        new Thread(() -> serve(upstream, connection)).start();
        WeakReference<byte[]> body = send(client, upstream.getLocalPort());
        for (int i = 0; i < MAX_COLLECTIONS && body.get() != null; i++) {
          System.gc();
          TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
        assertNull(body.get());
        connection.join().close();
      } finally {
        client.stop();
      }
    }

    private static WeakReference<byte[]> send(HttpClient client, int port) throws Exception {
      byte[] body = new byte[BODY_BYTES];
      CompletableFuture<String> outcome = new CompletableFuture<>();
      new JettyUpstreamSender(client, client)
          .newCall(
              new OutboundRequest(
                  "127.0.0.1:" + port, "POST", "/", HttpFields.EMPTY, body, false, 20_000),
              new Recorder(outcome, new CompletableFuture<>()))
          .start();
      assertEquals(outcome.get(30, TimeUnit.SECONDS), "ended");
      return new WeakReference<>(body);
    }

    /** Answers one request whose body has only zeros, and leaves the connection open. */
    private static void serve(ServerSocket upstream, CompletableFuture<Socket> connection) {
      try {
        Socket socket = upstream.accept();
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (int zeros = 0; zeros < BODY_BYTES; ) {
          zeros += in.read() == 0 ? 1 : 0;
        }
        socket
            .getOutputStream()
            .write(
                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        connection.complete(socket);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }

  /** Connections beyond the limit of a host. */
  public static class BeyondLimit {
    private static final int UPSTREAMS = 3;

    // Guards against requests that fail, or wait for an idle connection of another upstream.
    @Test
    public void takeThePlacesOfIdleOnes() throws Exception {
      HttpClient client = JettyFactory.newClient("test", new ConnectionLimit(1));
      client.setIdleTimeout(IdleConnection.IDLE_MILLIS);
      client.start();
      try {
        for (int i = 0; i < UPSTREAMS; i++) {
          try (ServerSocket upstream = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            new Thread(() -> IdleConnection.serve(upstream, new CompletableFuture<>())).start();
            IdleConnection.send(client, upstream.getLocalPort());
          }
        }
      } finally {
        client.stop();
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
