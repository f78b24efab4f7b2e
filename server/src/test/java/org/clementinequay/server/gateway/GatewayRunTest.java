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
import org.clementinequay.core.rollout.ShiftOrder;
import org.clementinequay.core.rollout.TrafficShift;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against repeated, false, mixed and lost answers. */
public class GatewayRunTest {
  private static final List<String> CALLER_NAMES_MODEL = List.of();
  private static final HttpFields NOT_RUN =
      HttpFields.build(GatewayFixture.own()).put("not-run", "1");

  private static String event(int id) {
    return "id: " + id + "\ndata: x\n\n";
  }

  /** Calls that may run once. */
  public static class AtMostOnce {
    private GatewayFixture fixture;
    private GatewayRun run;

    @BeforeMethod
    public void start() {
      fixture = new GatewayFixture();
      run = fixture.run(RequestKind.AT_MOST_ONCE, CALLER_NAMES_MODEL);
    }

    @Test
    public void lostAnswerIsNotRepeatedAndPromisesNothing() {
      fixture.last().fail(true);
      assertEquals(fixture.sent.size(), 1);
      assertEquals(fixture.reply.status, 502);
      assertNull(fixture.reply.headers.get(HttpHeader.RETRY_AFTER));
      assertTrue(fixture.ended);
    }

    @Test
    public void unreachableUpstreamIsReplaced() {
      fixture.last().fail(false);
      assertEquals(fixture.sent.size(), 2);
      fixture.last().answer(200, GatewayFixture.own(), "ok");
      assertEquals(fixture.reply.body.toString(), "ok");
    }

    @Test
    public void rejectionByAllIsARefusalWithATimeToComeBack() {
      for (int i = 0; i < 3; i++) {
        fixture.last().answer(503, NOT_RUN, "");
      }
      assertEquals(fixture.sent.size(), 3);
      assertEquals(fixture.reply.status, 503);
      assertNotNull(fixture.reply.headers.get(HttpHeader.RETRY_AFTER));
    }

    // Guards against a request that fails because the list of upstreams was out of date.
    @Test
    public void addressOfAnotherProcessIsNoAttempt() {
      fixture.last().answer(421, HttpFields.EMPTY, "");
      fixture.last().answer(421, HttpFields.EMPTY, "");
      fixture.last().answer(200, GatewayFixture.own(), "ok");
      assertEquals(fixture.reply.body.toString(), "ok");
    }

    @Test
    public void unavailableWithoutStatementIsNoPromise() {
      fixture.last().answer(503, GatewayFixture.own(), "");
      assertEquals(fixture.reply.status, 502);
    }

    @Test
    public void tooManyRequestsWithoutStatementIsNoPromise() {
      fixture.last().answer(429, GatewayFixture.own(), "");
      assertEquals(fixture.reply.status, 502);
    }

    @Test
    public void rejectionAfterALostAnswerIsNoPromise() {
      fixture.last().answer(503, NOT_RUN, "");
      fixture.last().fail(true);
      assertEquals(fixture.reply.status, 502);
    }

    @Test
    public void answerToAnotherRequestIsNotPassedOn() {
      fixture.last().answer(200, HttpFields.build().put("id", "r-0"), "theirs");
      assertEquals(fixture.reply.status, 502);
      assertFalse(fixture.reply.body.toString().contains("theirs"));
      assertTrue(fixture.last().abandoned);
    }

    @Test
    public void successWithoutAuthenticationCodeIsNotPassedOn() {
      HttpFields unsealed = HttpFields.build(GatewayFixture.own()).put("unsealed", "1");
      fixture.last().answer(200, unsealed, "spoilt");
      assertEquals(fixture.reply.status, 502);
    }

    @Test
    public void timeLimitEndsTheRequest() {
      fixture.clock.advance(Duration.ofSeconds(5));
      run.checkLimit();
      assertFalse(fixture.last().abandoned);
      fixture.clock.advance(Duration.ofMillis(GatewayRun.LIMIT_GRACE_MILLIS));
      run.checkLimit();
      assertEquals(fixture.reply.status, 504);
      assertTrue(fixture.last().abandoned);
      assertTrue(fixture.gateway.active.isEmpty());
    }
  }

