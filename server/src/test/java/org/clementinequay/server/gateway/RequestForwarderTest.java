package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.clementinequay.core.forward.RequestKind;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.quarantine.SharedPart;
import org.clementinequay.core.rollout.ShiftOrder;
import org.clementinequay.core.rollout.TrafficShift;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests that run twice, and against false, mixed-up and lost responses. */
public class RequestForwarderTest {
  private static final List<String> CALLER_NAMES_MODEL = List.of();
  private static final HttpFields NOT_RUN =
      HttpFields.build(GatewayFixture.ownRequestId()).put("not-run", "1");

  private static String event(int id) {
    return "id: " + id + "\ndata: x\n\n";
  }

  /** Requests that run at most once. */
  public static class AtMostOnce {
    private GatewayFixture fixture;
    private RequestForwarder forwarder;

    @BeforeMethod
    public void start() {
      fixture = new GatewayFixture();
      forwarder = fixture.start(RequestKind.AT_MOST_ONCE, CALLER_NAMES_MODEL);
    }

    @Test
    public void lostResponseIsNotRetriedAndHasNoRetryAfter() {
      fixture.lastAttempt().fail(true);
      assertEquals(fixture.sent.size(), 1);
      assertEquals(fixture.response.status, 502);
      assertNull(fixture.response.headers.get(HttpHeader.RETRY_AFTER));
      assertTrue(fixture.finishedCallbackRun);
    }

    // Guards against requests that wait for a connection and reach an upstream that is leaving.
    @Test
    public void requestIsNotSentToAnUpstreamThatLeavesMeanwhile() {
      String first = fixture.lastAttempt().headers.get("instance");
      assertTrue(fixture.lastAttempt().isStillNeeded());
      fixture.gateway.updateInstances(
          List.of("a", "b", "c").stream()
              .map(id -> GatewayFixture.instance(id, id.equals(first)))
              .toList());
      assertFalse(fixture.lastAttempt().isStillNeeded());
      fixture.lastAttempt().fail(false);
      assertNotEquals(fixture.lastAttempt().headers.get("instance"), first);
      assertEquals(fixture.response.status, 0);
    }

    // Guards against requests to an upstream that has said in an answer that it is leaving, while
    // the list, which is old, names it as available.
    @Test
    public void requestIsNotSentToAnUpstreamThatSaidThatItIsLeaving() {
      String first = fixture.lastAttempt().headers.get("instance");
      HttpFields answer = HttpFields.build(GatewayFixture.ownRequestId()).put("leaving", "1");
      fixture.lastAttempt().respond(200, answer, "ok");
      assertEquals(fixture.response.body.toString(), "ok");
      assertFalse(
          fixture.gateway.available("s").stream().anyMatch(other -> other.id().equals(first)));
      assertEquals(fixture.gateway.available("s").size(), 2);
    }

    @Test
    public void unreachableUpstreamIsReplaced() {
      fixture.lastAttempt().fail(false);
      assertEquals(fixture.sent.size(), 2);
      fixture.lastAttempt().respond(200, GatewayFixture.ownRequestId(), "ok");
      assertEquals(fixture.response.body.toString(), "ok");
    }

    // Replays the crash of a third of the upstreams under load: every request that was placed there
    // finds its connection refused, and together they need more retries than the budget has.
    @Test
    public void requestsToCrashedUpstreamsAreServedElsewhereWhateverTheBudget() {
      GatewayFixture loaded = new GatewayFixture();
      while (loaded.gateway.tryRetry("s")) {
        // Empties the retry budget.
      }
      for (RequestKind kind : List.of(RequestKind.AT_MOST_ONCE, RequestKind.RESUMABLE_STREAM)) {
        for (int i = 0; i < 50; i++) {
          loaded.response.status = 0;
          loaded.start(kind, CALLER_NAMES_MODEL);
          loaded.lastAttempt().fail(false);
          loaded.gateway.health.readmitEjected();
          assertEquals(loaded.response.status, 0, "refused");
        }
      }
      assertEquals(loaded.sent.size(), 2 * 2 * 50);
    }

