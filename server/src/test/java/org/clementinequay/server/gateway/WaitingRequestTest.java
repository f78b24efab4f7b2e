package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.clementinequay.core.forward.RequestKind;
import org.clementinequay.core.stop.StopAdmission;
import org.clementinequay.core.stop.StopSchedule;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards requests that wait for room against being forgotten, held too long or sent too often. */
public class WaitingRequestTest {
  private static final HttpFields NOT_RUN =
      HttpFields.build(GatewayFixture.ownRequestId()).put("not-run", "1");

  private GatewayFixture fixture;

  @BeforeMethod
  public void fillTheUpstreams() {
    fixture = new GatewayFixture(8);
    fixture.start(RequestKind.AT_MOST_ONCE, List.of());
    for (int i = 0; i < 3; i++) {
      fixture.lastAttempt().respond(503, NOT_RUN, "");
    }
  }

  private void pass(long millis) {
    fixture.clock.advance(Duration.ofMillis(millis));
    fixture.gateway.recheckWaiting();
  }

  // Before, the third rejection ended the request.
  @Test
  public void isOfferedAgainToAnUpstreamThatRejectedIt() {
    assertEquals(fixture.response.status, 0);
    pass(10);
    assertEquals(fixture.sent.size(), 3, "all pauses go on");
    pass(70);
    assertEquals(fixture.sent.size(), 4);
    fixture.lastAttempt().respond(200, GatewayFixture.ownRequestId(), "ok");
    assertEquals(fixture.response.body.toString(), "ok");
    assertEquals(fixture.gateway.waiting.size(), 0);
  }

  @Test
  public void isRejectedIfThereIsNoRoomInTime() {
    for (int i = 0; i < 10; i++) {
      pass(100);
      if (!fixture.lastAttempt().answered) {
        fixture.lastAttempt().respond(503, NOT_RUN, "");
      }
    }
    assertEquals(fixture.response.status, 503);
    // Pauses of 50, 100 and 200 ms at least fill half of the objective at each upstream.
    assertTrue(fixture.sent.size() <= 3 * 4, fixture.sent.size() + " offers");
    double seconds = Double.parseDouble(fixture.response.headers.get(HttpHeader.RETRY_AFTER));
    assertTrue(seconds > 0 && seconds < 2, "Retry-After " + seconds);
  }

  // An upstream that was full ends while it has the request.
  @Test
  public void isNotPromisedNotToHaveRunAfterACrash() {
    pass(80);
    fixture.lastAttempt().fail(true);
    assertEquals(fixture.response.status, 502);
  }

  @Test
  public void endsWithItsCaller() {
    fixture.forwarder().callerDisconnected();
    pass(80);
    assertEquals(fixture.sent.size(), 3);
    assertEquals(fixture.gateway.waiting.size(), 0);
  }

  @Test
  public void endsWithTheHost() {
    fixture.forwarder().endForStop();
    assertEquals(fixture.response.status, 503);
    pass(80);
    assertEquals(fixture.sent.size(), 3);
  }

  @Test
  public void isNotSentOnceTheHostStops() {
    StopSchedule schedule = StopSchedule.forGracePeriod(Duration.ofSeconds(8));
    long longAgo = fixture.clock.nanoTime() - Duration.ofSeconds(7).toNanos();
    fixture.gateway.startStop(new StopAdmission(schedule, longAgo));
    pass(80);
    assertEquals(fixture.sent.size(), 3);
    assertEquals(fixture.response.status, 503);
  }

  @Test
  public void isNotOfferedToAnUpstreamThatLeaves() {
    fixture.gateway.updateInstances(List.of());
    pass(80);
    assertEquals(fixture.sent.size(), 3);
    pass(500);
    assertEquals(fixture.response.status, 503);
    assertFalse(fixture.response.aborted);
  }

  // Guards against a request that takes all retries of its service without being sent.
  @Test
  public void takesNoRetriesWhileTheUpstreamsThatRejectedItAreGone() {
    fixture.gateway.updateInstances(List.of());
    for (int i = 0; i < 40; i++) {
      pass(10);
    }
    assertEquals(fixture.sent.size(), 3);
    assertTrue(fixture.gateway.tryRetry("s"));
  }
}
