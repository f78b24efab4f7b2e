package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.clementinequay.core.forward.RequestKind;
import org.clementinequay.core.stop.StopAdmission;
import org.clementinequay.core.stop.StopSchedule;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests that a stopping host passes on or keeps although it cannot end them. */
public class RequestForwarderStopTest {
  private static final HttpFields NOT_RUN =
      HttpFields.build(GatewayFixture.ownRequestId()).put("not-run", "1");
  private static final Duration GRACE = Duration.ofSeconds(8);

  /** Later than requests are passed on without certainty that they end. */
  private static final Duration LATE = Duration.ofSeconds(4);

  private static String event(int id) {
    return "id: " + id + "\ndata: x\n\n";
  }

  /** A host that may stop. */
  public abstract static class Host {
    GatewayFixture fixture;

    @BeforeMethod
    public void start() {
      fixture = new GatewayFixture();
    }

    void stop() {
      fixture.gateway.startStop(
          new StopAdmission(StopSchedule.forGracePeriod(GRACE), fixture.clock.nanoTime()));
    }

    void assertRefusedAtOnce() {
      assertEquals(fixture.response.status, 503);
      assertEquals(fixture.response.headers.get(HttpHeader.RETRY_AFTER), "0.00");
      assertTrue(fixture.response.complete);
      assertTrue(fixture.finishedCallbackRun);
    }
  }

  /** Requests that reach the host after the signal. */
  public static class NewRequests extends Host {
    @DataProvider
    public Object[][] kinds() {
      return new Object[][] {{RequestKind.AT_MOST_ONCE}, {RequestKind.RESUMABLE_STREAM}};
    }

    @Test(dataProvider = "kinds")
    public void areRefusedIfTheyMayOutliveTheHost(RequestKind kind) {
      stop();
      fixture.clock.advance(LATE);
      fixture.start(kind, List.of());
      assertEquals(fixture.sent.size(), 0);
      assertRefusedAtOnce();
    }

    @Test(dataProvider = "kinds")
    public void arePassedOnIfTheirDeadlineIsNearer(RequestKind kind) {
      fixture.deadlineMillis = 1500;
      stop();
      fixture.clock.advance(LATE);
      fixture.start(kind, List.of());
      assertEquals(fixture.sent.size(), 1);
    }

    // Guards against an estimate for streams that consists of quick failures.
    @Test
    public void areNotEstimatedByFailures() {
      for (int i = 0; i < 8; i++) {
        fixture.start(RequestKind.RESUMABLE_STREAM, List.of());
        fixture.lastAttempt().respond(404, GatewayFixture.ownRequestId(), "no");
      }
      assertTrue(fixture.gateway.durations.usual("route").isEmpty());
    }

    // Guards against long streams that are taken on while connections are still accepted.
    @Test
    public void areRefusedIfSuchStreamsUsuallyTakeLonger() {
      fixture.deadlineMillis = 9000;
      for (int i = 0; i < 8; i++) {
        fixture.start(RequestKind.RESUMABLE_STREAM, List.of());
        fixture.clock.advance(Duration.ofMillis(5500));
        fixture.lastAttempt().sendHead(200);
        fixture.lastAttempt().sendContent(event(1));
        fixture.lastAttempt().endResponse();
      }
      int before = fixture.sent.size();
      stop();
      fixture.start(RequestKind.RESUMABLE_STREAM, List.of());
      assertEquals(fixture.sent.size(), before + 1);
      fixture.clock.advance(Duration.ofMillis(1900));
      fixture.start(RequestKind.RESUMABLE_STREAM, List.of());
      assertEquals(fixture.sent.size(), before + 1);
      assertRefusedAtOnce();
    }
  }

  /** Requests that were passed on before the signal. */
  public static class RequestsInProgress extends Host {
    private RequestForwarder forwarder;

    private void usuallyTake(Duration duration) {
      for (int i = 0; i < 8; i++) {
        fixture.gateway.durations.record("route", duration);
      }
    }

    private void startBeforeStop(RequestKind kind, List<String> modelsBySize) {
      fixture.deadlineMillis = 10_000;
      forwarder = fixture.start(kind, modelsBySize);
      stop();
      fixture.clock.advance(LATE);
    }

    // Guards against a late attempt after a refusal, which the end of the host would break off.
    @Test
    public void areRefusedInsteadOfSentAgain() {
      usuallyTake(Duration.ofMillis(3400));
      startBeforeStop(RequestKind.AT_MOST_ONCE, List.of());
      fixture.lastAttempt().respond(503, NOT_RUN, "full");
      assertEquals(fixture.sent.size(), 1);
      assertRefusedAtOnce();
    }