    // Guards against repeats that reach upstreams beyond the budget.
    @Test
    public void rejectionIsNotRepeatedWithoutBudget() {
      GatewayFixture loaded = new GatewayFixture();
      loaded.start(RequestKind.AT_MOST_ONCE, CALLER_NAMES_MODEL);
      while (loaded.gateway.tryRetry("s")) {
        // Empties the retry budget.
      }
      loaded.lastAttempt().respond(503, NOT_RUN, "");
      assertEquals(loaded.sent.size(), 1);
      assertEquals(loaded.response.status, 503);
    }

    @Test
    public void rejectionByAllUpstreamsIsARefusalWithRetryAfter() {
      for (int i = 0; i < 3; i++) {
        fixture.lastAttempt().respond(503, NOT_RUN, "");
      }
      assertEquals(fixture.sent.size(), 3);
      assertEquals(fixture.response.status, 503);
      assertNotNull(fixture.response.headers.get(HttpHeader.RETRY_AFTER));
    }

    // Guards against a failed request after the list of upstreams was out of date.
    @Test
    public void misdirectedRequestDoesNotCountAsAttempt() {
      fixture.lastAttempt().respond(421, HttpFields.EMPTY, "");
      fixture.lastAttempt().respond(421, HttpFields.EMPTY, "");
      fixture.lastAttempt().respond(200, GatewayFixture.ownRequestId(), "ok");
      assertEquals(fixture.response.body.toString(), "ok");
    }

    // Guards against a success whose body is not the one that callers request.
    @Test
    public void encodedSuccessBecomesBadGateway() {
      fixture
          .lastAttempt()
          .respond(
              200,
              HttpFields.build(GatewayFixture.ownRequestId())
                  .put(HttpHeader.CONTENT_ENCODING, "gzip"),
              "encoded");
      assertEquals(fixture.sent.size(), 1);
      assertEquals(fixture.response.status, 502);
    }

    @Test
    public void unavailableWithoutNotRunStatementBecomesBadGateway() {
      fixture.lastAttempt().respond(503, GatewayFixture.ownRequestId(), "");
      assertEquals(fixture.response.status, 502);
    }

    @Test
    public void tooManyRequestsWithoutNotRunStatementBecomesBadGateway() {
      fixture.lastAttempt().respond(429, GatewayFixture.ownRequestId(), "");
      assertEquals(fixture.response.status, 502);
    }

    @Test
    public void lostResponseAfterARejectionBecomesBadGateway() {
      fixture.lastAttempt().respond(503, NOT_RUN, "");
      fixture.lastAttempt().fail(true);
      assertEquals(fixture.response.status, 502);
    }

    @Test
    public void responseToAnotherRequestIsNotPassedOn() {
      fixture.lastAttempt().respond(200, HttpFields.build().put("id", "r-0"), "theirs");
      assertEquals(fixture.response.status, 502);
      assertFalse(fixture.response.body.toString().contains("theirs"));
      assertTrue(fixture.lastAttempt().abandoned);
    }

    @Test
    public void successWithoutAuthenticationCodeIsNotPassedOn() {
      HttpFields withoutCode = HttpFields.build(GatewayFixture.ownRequestId()).put("unsealed", "1");
      fixture.lastAttempt().respond(200, withoutCode, "spoilt");
      assertEquals(fixture.response.status, 502);
    }

    @Test
    public void deadlineEndsTheRequest() {
      fixture.clock.advance(Duration.ofSeconds(5));
      forwarder.checkDeadline();
      assertFalse(fixture.lastAttempt().abandoned);
      fixture.clock.advance(Duration.ofMillis(RequestForwarder.DEADLINE_GRACE_MILLIS));
      forwarder.checkDeadline();
      assertEquals(fixture.response.status, 504);
      assertTrue(fixture.lastAttempt().abandoned);
      assertTrue(fixture.gateway.activeRequests.isEmpty());
    }
  }

