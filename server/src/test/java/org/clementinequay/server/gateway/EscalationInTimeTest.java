package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.clementinequay.core.forward.RequestKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against answers that are dropped for a larger model's that would not be complete. */
public class EscalationInTimeTest {
  @DataProvider
  public static Object[][] tokenTimes() {
    // The request expects 10 tokens and has 5,000 ms.
    return new Object[][] {{499.0, 2}, {501.0, 1}};
  }

  @Test(dataProvider = "tokenTimes")
  public void largerModelIsAskedIfItsAnswerIsInTime(double millis, int attempts) {
    GatewayFixture fixture = new GatewayFixture();
    for (int i = 0; i < 4; i++) {
      fixture.gateway.tokenTimes.record("s/large", millis, fixture.clock.nanoTime());
    }
    fixture.start(RequestKind.RESUMABLE_STREAM, List.of("small", "large"));
    fixture.lastAttempt().sendHead(200, "3");
    assertEquals(fixture.sent.size(), attempts);
  }
}
