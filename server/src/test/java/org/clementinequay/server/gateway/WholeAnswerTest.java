package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.clementinequay.core.forward.RequestKind;
import org.clementinequay.core.ingress.Admission;
import org.clementinequay.core.ingress.TurnAway;
import org.eclipse.jetty.http.HttpHeader;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Whole answers that need room until their callers have read them. */
public class WholeAnswerTest {
  private static final String LONG_BODY = "x".repeat(AnswerRoom.UNCOUNTED_BYTES + 1);

  private GatewayFixture fixture;
  private RequestForwarder forwarder;

  @BeforeMethod
  public void start() {
    fixture = new GatewayFixture();
    forwarder = fixture.start(RequestKind.IDEMPOTENT, List.of());
    fixture.response.admission = Admission.HELD_BACK;
  }

  /** Sends an answer, which ends only if the gateway has read its body. */
  private void respond(boolean lengthStated) {
    if (lengthStated) {
      sendHeadWithLength();
      fixture.lastAttempt().sendContent(LONG_BODY);
    } else {
      fixture.lastAttempt().respond(200, GatewayFixture.ownRequestId(), LONG_BODY);
    }
  }

  private void sendHeadWithLength() {
    fixture
        .lastAttempt()
        .sendHead(200, HttpHeader.CONTENT_LENGTH, Integer.toString(LONG_BODY.length()));
  }

  @DataProvider
  public static Object[] lengthStated() {
    return new Object[] {false, true};
  }

  // Guards against answers that are held without bound for callers who do not read (review/13).
  @Test
  public void ofAKnownLengthAreNotReadBeforeThereIsRoom() {
    sendHeadWithLength();
    fixture.lastAttempt().sendContent(LONG_BODY);
    assertEquals(fixture.lastAttempt().contentTaken, 0);
    fixture.response.admission = Admission.ADMITTED;
    fixture.response.roomHolder.resume();
    assertEquals(fixture.lastAttempt().contentTaken, 1);
    fixture.lastAttempt().endResponse();
    assertEquals(fixture.response.body.toString(), LONG_BODY);
  }

  @Test
  public void ofUnknownLengthAreSentOnceThereIsRoom() {
    respond(false);
    assertFalse(fixture.response.complete);
    fixture.response.admission = Admission.ADMITTED;
    fixture.response.roomHolder.resume();
    assertEquals(fixture.response.body.toString(), LONG_BODY);
  }

  // Guards against a second run of a request whose answer this host holds back.
  @Test(dataProvider = "lengthStated")
  public void thatWaitAreNotTakenForSilence(boolean stated) {
    respond(stated);
    fixture.clock.advance(Duration.ofMillis(4000));
    forwarder.checkProgress(fixture.clock.nanoTime());
    assertEquals(fixture.sent.size(), 1);
  }

  // Guards against a refusal that states that the request has not run, and against another run
  // whose answer finds no room either.
  @Test(dataProvider = "lengthStated")
  public void withoutRoomBecomeBadGateway(boolean stated) {
    respond(stated);
    fixture.response.roomHolder.turnAway(TurnAway.MEMORY);
    assertEquals(fixture.response.status, 502);
    assertEquals(fixture.sent.size(), 1);
    assertEquals(fixture.sent.get(0).contentTaken, 1);
  }

  @Test
  public void ofAFailedAttemptGiveBackTheirRoom() {
    fixture.response.admission = Admission.ADMITTED;
    sendHeadWithLength();
    fixture.lastAttempt().sendContent("x");
    fixture.lastAttempt().fail(true);
    assertEquals(fixture.sent.size(), 2);
    assertTrue(fixture.response.roomReleased);
  }
}
