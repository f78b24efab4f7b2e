package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
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

  // Guards against a failure domain that is cut off: probes of its upstreams, one after the other,
  // would hold up the tasks that share the thread.
  @Test
  public void upstreamsAreProbedAtTheSameTime() {
    List<Integer> sizes = new ArrayList<>();
    UpstreamProbe probe =
        new UpstreamProbe() {
          @Override
          public Result probe(String address) {
            return probeAll(List.of(address)).get(address);
          }

          @Override
          public Map<String, Result> probeAll(Collection<String> addresses) {
            sizes.add(addresses.size());
            return UpstreamProbe.super.probeAll(List.of());
          }
        };
    for (int i = 0; i < STALLED; i++) {
      String address = "10.0.0." + i + ":1";
      fixture.gateway.recordStalled(
          new StalledAttempt(
              new UpstreamInstance("x" + i, "s", address, "d", "v2", 8, false, 1), "route"));
    }
    new StalledAttemptTask(fixture.gateway, probe).step();
    assertEquals(sizes, List.of(STALLED));
    new StalledAttemptTask(fixture.gateway, probe).step();
    assertEquals(sizes, List.of(STALLED));
  }
}