  /** Requests that may be retried. */
  public static class Idempotent {
    private GatewayFixture fixture;
    private RequestForwarder forwarder;

    @BeforeMethod
    public void start() {
      fixture = new GatewayFixture();
      forwarder = fixture.start(RequestKind.IDEMPOTENT, CALLER_NAMES_MODEL);
    }

    @Test
    public void failureIsRetriedOnAnotherUpstream() {
      fixture.lastAttempt().respond(500, GatewayFixture.ownRequestId(), "bad");
      assertEquals(fixture.sent.size(), 2);
      assertNotEquals(
          fixture.sent.get(0).headers.get("instance"),
          fixture.lastAttempt().headers.get("instance"));
      fixture.lastAttempt().respond(200, GatewayFixture.ownRequestId(), "ok");
      assertEquals(fixture.response.status, 200);
    }

    @Test
    public void lastFailureIsPassedOnUnchanged() {
      for (int i = 0; i < 3; i++) {
        fixture.lastAttempt().respond(500, GatewayFixture.ownRequestId(), "bad");
      }
      assertEquals(fixture.sent.size(), 3);
      assertEquals(fixture.response.status, 500);
      assertEquals(fixture.response.body.toString(), "bad");
    }

    @Test
    public void stalledUpstreamIsReplaced() {
      fixture.clock.advance(Duration.ofMillis(2100));
      forwarder.checkProgress(fixture.clock.nanoTime());
      assertTrue(fixture.sent.get(0).abandoned);
      assertEquals(fixture.sent.size(), 2);
    }

    // Guards against a forwarder that stays active forever because its caller disconnected before
    // it was started.
    @Test
    public void callerThatDisconnectsBeforeTheStartLeavesNoActiveRequest() {
      GatewayFixture other = new GatewayFixture();
      RequestForwarder unstarted = other.create(RequestKind.IDEMPOTENT, CALLER_NAMES_MODEL);
      unstarted.callerDisconnected();
      unstarted.start();
      assertTrue(other.sent.isEmpty());
      assertTrue(other.gateway.activeRequests.isEmpty());
    }

    // Guards against work for callers that left while a host just started was behind with reading:
    // the request and the close then arrive together, and no event announces the close.
    @Test
    public void requestOfACallerThatHasLeftIsNotSent() {
      GatewayFixture other = new GatewayFixture();
      other.response.disconnected = true;
      other.start(RequestKind.IDEMPOTENT, CALLER_NAMES_MODEL);
      assertTrue(other.sent.isEmpty());
      assertTrue(other.response.aborted);
      assertTrue(other.gateway.activeRequests.isEmpty());
    }

    @Test
    public void requestOfACallerThatLeavesDuringTheConnectIsNotSent() {
      assertTrue(fixture.lastAttempt().isStillNeeded());
      fixture.response.disconnected = true;
      assertFalse(fixture.lastAttempt().isStillNeeded());
      assertTrue(fixture.lastAttempt().abandoned);
      assertTrue(fixture.response.aborted);
    }

    @Test
    public void disconnectedCallerAbandonsTheAttempt() {
      forwarder.callerDisconnected();
      assertTrue(fixture.lastAttempt().abandoned);
      fixture.lastAttempt().respond(200, GatewayFixture.ownRequestId(), "ok");
      assertFalse(fixture.response.complete);
    }
  }

  /** Event streams. */
  public static class Streams {
    private GatewayFixture fixture;

    @BeforeMethod
    public void start() {
      fixture = new GatewayFixture();
    }

