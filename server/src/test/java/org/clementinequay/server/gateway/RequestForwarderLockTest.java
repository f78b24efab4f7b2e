package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.CyclicBarrier;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.forward.RequestKind;
import org.clementinequay.server.upstream.UpstreamListener;
import org.clementinequay.server.upstream.UpstreamTransport;
import org.testng.annotations.Test;

/** Guards against requests that wait for each other's locks. */
public class RequestForwarderLockTest {
  private static final int TIMEOUT_SECONDS = 20;

  /** Two requests that are sent at the same moment. */
  public static class SimultaneousRequests {
    // The HTTP client sends whichever request is first in the queue of an upstream, also one that
    // another thread has put there. Guards against hosts whose requests deadlock in that case.
    @Test
    public void eachMayBeSentByTheThreadOfTheOther() throws Exception {
      CyclicBarrier bothStarted = new CyclicBarrier(2);
      List<UpstreamListener> listeners = new ArrayList<>();
      GatewayFixture fixture =
          new GatewayFixture(
              (request, listener) -> {
                synchronized (listeners) {
                  listeners.add(listener);
                }
                return new SwappedCall(bothStarted, listeners, listener);
              });
      CountDownLatch finished = new CountDownLatch(2);
      for (int i = 0; i < 2; i++) {
        RequestForwarder forwarder = fixture.create(RequestKind.AT_MOST_ONCE, List.of());
        Thread thread =
            new Thread(
                () -> {
                  forwarder.start();
                  finished.countDown();
                });
        thread.setDaemon(true);
        thread.start();
      }
      assertTrue(finished.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), "deadlock");
      assertEquals(listeners.size(), 2);
    }
  }

  /** Call that sends the other of two requests once both have been started. */
  private record SwappedCall(
      CyclicBarrier bothStarted, List<UpstreamListener> listeners, UpstreamListener own)
      implements UpstreamTransport.Call {
    @Override
    public void start() {
      try {
        bothStarted.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      } catch (Exception e) {
        throw new IllegalStateException(e);
      }
      UpstreamListener other;
      synchronized (listeners) {
        other = listeners.get(listeners.get(0) == own ? 1 : 0);
      }
      assertTrue(other.isStillNeeded());
    }

    @Override
    public void abort(Throwable cause) {}
  }
}
