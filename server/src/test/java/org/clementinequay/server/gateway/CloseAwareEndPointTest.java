package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.ingress.IngressBudget;
import org.clementinequay.core.ingress.IngressHolder;
import org.clementinequay.core.ingress.IngressLimits;
import org.clementinequay.core.ingress.TurnAway;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against closes of callers that a host notices only after it has started the work. */
public class CloseAwareEndPointTest {
  private static final IngressBudget BUDGET = new IngressBudget(new IngressLimits(1 << 20, 10, 10));
  private static final String REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  private static final long WAIT_SECONDS = 30;

  /** What the budget says to a connection whose threads are late. */
  public static class LateTurnAway {
    private final Queue<Runnable> tasks = new ArrayDeque<>();
    private final IngressBudget budget = new IngressBudget(new IngressLimits(1 << 20, 10, 10));

    // Guards against the loss of a request that is passed on before its turning away is carried
    // out.
    @Test
    public void doesNotCloseTheConnectionOfARequestThatIsPassedOn() throws Exception {
      try (ServerSocketChannel listener =
              ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
          SocketChannel channel = SocketChannel.open(listener.getLocalAddress())) {
        channel.configureBlocking(false);
        CloseAwareEndPoint endPoint =
            new CloseAwareEndPoint(
                channel, null, null, null, tasks::add, new LingeringCloser(), budget);
        endPoint.onOpen();
        endPoint.share().beginRequest(100, 5);
        endPoint.setReceiver(new IgnoringHolder());
        endPoint.share().beginBody("", 100);
        budget.step(0, 1000);
        budget.step(TimeUnit.MILLISECONDS.toNanos(200), 1000);
        assertEquals(tasks.size(), 1, "the body took too long");
        endPoint.share().endBody();
        endPoint.setReceiver(null);
        tasks.remove().run();
        assertTrue(endPoint.isOpen());
      }
    }

    // Guards against memory that closed connections hold for jobs that wait for a thread.
    @Test
    public void closedConnectionKeepsItsShareUntilItsJobsHaveRun() throws Exception {
      try (ServerSocketChannel listener =
              ServerSocketChannel.open().bind(new InetSocketAddress("127.0.0.1", 0));
          SocketChannel channel = SocketChannel.open(listener.getLocalAddress());
          Selector selector = Selector.open()) {
        channel.configureBlocking(false);
        SelectionKey key = channel.register(selector, 0);
        CloseAwareEndPoint endPoint =
            new CloseAwareEndPoint(
                channel, null, key, null, tasks::add, new LingeringCloser(), budget);
        endPoint.onOpen();
        endPoint.share().takeHead(1000, 100);
        endPoint.executor().execute(() -> {});
        endPoint.close();
        endPoint.onDestroyed();
        assertFalse(channel.isOpen());
        assertTrue(budget.bytes() > 1000, "the job can still reach the head");
        tasks.remove().run();
        assertEquals(budget.bytes(), 0);
      }
    }

    private static final class IgnoringHolder implements IngressHolder {
      @Override
      public void resume() {}

      @Override
      public void turnAway(TurnAway limit) {}
    }
  }

  /** The check that does not wait for the selector. */
  public static class ImmediateCheck {
    private final BlockingQueue<Exchange> exchanges = new LinkedBlockingQueue<>();
    private Server server;
    private Socket caller;

    private record Exchange(CloseAwareEndPoint endPoint, Callback callback) {}

    @BeforeMethod
    public void start() throws Exception {
      int port;
      try (ServerSocket socket = new ServerSocket(0)) {
        port = socket.getLocalPort();
      }
      server = JettyFactory.newServer("test", "127.0.0.1:" + port, new HoldingHandler(), BUDGET);
      server.start();
      caller =
          new Socket("127.0.0.1", ((ServerConnector) server.getConnectors()[0]).getLocalPort());
    }

    @AfterMethod
    public void stop() throws Exception {
      caller.close();
      server.stop();
    }

    private Exchange next() throws InterruptedException {
      return exchanges.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    }

    private void send(String text) throws Exception {
      caller.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    @Test
    public void closeInTheReceiveBufferIsSeen() throws Exception {
      send(REQUEST);
      Exchange exchange = next();
      assertFalse(exchange.endPoint().isClosedByCaller());
      caller.close();
      long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
      while (!exchange.endPoint().isClosedByCaller() && System.nanoTime() < deadline) {
        TimeUnit.MILLISECONDS.sleep(1);
      }
      assertTrue(exchange.endPoint().isClosedByCaller());
      exchange.callback().succeeded();
    }

    // Guards against a request that is lost because the check has read its bytes.
    @Test
    public void nextRequestOnTheConnectionIsKept() throws Exception {
      for (boolean watched : new boolean[] {false, true}) {
        send(REQUEST + REQUEST);
        Exchange first = next();
        if (watched) {
          first.endPoint().watchForClose(() -> {});
        }
        assertFalse(first.endPoint().isClosedByCaller());
        assertFalse(first.endPoint().isClosedByCaller());
        first.endPoint().stopWatching();
        first.callback().succeeded();
        next().callback().succeeded();
        assertEquals(readHeads(2), 2);
      }
    }

    // Guards against a request that was read and is dropped without an answer, because the thread
    // that begins it was late by the time after which a stopping host closes connections.
    @Test
    public void requestThatWasReadIsAnsweredByALateThread() throws Exception {
      send(REQUEST);
      Exchange exchange = next();
      long now = System.nanoTime();
      exchange.endPoint().closeIfQuiet(now);
      exchange.endPoint().closeIfQuiet(now + TimeUnit.SECONDS.toNanos(1));
      exchange.callback().succeeded();
      assertEquals(readHeads(1), 1);
    }

    private int readHeads(int count) throws Exception {
      InputStream in = caller.getInputStream();
      StringBuilder text = new StringBuilder();
      int heads = 0;
      while (heads < count) {
        int next = in.read();
        if (next < 0) {
          return heads;
        }
        text.append((char) next);
        if (text.toString().endsWith("\r\n\r\n")) {
          heads++;
        }
      }
      return heads;
    }

    private final class HoldingHandler extends Handler.Abstract {
      @Override
      public boolean handle(Request request, Response response, Callback callback) {
        CloseAwareEndPoint endPoint =
            (CloseAwareEndPoint) request.getConnectionMetaData().getConnection().getEndPoint();
        exchanges.add(new Exchange(endPoint, callback));
        return true;
      }
    }
  }
}
