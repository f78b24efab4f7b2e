package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.rollout.ShiftOrder;
import org.clementinequay.core.rollout.TrafficShift;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a slow version that is judged only by the answers that were fast enough. */
public class StalledAttemptTaskTest {
  private static final int STALLED = 8;

  private GatewayFixture fixture;
  private TrafficShift shift;

  @BeforeMethod
  public void start() {
    fixture = new GatewayFixture();
    shift = fixture.gateway.applyOrder(new ShiftOrder("s", "v2", Duration.ofSeconds(20), 5));
    for (int i = 0; i < 100; i++) {
      shift.recordAnswer("h1", "route", "v1", false, false);
    }
    for (int i = 0; i < STALLED; i++) {
      shift.recordAnswer("h1", "route", "v2", false, false);
    }
  }

  private void stall(String version, UpstreamProbe.Result result) {
    UpstreamInstance upstream =
        new UpstreamInstance("x", "s", "10.0.0.9:1", "d", version, 8, false, 1);
    for (int i = 0; i < STALLED; i++) {
      fixture.gateway.recordStalled(new StalledAttempt(upstream, "route"));
    }
    new StalledAttemptTask(fixture.gateway, address -> result).step();
  }

  private double share() {
    return shift.share(fixture.clock.nanoTime());
  }

  @Test
  public void versionWithManyStalledAttemptsIsStopped() {
    stall("v2", UpstreamProbe.Result.CONNECTED);
    assertEquals(share(), 0.0);
  }

  @Test
  public void upstreamsThatAreDarkOrCutOffDoNotStopTheirVersion() {
    double before = share();
    stall("v2", UpstreamProbe.Result.SILENT);
    stall("v2", UpstreamProbe.Result.REFUSED);
    assertEquals(share(), before);
  }

  @Test
  public void stalledAttemptsOfTheVersionInServiceDoNotStopTheOther() {
    double before = share();
    stall("v1", UpstreamProbe.Result.CONNECTED);
    assertEquals(share(), before);
  }
}
