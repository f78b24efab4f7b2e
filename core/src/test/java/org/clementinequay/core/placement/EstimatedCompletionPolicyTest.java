package org.clementinequay.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import org.clementinequay.core.Incarnation;
import org.testng.annotations.Test;

/** Tests of {@link EstimatedCompletionPolicy}. */
public class EstimatedCompletionPolicyTest {
  private static final Incarnation PEER = new Incarnation("b".repeat(32));
  private static final long SECOND = 1_000_000_000L;

  private static String choose(UpstreamTracker tracker, long nowNanos, OptionalLong key) {
    PlacementRequest request = new PlacementRequest(nowNanos, 0, 60_000, 100, 100, key);
    List<UpstreamView> views =
        List.of(tracker.view("a", "near", 4, nowNanos), tracker.view("b", "far", 4, nowNanos));
    return new EstimatedCompletionPolicy().choose(request, views).orElseThrow().upstream();
  }

  /** Tests of {@link EstimatedCompletionPolicy#choose}. */
  public static class Choose {
    // Guards against choosing a slow upstream only because it is idle.
    @Test
    public void prefersTheFasterUpstream() {
      UpstreamTracker tracker = new UpstreamTracker();
      tracker.recordSpeed("a", 100, 10 * SECOND);
      tracker.recordSpeed("b", 100, SECOND);
      assertEquals(choose(tracker, 0, OptionalLong.empty()), "b");
    }

    // Guards against ignoring the work of peers between two load reports.
    @Test
    public void countsThePeersWork() {
      UpstreamTracker tracker = new UpstreamTracker();
      tracker.recordPeerOutstanding(PEER, "a", 20, 0);
      assertEquals(choose(tracker, 0, OptionalLong.empty()), "b");
      tracker.removePeer(PEER);
      assertEquals(choose(tracker, 0, OptionalLong.empty()), "a");
    }

    // Guards against an old load report that keeps requests away after the load is gone.
    @Test
    public void oldReportLosesItsEffect() {
      UpstreamTracker tracker = new UpstreamTracker();
      tracker.recordLoadReport("a", new LoadReport(4, 30, 0, 1));
      assertEquals(choose(tracker, SECOND, OptionalLong.empty()), "b");
      assertEquals(choose(tracker, 20 * SECOND, OptionalLong.empty()), "a");
    }

    // Guards against affinity that sends requests to an overloaded upstream.
    @Test
    public void affinityYieldsToLoad() {
      UpstreamTracker tracker = new UpstreamTracker();
      OptionalLong key = OptionalLong.of(7);
      String preferred = choose(tracker, 0, key);
      for (int i = 0; i < 20; i++) {
        tracker.recordStart(preferred, 100);
      }
      assertTrue(!choose(tracker, 0, key).equals(preferred));
    }

    // Guards against an estimate that ignores the network round trip.
    @Test
    public void prefersTheShorterRoundTripAmongEquals() {
      UpstreamTracker tracker = new UpstreamTracker();
      tracker.recordRoundTrip("near", SECOND / 10);
      tracker.recordRoundTrip("far", SECOND / 20);
      assertEquals(choose(tracker, 0, OptionalLong.empty()), "b");
    }
  }
}
