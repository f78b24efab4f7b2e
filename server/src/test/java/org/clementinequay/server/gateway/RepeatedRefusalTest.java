package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.clementinequay.core.forward.RequestKind;
import org.eclipse.jetty.http.HttpFields;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against refusals that a faulty upstream has written once more on a kept connection: the
 * request that waits there may be running.
 */
public class RepeatedRefusalTest {
  private static final List<String> CALLER_NAMES_MODEL = List.of();
  private static final HttpFields WITHOUT_ID = HttpFields.build().put("not-run", "1");
  private static final HttpFields OF_ANOTHER_REQUEST =
      HttpFields.build().put("id", "r-0").put("not-run", "1");

  /** Requests that are sent on kept connections. */
  public static class KeptConnections {
    @DataProvider
    public Object[][] refusals() {
      return new Object[][] {
        {503, WITHOUT_ID}, {429, WITHOUT_ID}, {421, HttpFields.EMPTY}, {503, OF_ANOTHER_REQUEST},
      };
    }

    // Guards against a stream that goes on at a second upstream while the first one runs it, and
    // against callers that are told it has not run.
    @Test(dataProvider = "refusals")
    public void areClosedAndTheRequestMayHaveRun(int status, HttpFields fields) {
      GatewayFixture fixture = new GatewayFixture();
      fixture.start(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
      while (fixture.response.status == 0) {
        GatewayFixture.SentAttempt attempt = fixture.lastAttempt();
        attempt.respond(status, fields, "");
        assertTrue(attempt.abandoned);
      }
      assertEquals(fixture.response.status, 502);
    }

    @Test
    public void areKeptAfterARefusalOfTheRequestItself() {
      GatewayFixture fixture = new GatewayFixture();
      fixture.start(RequestKind.RESUMABLE_STREAM, CALLER_NAMES_MODEL);
      GatewayFixture.SentAttempt attempt = fixture.lastAttempt();
      attempt.respond(503, HttpFields.build(GatewayFixture.ownRequestId()).put("not-run", "1"), "");
      assertFalse(attempt.abandoned);
      assertEquals(fixture.sent.size(), 2);
    }
  }

  /** Requests that may run once, each of which has a connection of its own. */
  public static class NewConnections {
    @Test
    public void bringNoRefusalOfAnEarlierRequest() {
      GatewayFixture fixture = new GatewayFixture();
      fixture.start(RequestKind.AT_MOST_ONCE, CALLER_NAMES_MODEL);
      for (int i = 0; i < 3; i++) {
        fixture.lastAttempt().respond(503, WITHOUT_ID, "");
      }
      assertEquals(fixture.response.status, 503);
    }
  }
}