    @Test
    public void brokenStreamIsResumedAfterTheLastCompleteEvent() {
      fixture.start(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
      fixture.lastAttempt().sendHead(200);
      fixture.lastAttempt().sendContent(event(1) + event(2) + "id: 3\nda");
      fixture.lastAttempt().fail(true);
      assertEquals(fixture.lastAttempt().headers.get("last"), "2");
      fixture.lastAttempt().sendHead(200);
      fixture.lastAttempt().sendContent(event(3));
      fixture.lastAttempt().endResponse();
      assertEquals(fixture.response.body.toString(), event(1) + event(2) + event(3));
      assertTrue(fixture.response.complete);
    }

    // Guards against a stream that is aborted because the upstream that resumed it failed.
    @Test
    public void resumedStreamContinuesAfterAFailure() {
      fixture.start(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
      fixture.lastAttempt().sendHead(200);
      fixture.lastAttempt().sendContent(event(1));
      fixture.lastAttempt().fail(true);
      fixture.lastAttempt().respond(500, GatewayFixture.ownRequestId(), "");
      assertEquals(fixture.sent.size(), 3);
      fixture.lastAttempt().sendHead(200);
      fixture.lastAttempt().sendContent(event(2));
      fixture.lastAttempt().endResponse();
      assertEquals(fixture.response.body.toString(), event(1) + event(2));
    }

    @DataProvider
    public Object[][] responsesWithoutEvents() {
      return new Object[][] {
        {301, false},
        {400, false},
        {404, false},
        {408, false},
        {409, false},
        {421, false},
        {429, true},
        {500, false},
        {503, false},
        {503, true},
      };
    }

    // Guards against the body of a failure within a stream, and against a stream that ends as
    // complete before its last event.
    @Test(dataProvider = "responsesWithoutEvents")
    public void streamThatHasBegunTakesNoOtherResponse(int status, boolean notRun) {
      fixture.start(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
      fixture.lastAttempt().sendHead(200);
      fixture.lastAttempt().sendContent(event(1));
      fixture.lastAttempt().fail(true);
      for (int i = 0; i < 3; i++) {
        fixture
            .lastAttempt()
            .respond(status, notRun ? NOT_RUN : GatewayFixture.ownRequestId(), "foreign text");
      }
      assertEquals(fixture.response.status, 200);
      assertEquals(fixture.response.body.toString(), event(1));
      assertFalse(fixture.response.complete);
      assertTrue(fixture.response.aborted);
    }

    // Guards against a refusal that states the request has not run after a smaller model ran it.
    @Test
    public void rejectionAfterALowConfidenceAnswerBecomesBadGateway() {
      fixture.gateway.updateInstances(List.of(GatewayFixture.instance("a")));
      fixture.start(RequestKind.RESUMABLE_STREAM, List.of("small", "large"));
      fixture.lastAttempt().sendHead(200, "10");
      fixture.lastAttempt().respond(503, NOT_RUN, "");
      assertEquals(fixture.response.status, 502);
    }

    // Guards against the rollback of a good version because one of its engines crashed.
    @Test
    public void brokenConnectionIsNoEvidenceAgainstAVersion() {
      TrafficShift shift =
          fixture.gateway.applyOrder(new ShiftOrder("s", "v2", Duration.ofSeconds(20), 5));
      fixture.start(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
      fixture.lastAttempt().fail(true);
      assertTrue(shift.evidence().isEmpty());
      fixture.lastAttempt().respond(500, GatewayFixture.ownRequestId(), "");
      assertEquals(shift.evidence().size(), 1);
    }

    @Test
    public void attemptThatIsGivenUpForSilenceIsRecordedWhileTrafficMoves() {
      fixture.gateway.applyOrder(new ShiftOrder("s", "v2", Duration.ofSeconds(20), 5));
      RequestForwarder forwarder = fixture.start(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
      String stalled = fixture.lastAttempt().headers.get("instance");
      fixture.clock.advance(Duration.ofMillis(3000));
      forwarder.checkProgress(fixture.clock.nanoTime());
      assertEquals(fixture.sent.size(), 2);
      assertEquals(
          fixture.gateway.takeStalled(),
          List.of(new StalledAttempt(GatewayFixture.instance(stalled), "route")));
    }

    // Guards against a stream that is aborted although its engine would have continued.
    @Test
    public void stalledStreamStaysIfNoOtherUpstreamIsLeft() {
      fixture.gateway.updateInstances(List.of(GatewayFixture.instance("a")));
      RequestForwarder forwarder = fixture.start(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
      fixture.clock.advance(Duration.ofMillis(3000));
      forwarder.checkProgress(fixture.clock.nanoTime());
      assertFalse(fixture.lastAttempt().abandoned);
      assertEquals(fixture.sent.size(), 1);
    }

    @Test
    public void brokenAtMostOnceStreamIsAborted() {
      fixture.start(RequestKind.STREAM, CALLER_NAMES_MODEL);
      fixture.lastAttempt().sendHead(200);
      fixture.lastAttempt().sendContent(event(1));
      fixture.lastAttempt().fail(true);
      assertEquals(fixture.sent.size(), 1);
      assertTrue(fixture.response.aborted);
      assertFalse(fixture.response.complete);
    }

    @Test
    public void streamThatEndsInsideAnEventIsNotComplete() {
      fixture.start(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
      fixture.lastAttempt().sendHead(200);
      fixture.lastAttempt().sendContent(event(1) + "id: 2");
      fixture.lastAttempt().endResponse();
      assertFalse(fixture.response.complete);
      assertEquals(fixture.sent.size(), 2);
    }

    @Test
    public void lowConfidenceAnswerIsReplacedByTheLargestModelBeforeAnyByte() {
      fixture.start(RequestKind.RESUMABLE_STREAM, List.of("small", "large"));
      assertEquals(fixture.lastAttempt().headers.get("model"), "small");
      fixture.lastAttempt().sendHead(200, "10");
      assertTrue(fixture.sent.get(0).abandoned);
      assertEquals(fixture.lastAttempt().headers.get("model"), "large");
      assertEquals(fixture.response.status, 0);
      fixture.lastAttempt().sendHead(200, "10");
      fixture.lastAttempt().sendContent(event(1));
      assertEquals(fixture.response.body.toString(), event(1));
    }

    // Guards against larger models that fill the engines of a failure domain that is cut off with
    // late answers.
    @Test
    public void lowConfidenceAnswerAfterALongWaitIsKept() {
      GatewayFixture fixture = new GatewayFixture();
      fixture.start(RequestKind.RESUMABLE_STREAM, List.of("small", "large"));
      fixture.clock.advance(Duration.ofMillis(600));
      fixture.lastAttempt().sendHead(200, "10");
      fixture.lastAttempt().sendContent(event(1));
      fixture.lastAttempt().endResponse();
      assertEquals(fixture.sent.size(), 1);
      assertEquals(fixture.response.body.toString(), event(1));
    }

    @Test
    public void highConfidenceAnswerIsKept() {
      fixture.start(RequestKind.RESUMABLE_STREAM, List.of("small", "large"));
      fixture.lastAttempt().sendHead(200, "90");
      fixture.lastAttempt().sendContent(event(1));
      assertEquals(fixture.sent.size(), 1);
    }
  }

  /** A failure domain that was cut off from the others and is connected again. */
  public static class AfterPartition {
    // Guards against refusals for seconds after a network partition, when the entry of the local
    // upstream has expired and the remote ones are ejected.
    @Test
    public void upstreamsAreAvailableRightAfterThePartition() {
      GatewayFixture fixture = new GatewayFixture();
      List<UpstreamInstance> remote =
          List.of(GatewayFixture.instance("b"), GatewayFixture.instance("c"));
      fixture.gateway.health.recordUnreachable("b");
      fixture.gateway.health.recordUnreachable("c");
      fixture.clock.advance(Duration.ofSeconds(5));
      fixture.gateway.engineSelector.recordReceived("a", fixture.clock.nanoTime());
      fixture.gateway.updateInstances(remote);
      assertEquals(fixture.gateway.available("s").size(), 3);
      assertTrue(fixture.gateway.health.available("b"));
      fixture.clock.advance(Duration.ofMillis(2100));
      fixture.gateway.updateInstances(remote);
      assertEquals(fixture.gateway.available("s").size(), 2);
    }
  }

  /** Requests with a part of the prompt under which upstreams crash. */
  public static class CrashingParts {
    private static final SharedPart BAD = new SharedPart("s", "bad");
    private static final Duration QUARANTINE = Duration.ofSeconds(60);

    private GatewayFixture fixture;

    @BeforeMethod
    public void create() {
      fixture = new GatewayFixture();
      fixture.clock.advance(Duration.ofMillis(1));
      fixture.promptParts =
          List.of(new PromptPart("first", 5), new PromptPart("bad", 5), new PromptPart("own", 5));
    }

    private RequestForwarder start() {
      return fixture.start(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
    }

    private List<CrashGuard.BrokenAttempt> reported() {
      return fixture.gateway.crashGuard.takeBroken();
    }

    @Test
    public void requestWithAQuarantinedPartIsRefusedAtOnceAsNotRun() {
      fixture.gateway.crashGuard.quarantine(BAD, QUARANTINE);
      start();
      assertEquals(fixture.sent.size(), 0);
      assertEquals(fixture.response.status, 503);
      assertEquals(fixture.response.headers.get(HttpHeader.RETRY_AFTER), "60.00");
    }

    @Test
    public void requestWithTheSameOwnPartIsSent() {
      fixture.gateway.crashGuard.quarantine(new SharedPart("s", "own"), QUARANTINE);
      start();
      assertEquals(fixture.sent.size(), 1);
    }

    @Test
    public void requestThatWaitsAtAnUpstreamIsTakenBack() {
      RequestForwarder forwarder = start();
      fixture.gateway.crashGuard.quarantine(BAD, QUARANTINE);
      forwarder.endIfQuarantined();
      assertTrue(fixture.lastAttempt().abandoned);
      assertEquals(fixture.response.status, 502);
    }

    @Test
    public void streamThatHasBegunGoesOn() {
      RequestForwarder forwarder = start();
      fixture.lastAttempt().sendHead(200);
      fixture.lastAttempt().sendContent(event(1));
      fixture.gateway.crashGuard.quarantine(BAD, QUARANTINE);
      forwarder.endIfQuarantined();
      fixture.lastAttempt().sendContent(event(2));
      fixture.lastAttempt().endResponse();
      assertTrue(fixture.response.complete);
      assertFalse(fixture.gateway.crashGuard.quarantined("s", List.of("bad")).isPresent());
    }

    @Test
    public void brokenRequestIsNotSentToAnotherUpstream() {
      start();
      fixture.gateway.crashGuard.quarantine(BAD, QUARANTINE);
      fixture.lastAttempt().fail(true);
      assertEquals(fixture.sent.size(), 1);
      assertEquals(fixture.response.status, 502);
    }

    @Test
    public void attemptThatBreaksAtItsFirstEventIsReportedWithItsSharedParts() {
      start();
      fixture.lastAttempt().sendHead(200);
      fixture.lastAttempt().sendContent(event(1));
      fixture.lastAttempt().fail(true);
      assertEquals(reported().get(0).report().partIds(), List.of("first", "bad"));
    }

    @Test
    public void attemptThatBreaksLaterIsNotReported() {
      start();
      fixture.lastAttempt().sendHead(200);
      fixture.lastAttempt().sendContent(event(1));
      fixture.clock.advance(Duration.ofMillis(400));
      fixture.lastAttempt().fail(true);
      assertEquals(reported(), List.of());
    }

    @Test
    public void unreachableUpstreamIsNotReported() {
      start();
      fixture.lastAttempt().fail(false);
      assertEquals(reported(), List.of());
    }
  }
}
