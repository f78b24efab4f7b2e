package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.clementinequay.core.forward.RequestKind;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against streams that leave an engine that is busy, or stay at one that is gone. */
public class BusyUpstreamTest {
  private UpstreamProbe.Result result;
  private GatewayFixture fixture;
  private RequestForwarder forwarder;

  @BeforeMethod
  public void start() {
    result = UpstreamProbe.Result.CONNECTED;
    fixture = new GatewayFixture(null, address -> result);
    fixture.deadlineMillis = 9000;
    forwarder = fixture.start(RequestKind.RESUMABLE_STREAM, List.of());
  }

  private void passSilence(long millis) throws InterruptedException {
    for (long passed = 0; passed < millis; passed += 100) {
      fixture.clock.advance(Duration.ofMillis(100));
      forwarder.checkProgress(fixture.clock.nanoTime());
      probeIfAsked();
    }
  }

  private void probeIfAsked() throws InterruptedException {
    if (fixture.reachability.pendingProbes() > 0) {
      fixture.reachability.step();
    }
  }

  @Test
  public void requestStaysAtABusyEngine() throws InterruptedException {
    passSilence(700);
    assertEquals(fixture.sent.size(), 1);
    passSilence(200);
    assertEquals(fixture.sent.size(), 2, "0.8 of the objective have passed");
    assertEquals(
        fixture.gateway.health.state(fixture.sent.get(0).headers.get("instance")), "healthy");
  }

  @Test
  public void requestLeavesAnEngineThatIsGone() throws InterruptedException {
    result = UpstreamProbe.Result.SILENT;
    passSilence(400);
    assertEquals(fixture.sent.size(), 2);
    assertEquals(
        fixture.gateway.health.state(fixture.sent.get(0).headers.get("instance")), "ejected");
  }

  // The engine ends after the first probe; the next one is due a second after that.
  @Test
  public void begunStreamLeavesAnEngineThatEndsLater() throws InterruptedException {
    fixture.lastAttempt().sendHead(200);
    fixture.lastAttempt().sendContent("id: 1\ndata: x\n\n");
    passSilence(1200);
    assertEquals(fixture.sent.size(), 1);
    result = UpstreamProbe.Result.REFUSED;
    passSilence(700);
    assertTrue(fixture.sent.get(0).abandoned);
  }
}
