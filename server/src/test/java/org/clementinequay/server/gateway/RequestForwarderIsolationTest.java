package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.clementinequay.core.forward.RequestKind;
import org.testng.annotations.Test;

/** Guards against exceptions that cost more than the attempt or the request in which they occur. */
public class RequestForwarderIsolationTest {
  private static final List<String> CALLER_NAMES_MODEL = List.of();

  /** Upstreams to which no call can be made, for instance because of their address. */
  public static class UnusableUpstreams {
    private static GatewayFixture fixture(Predicate<OutboundRequest> unusable) {
      GatewayFixture[] fixture = new GatewayFixture[1];
      fixture[0] =
          new GatewayFixture(
              (request, listener) -> {
                if (unusable.test(request)) {
                  throw new IllegalArgumentException("unusable address");
                }
                return fixture[0].send(request, listener);
              });
      return fixture[0];
    }

    // Guards against a request that is never answered because one of the upstreams is unusable.
    @Test
    public void anotherUpstreamServesTheRequest() {
      Set<String> unusable = new HashSet<>();
      GatewayFixture fixture =
          fixture(request -> unusable.isEmpty() && unusable.add(request.headers().get("instance")));
      fixture.start(RequestKind.AT_MOST_ONCE, CALLER_NAMES_MODEL);
      assertEquals(fixture.sent.size(), 1);
      assertNotEquals(Set.of(fixture.lastAttempt().headers.get("instance")), unusable);
      fixture.lastAttempt().respond(200, GatewayFixture.ownRequestId(), "ok");
      assertEquals(fixture.response.body.toString(), "ok");
    }

    @Test
    public void requestIsRefusedAsNotRunIfThereIsNoOther() {
      GatewayFixture fixture = fixture(request -> true);
      fixture.start(RequestKind.AT_MOST_ONCE, CALLER_NAMES_MODEL);
      assertEquals(fixture.response.status, 503);
      assertTrue(fixture.gateway.activeRequests.isEmpty());
    }
  }

  /** Requests whose handling fails unexpectedly. */
  public static class UnexpectedExceptions {
    // Guards against requests whose deadline is not kept because the check of another one fails.
    @Test
    public void endOneRequestOnly() {
      GatewayFixture fixture = new GatewayFixture();
      RequestWatchdog watchdog = new RequestWatchdog(fixture.gateway);
      RequestForwarder failing = fixture.start(RequestKind.AT_MOST_ONCE, CALLER_NAMES_MODEL);
      for (int i = 0; i < 20; i++) {
        fixture.start(RequestKind.AT_MOST_ONCE, CALLER_NAMES_MODEL);
      }
      failing.current.call = null;
      fixture.clock.advance(Duration.ofSeconds(6));
      watchdog.step();
      assertTrue(fixture.gateway.activeRequests.isEmpty());
      assertEquals(fixture.finishedStatuses.size(), 21);
    }

    // Guards against a refusal that says the request has not run, if the handling of its answer
    // fails after the attempt was taken out and before it counted as one that may have run.
    @Test
    public void leadToNoRefusalOfARequestThatMayHaveRun() {
      GatewayFixture fixture = new GatewayFixture();
      RequestForwarder forwarder = fixture.start(RequestKind.AT_MOST_ONCE, CALLER_NAMES_MODEL);
      forwarder.update(
          () -> {
            forwarder.current = null;
            throw new IllegalStateException("unexpected");
          });
      assertEquals(fixture.response.status, 502);
    }

    @Test
    public void areAnswered() {
      GatewayFixture fixture = new GatewayFixture();
      RequestForwarder forwarder = fixture.start(RequestKind.AT_MOST_ONCE, CALLER_NAMES_MODEL);
      forwarder.update(
          () -> {
            throw new IllegalStateException("unexpected");
          });
      assertEquals(fixture.response.status, 502);
      assertTrue(fixture.lastAttempt().abandoned);
    }
  }
}