  /** Calls that may be repeated. */
  public static class Idempotent {
    private GatewayFixture fixture;
    private GatewayRun run;

    @BeforeMethod
    public void start() {
      fixture = new GatewayFixture();
      run = fixture.run(RequestKind.IDEMPOTENT, CALLER_NAMES_MODEL);
    }

    @Test
    public void failureIsRepeatedOnAnotherUpstream() {
      fixture.last().answer(500, GatewayFixture.own(), "bad");
      assertEquals(fixture.sent.size(), 2);
      assertNotEquals(
          fixture.sent.get(0).headers.get("instance"), fixture.last().headers.get("instance"));
      fixture.last().answer(200, GatewayFixture.own(), "ok");
      assertEquals(fixture.reply.status, 200);
    }

    @Test
    public void lastFailureIsPassedOnUnchanged() {
      for (int i = 0; i < 3; i++) {
        fixture.last().answer(500, GatewayFixture.own(), "bad");
      }
      assertEquals(fixture.sent.size(), 3);
      assertEquals(fixture.reply.status, 500);
      assertEquals(fixture.reply.body.toString(), "bad");
    }

    @Test
    public void silentUpstreamIsLeft() {
      fixture.clock.advance(Duration.ofMillis(2100));
      run.checkProgress(fixture.clock.nanoTime());
      assertTrue(fixture.sent.get(0).abandoned);
      assertEquals(fixture.sent.size(), 2);
    }

    // Guards against a run that is kept for ever because its caller left before it began.
    @Test
    public void callerThatLeftBeforeTheStartLeavesNothing() {
      GatewayFixture other = new GatewayFixture();
      GatewayRun early = other.create(RequestKind.IDEMPOTENT, CALLER_NAMES_MODEL);
      early.callerGone();
      early.start();
      assertTrue(other.sent.isEmpty());
      assertTrue(other.gateway.active.isEmpty());
    }

    @Test
    public void callerThatLeftEndsTheWork() {
      run.callerGone();
      assertTrue(fixture.last().abandoned);
      fixture.last().answer(200, GatewayFixture.own(), "ok");
      assertFalse(fixture.reply.whole);
    }
  }

  /** Streams of events. */
  public static class Streams {
    private GatewayFixture fixture;

    @BeforeMethod
    public void start() {
      fixture = new GatewayFixture();
    }

