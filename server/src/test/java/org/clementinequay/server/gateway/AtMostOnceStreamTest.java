package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.clementinequay.core.forward.RequestKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against second runs of streams that may not be resumed, on routes with two models. */
public class AtMostOnceStreamTest {
  private static final List<String> MODELS = List.of("small", "large");
  private static final String EVENT = "id: 1\ndata: x\n\n";

  // Guards against a stream that runs on two models although it may run once (review/14).
  @Test
  public void answerOfLowConfidenceIsKept() {
    GatewayFixture fixture = new GatewayFixture();
    fixture.start(RequestKind.STREAM, MODELS);
    fixture.lastAttempt().sendHead(200, "10");
    fixture.lastAttempt().sendContent(EVENT);
    fixture.lastAttempt().endResponse();
    assertEquals(fixture.sent.size(), 1);
    assertEquals(fixture.response.body.toString(), EVENT);
    assertTrue(fixture.response.complete);
  }

  /** Ends of an attempt that the upstream may have run, before its first event. */
  @DataProvider
  public static Object[][] ends() {
    return new Object[][] {
      {"end", end(fixture -> fixture.lastAttempt().endResponse())},
      {"reset", end(fixture -> fixture.lastAttempt().fail(true))},
      {"corrupt event", end(fixture -> fixture.lastAttempt().sendContent("id: 1\nid: 2\n\n"))},
      {"no room", end(fixture -> fixture.forwarder().current.giveWay())},
      {"silence", end(AtMostOnceStreamTest::fallSilent)},
    };
  }

  private static Consumer<GatewayFixture> end(Consumer<GatewayFixture> value) {
    return value;
  }

  private static void fallSilent(GatewayFixture fixture) {
    fixture.clock.advance(Duration.ofMillis(4000));
    fixture.forwarder().checkProgress(fixture.clock.nanoTime());
  }

  @Test(dataProvider = "ends")
  public void attemptThatMayHaveRunIsTheLast(String name, Consumer<GatewayFixture> end) {
    for (boolean headReceived : List.of(false, true)) {
      GatewayFixture fixture = new GatewayFixture();
      fixture.start(RequestKind.STREAM, MODELS);
      if (headReceived) {
        fixture.lastAttempt().sendHead(200, "10");
      }
      end.accept(fixture);
      assertEquals(fixture.sent.size(), 1, name);
    }
  }
}
