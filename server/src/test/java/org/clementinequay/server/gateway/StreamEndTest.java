package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.clementinequay.core.forward.RequestKind;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests which answers of upstreams end a stream of events. */
public class StreamEndTest {
  private static final List<String> CALLER_NAMES_MODEL = List.of();

  private static String event(int id) {
    return "id: " + id + "\ndata: x\n\n";
  }

  private static HttpFields framed(HttpHeader header, String value) {
    return HttpFields.build(GatewayFixture.ownRequestId()).put(header, value);
  }

  /** Streams that broke off and are resumed. */
  public static class Resumptions {
    private GatewayFixture fixture;

    @BeforeMethod
    public void start() {
      fixture = new GatewayFixture();
    }

    private void breakOffAfterFirstEvent() {
      fixture.start(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
      fixture.lastAttempt().sendHead(200);
      fixture.lastAttempt().sendContent(event(1));
      fixture.lastAttempt().fail(true);
    }

    @DataProvider
    public Object[][] successesThatResumeNoStream() {
      HttpFields chunked = framed(HttpHeader.TRANSFER_ENCODING, "chunked");
      return new Object[][] {
        {201, framed(HttpHeader.CONTENT_LENGTH, "0"), ""},
        {202, framed(HttpHeader.CONTENT_LENGTH, "0"), ""},
        {204, GatewayFixture.ownRequestId(), ""},
        {204, framed(HttpHeader.CONTENT_TYPE, "text/event-stream"), ""},
        {205, framed(HttpHeader.CONTENT_LENGTH, "0"), ""},
        {206, chunked, ""},
        {206, chunked, event(2)},
        {299, chunked, event(2)},
      };
    }

    // Guards against a stream that ends as complete between two events because a success that is
    // not the rest of the stream had no event.
    @Test(dataProvider = "successesThatResumeNoStream")
    public void successOfAnotherKindDoesNotResumeAStream(
        int status, HttpFields headers, String body) {
      breakOffAfterFirstEvent();
      fixture.lastAttempt().respond(status, headers, body);
      assertFalse(fixture.response.complete);
      assertEquals(fixture.sent.size(), 3);
      assertEquals(fixture.lastAttempt().headers.get("last"), "1");
      fixture.lastAttempt().sendHead(200);
      fixture.lastAttempt().sendContent(event(2));
      fixture.lastAttempt().endResponse();
      assertEquals(fixture.response.body.toString(), event(1) + event(2));
      assertTrue(fixture.response.complete);
    }

    @Test(dataProvider = "successesThatResumeNoStream")
    public void streamIsBrokenOffIfNoUpstreamResumesIt(
        int status, HttpFields headers, String body) {
      breakOffAfterFirstEvent();
      fixture.lastAttempt().respond(status, headers, body);
      fixture.lastAttempt().respond(status, headers, body);
      assertEquals(fixture.sent.size(), 3);
      assertEquals(fixture.response.body.toString(), event(1));
      assertFalse(fixture.response.complete);
      assertTrue(fixture.response.aborted);
    }

    // Guards against a stream that ends as complete between two events because an upstream stopped
    // behind the head of an answer without a length.
    @Test
    public void emptyAnswerThatEndsWithItsConnectionDoesNotEndAStream() {
      breakOffAfterFirstEvent();
      fixture.lastAttempt().respond(200, GatewayFixture.ownRequestId(), "");
      assertFalse(fixture.response.complete);
      assertEquals(fixture.sent.size(), 3);
    }

    @DataProvider
    public Object[][] statedEnds() {
      return new Object[][] {
        {framed(HttpHeader.CONTENT_LENGTH, "0")}, {framed(HttpHeader.TRANSFER_ENCODING, "chunked")},
      };
    }

    // Guards against a stream that is broken off behind its last event, although the upstream that
    // resumed it states that nothing is left.
    @Test(dataProvider = "statedEnds")
    public void emptyAnswerWithAStatedEndEndsAResumedStream(HttpFields headers) {
      breakOffAfterFirstEvent();
      fixture.lastAttempt().respond(200, headers, "");
      assertEquals(fixture.sent.size(), 2);
      assertEquals(fixture.response.body.toString(), event(1));
      assertTrue(fixture.response.complete);
    }
  }

  /** Streams that have not begun. */
  public static class FirstAttempts {
    private GatewayFixture fixture;

    @BeforeMethod
    public void start() {
      fixture = new GatewayFixture();
    }

    @DataProvider
    public Object[][] emptySuccesses() {
      HttpFields empty = framed(HttpHeader.CONTENT_LENGTH, "0");
      return new Object[][] {
        {200, GatewayFixture.ownRequestId()},
        {200, empty},
        {204, GatewayFixture.ownRequestId()},
        {205, empty},
        {206, empty},
      };
    }

    // Guards against a stream without any event that looks complete.
    @Test(dataProvider = "emptySuccesses")
    public void emptyAnswerToAFirstAttemptIsNoStream(int status, HttpFields headers) {
      fixture.start(RequestKind.STREAM, CALLER_NAMES_MODEL);
      fixture.lastAttempt().respond(status, headers, "");
      assertEquals(fixture.sent.size(), 1);
      assertEquals(fixture.response.status, 502);
    }

    // Guards against a failure for a caller that resumes a stream behind its last event: the
    // upstream states that nothing is left.
    @Test
    public void callerThatHasAllEventsGetsTheEmptyAnswer() {
      fixture.lastEventId = OptionalLong.of(7);
      fixture.start(RequestKind.STREAM, CALLER_NAMES_MODEL);
      assertEquals(fixture.lastAttempt().headers.get("last"), "7");
      fixture.lastAttempt().respond(200, framed(HttpHeader.CONTENT_LENGTH, "0"), "");
      assertEquals(fixture.response.status, 200);
      assertEquals(fixture.response.body.toString(), "");
      assertTrue(fixture.response.complete);
    }

    @Test
    public void callerThatResumesGetsNoEmptyAnswerWithoutAStatedEnd() {
      fixture.lastEventId = OptionalLong.of(7);
      fixture.start(RequestKind.STREAM, CALLER_NAMES_MODEL);
      fixture.lastAttempt().respond(200, GatewayFixture.ownRequestId(), "");
      assertEquals(fixture.response.status, 502);
    }
  }
}
