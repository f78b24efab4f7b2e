package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.clementinequay.core.forward.RequestKind;
import org.eclipse.jetty.http.HttpFields;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against answers that are lost because a sound upstream falls silent and goes on. */
public class SilentUpstreamTest {
  private static final List<String> CALLER_NAMES_MODEL = List.of();
  private static final HttpFields NOT_RUN =
      HttpFields.build(GatewayFixture.ownRequestId()).put("not-run", "1");

  private static String event(int id) {
    return "id: " + id + "\ndata: x\n\n";
  }

  /** Streams that have begun. */
  public static class BegunStreams {
    private GatewayFixture fixture;
    private RequestForwarder forwarder;
    private String silentUpstream;

    @BeforeMethod
    public void start() {
      fixture = new GatewayFixture();
      forwarder = fixture.start(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
      silentUpstream = fixture.lastAttempt().headers.get("instance");
      fixture.lastAttempt().sendHead(200);
      fixture.lastAttempt().sendContent(event(1));
    }

    private void fallSilent() {
      fixture.clock.advance(Duration.ofMillis(1500));
      forwarder.checkProgress(fixture.clock.nanoTime());
    }

    // Guards against a stream that is cut because the upstreams to which it is moved are full.
    @Test
    public void goOnAtTheSilentUpstreamIfAllOthersAreFull() {
      fallSilent();
      fixture.lastAttempt().respond(503, NOT_RUN, "");
      fixture.lastAttempt().respond(503, NOT_RUN, "");
      assertFalse(fixture.response.aborted);
      assertEquals(fixture.lastAttempt().headers.get("instance"), silentUpstream);
      assertEquals(fixture.lastAttempt().headers.get("last"), "1");
      fixture.lastAttempt().sendHead(200);
      fixture.lastAttempt().sendContent(event(2));
      fixture.lastAttempt().endResponse();
      assertEquals(fixture.response.body.toString(), event(1) + event(2));
      assertTrue(fixture.response.complete);
    }

    // Guards against a stream that is sent to and fro without end.
    @Test
    public void areBrokenOffIfTheSilentUpstreamIsFullToo() {
      fallSilent();
      for (int i = 0; i < 3; i++) {
        fixture.lastAttempt().respond(503, NOT_RUN, "");
      }
      assertTrue(fixture.response.aborted);
      assertEquals(fixture.sent.size(), 4);
    }

    @Test
    public void doNotGoBackToAnUpstreamThatLeaves() {
      fallSilent();
      fixture.gateway.updateInstances(
          List.of("a", "b", "c").stream()
              .map(id -> GatewayFixture.instance(id, id.equals(silentUpstream)))
              .toList());
      fixture.lastAttempt().respond(503, NOT_RUN, "");
      fixture.lastAttempt().respond(503, NOT_RUN, "");
      assertTrue(fixture.response.aborted);
      assertEquals(fixture.sent.size(), 3);
    }
  }

  /** Requests without an answer yet. */
  public static class Requests {
    @Test
    public void areAnsweredByTheSilentUpstreamIfAllOthersAreFull() {
      GatewayFixture fixture = new GatewayFixture();
      RequestForwarder forwarder = fixture.start(RequestKind.IDEMPOTENT, CALLER_NAMES_MODEL);
      fixture.clock.advance(Duration.ofMillis(2100));
      forwarder.checkProgress(fixture.clock.nanoTime());
      fixture.lastAttempt().respond(503, NOT_RUN, "");
      fixture.lastAttempt().respond(503, NOT_RUN, "");
      fixture.lastAttempt().respond(200, GatewayFixture.ownRequestId(), "ok");
      assertEquals(fixture.response.body.toString(), "ok");
    }
  }

  /** Time without a byte that a connection to an upstream bears. */
  public static class IdleTimeout {
    private static final long DEADLINE_MILLIS = 9000;

    // Guards against a stream that is cut for the silence of its upstream.
    @Test
    public void isTheRemainingTimeForEachKindOfRequest() {
      for (RequestKind kind : RequestKind.values()) {
        long[] idleMillis = new long[1];
        GatewayFixture[] fixture = new GatewayFixture[1];
        fixture[0] =
            new GatewayFixture(
                (request, listener) -> {
                  idleMillis[0] = request.idleTimeoutMillis();
                  return fixture[0].send(request, listener);
                });
        fixture[0].deadlineMillis = DEADLINE_MILLIS;
        fixture[0].start(kind, CALLER_NAMES_MODEL);
        assertEquals(idleMillis[0], DEADLINE_MILLIS, kind.name());
      }
    }
  }
}