    // Guards against a request that fails, or stays at a silent engine until the host ends,
    // although
    // its retry usually ends in time.
    @Test
    public void areSentAgainWhileTheUsualTimeIsLeft() {
      usuallyTake(Duration.ofMillis(500));
      startBeforeStop(RequestKind.RESUMABLE_STREAM, List.of());
      fixture.lastAttempt().fail(true);
      assertEquals(fixture.sent.size(), 2);
      fixture.clock.advance(Duration.ofMillis(1500));
      forwarder.checkProgress(fixture.clock.nanoTime());
      assertEquals(fixture.sent.size(), 3);
    }

    // Guards against an answer that was dropped for a larger model whose attempt is then refused.
    @Test
    public void areSentToTheLargerModelOnceThatIsDecided() {
      usuallyTake(Duration.ofMillis(5450));
      fixture.deadlineMillis = 10_000;
      stop();
      fixture.clock.advance(Duration.ofMillis(1800));
      fixture.start(RequestKind.RESUMABLE_STREAM, List.of("small", "large"));
      fixture.clock.advance(Duration.ofMillis(20));
      fixture.lastAttempt().sendHead(200, "1");
      assertEquals(fixture.sent.size(), 2);
      fixture.clock.advance(Duration.ofMillis(40));
      assertTrue(fixture.lastAttempt().isStillNeeded());
    }

    // Guards against a request that waits for a connection and is sent just before the end.
    @Test
    public void areRefusedWhileTheyWaitForAConnection() {
      usuallyTake(Duration.ofMillis(3400));
      startBeforeStop(RequestKind.AT_MOST_ONCE, List.of());
      assertFalse(fixture.lastAttempt().isStillNeeded());
      assertTrue(fixture.lastAttempt().abandoned);
      assertRefusedAtOnce();
    }

    // Guards against a promise that a request has not run although an upstream had it.
    @Test
    public void getNoPromiseIfTheyMayHaveRun() {
      usuallyTake(Duration.ofMillis(3400));
      startBeforeStop(RequestKind.RESUMABLE_STREAM, List.of());
      fixture.lastAttempt().fail(true);
      assertEquals(fixture.sent.size(), 1);
      assertEquals(fixture.response.status, 502);
      assertNull(fixture.response.headers.get(HttpHeader.RETRY_AFTER));
    }

    // Guards against an answer that is dropped for a better one that can no longer be complete.
    @Test
    public void keepTheAnswerOfTheSmallerModel() {
      usuallyTake(Duration.ofMillis(3400));
      startBeforeStop(RequestKind.RESUMABLE_STREAM, List.of("small", "large"));
      fixture.lastAttempt().sendHead(200, "1");
      fixture.lastAttempt().sendContent(event(1));
      fixture.lastAttempt().endResponse();
      assertEquals(fixture.sent.size(), 1);
      assertEquals(fixture.response.body.toString(), event(1));
      assertTrue(fixture.response.complete);
    }

    // Guards against a stream that is broken off although another engine could go on with it.
    @Test
    public void streamsThatHaveBegunAreStillMoved() {
      usuallyTake(Duration.ofMillis(3400));
      startBeforeStop(RequestKind.RESUMABLE_STREAM, List.of());
      fixture.lastAttempt().sendHead(200);
      fixture.lastAttempt().sendContent(event(1));
      fixture.lastAttempt().fail(true);
      assertEquals(fixture.sent.size(), 2);
      assertEquals(fixture.lastAttempt().headers.get("last"), "1");
    }

    // Guards against requests that end without an answer when the host ends.
    @Test
    public void getAFailureAtTheEnd() {
      startBeforeStop(RequestKind.AT_MOST_ONCE, List.of());
      assertTrue(fixture.lastAttempt().isStillNeeded());
      fixture.clock.advance(GRACE.minus(LATE));
      forwarder.endForStop();
      assertTrue(fixture.lastAttempt().abandoned);
      assertEquals(fixture.response.status, 502);
      assertTrue(fixture.response.complete);
    }

    // Guards against a promise that is withheld from a request that no upstream was sent.
    @Test
    public void getAPromiseAtTheEndIfTheyStillWait() {
      startBeforeStop(RequestKind.AT_MOST_ONCE, List.of());
      fixture.clock.advance(GRACE.minus(LATE));
      forwarder.endForStop();
      assertRefusedAtOnce();
    }

    @Test
    public void streamsThatHaveBegunAreBrokenOffAtTheEnd() {
      startBeforeStop(RequestKind.RESUMABLE_STREAM, List.of());
      fixture.lastAttempt().sendHead(200);
      fixture.lastAttempt().sendContent(event(1));
      forwarder.endForStop();
      assertTrue(fixture.response.aborted);
      assertFalse(fixture.response.complete);
    }
  }
}