    @Test
    public void brokenStreamGoesOnAfterTheLastWholeEvent() {
      fixture.run(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
      fixture.last().head(200);
      fixture.last().content(event(1) + event(2) + "id: 3\nda");
      fixture.last().fail(true);
      assertEquals(fixture.last().headers.get("last"), "2");
      fixture.last().head(200);
      fixture.last().content(event(3));
      fixture.last().end();
      assertEquals(fixture.reply.body.toString(), event(1) + event(2) + event(3));
      assertTrue(fixture.reply.whole);
    }

    // Guards against a stream that is cut because the next upstream failed.
    @Test
    public void resumedStreamGoesOnAfterAFailure() {
      fixture.run(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
      fixture.last().head(200);
      fixture.last().content(event(1));
      fixture.last().fail(true);
      fixture.last().answer(500, GatewayFixture.own(), "");
      assertEquals(fixture.sent.size(), 3);
      fixture.last().head(200);
      fixture.last().content(event(2));
      fixture.last().end();
      assertEquals(fixture.reply.body.toString(), event(1) + event(2));
    }

    // Guards against a refusal as not run after a smaller model has run.
    @Test
    public void refusalAfterAnUnsureAnswerIsNoPromise() {
      fixture.gateway.listed(List.of(GatewayFixture.instance("a")));
      fixture.run(RequestKind.RESUMABLE_STREAM, List.of("small", "large"));
      fixture.last().head(200, "10");
      fixture.last().answer(503, NOT_RUN, "");
      assertEquals(fixture.reply.status, 502);
    }

    // Guards against a good version that is rolled back because an engine of it crashed.
    @Test
    public void brokenConnectionIsNoEvidenceAgainstAVersion() {
      TrafficShift shift =
          fixture.gateway.ordered(new ShiftOrder("s", "v2", Duration.ofSeconds(20), 5));
      fixture.run(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
      fixture.last().fail(true);
      assertTrue(shift.evidence().isEmpty());
      fixture.last().answer(500, GatewayFixture.own(), "");
      assertEquals(shift.evidence().size(), 1);
    }

    // Guards against a stream that is cut although its engine would have gone on.
    @Test
    public void streamStaysWhereNoOtherUpstreamIsLeft() {
      fixture.gateway.listed(List.of(GatewayFixture.instance("a")));
      GatewayRun run = fixture.run(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
      fixture.clock.advance(Duration.ofMillis(3000));
      run.checkProgress(fixture.clock.nanoTime());
      assertFalse(fixture.last().abandoned);
      assertEquals(fixture.sent.size(), 1);
    }

    @Test
    public void streamThatRunsOnceIsCutVisibly() {
      fixture.run(RequestKind.STREAM, CALLER_NAMES_MODEL);
      fixture.last().head(200);
      fixture.last().content(event(1));
      fixture.last().fail(true);
      assertEquals(fixture.sent.size(), 1);
      assertTrue(fixture.reply.aborted);
      assertFalse(fixture.reply.whole);
    }

    @Test
    public void streamThatEndsInsideAnEventIsNotComplete() {
      fixture.run(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
      fixture.last().head(200);
      fixture.last().content(event(1) + "id: 2");
      fixture.last().end();
      assertFalse(fixture.reply.whole);
      assertEquals(fixture.sent.size(), 2);
    }

    @Test
    public void unsureAnswerIsReplacedByTheLargestModelBeforeAnyByte() {
      fixture.run(RequestKind.RESUMABLE_STREAM, List.of("small", "large"));
      assertEquals(fixture.last().headers.get("model"), "small");
      fixture.last().head(200, "10");
      assertTrue(fixture.sent.get(0).abandoned);
      assertEquals(fixture.last().headers.get("model"), "large");
      assertEquals(fixture.reply.status, 0);
      fixture.last().head(200, "10");
      fixture.last().content(event(1));
      assertEquals(fixture.reply.body.toString(), event(1));
    }

    // Guards against larger models that fill the engines of a cut failure domain with late answers.
    @Test
    public void unsureAnswerAfterALongWaitIsKept() {
      GatewayFixture fixture = new GatewayFixture();
      fixture.run(RequestKind.RESUMABLE_STREAM, List.of("small", "large"));
      fixture.clock.advance(Duration.ofMillis(600));
      fixture.last().head(200, "10");
      fixture.last().content(event(1));
      fixture.last().end();
      assertEquals(fixture.sent.size(), 1);
      assertEquals(fixture.reply.body.toString(), event(1));
    }

    @Test
    public void sureAnswerIsKept() {
      fixture.run(RequestKind.RESUMABLE_STREAM, List.of("small", "large"));
      fixture.last().head(200, "90");
      fixture.last().content(event(1));
      assertEquals(fixture.sent.size(), 1);
    }
  }

  /** A failure domain that was cut off and comes back. */
  public static class AfterCut {
    // Guards against refusals for seconds after a cut, when the near upstream's entry has expired
    // and the far ones are ejected.
    @Test
    public void requestAfterTheCutIsServed() {
      GatewayFixture fixture = new GatewayFixture();
      List<UpstreamInstance> far =
          List.of(GatewayFixture.instance("b"), GatewayFixture.instance("c"));
      fixture.gateway.health.recordUnreachable("b");
      fixture.gateway.health.recordUnreachable("c");
      fixture.clock.advance(Duration.ofSeconds(5));
      fixture.gateway.engines.recordReceived("a", fixture.clock.nanoTime());
      fixture.gateway.listed(far);
      assertEquals(fixture.gateway.available("s").size(), 3);
      assertTrue(fixture.gateway.health.available("b"));
      fixture.clock.advance(Duration.ofMillis(2100));
      fixture.gateway.listed(far);
      assertEquals(fixture.gateway.available("s").size(), 2);
    }
  }
}
