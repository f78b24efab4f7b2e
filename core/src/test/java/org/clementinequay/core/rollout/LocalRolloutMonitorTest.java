package org.clementinequay.core.rollout;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.clementinequay.core.ModelVersion;
import org.testng.annotations.Test;

/** Tests of {@link LocalRolloutMonitor}. */
public class LocalRolloutMonitorTest {
  private static final ModelVersion LIVE = new ModelVersion("m", "1");
  private static final ModelVersion NEW = new ModelVersion("m", "2");

  // Guards against a brake that waits for the platform or a peer.
  @Test
  public void ownEvidenceStopsOnceAndLasts() {
    LocalRolloutMonitor brake = new LocalRolloutMonitor(6);
    brake.add(LIVE, new VersionCounts(1000, 2, 500, 25));
    brake.add(NEW, new VersionCounts(60, 0, 60, 30));
    assertTrue(brake.stopIfWorse(NEW, LIVE).isPresent());
    assertTrue(brake.stopIfWorse(NEW, LIVE).isEmpty());
    brake.add(NEW, new VersionCounts(600, 0, 600, 0));
    assertTrue(brake.isStopped(NEW));
  }

  // Guards against a peer's stop that is ignored, and one that outlives the roll-out.
  @Test
  public void peersStopLastsUntilReset() {
    LocalRolloutMonitor brake = new LocalRolloutMonitor(6);
    brake.recordPeerStop(NEW, "30/60 rated bad");
    assertTrue(brake.isStopped(NEW));
    brake.reset(NEW, LIVE);
    assertFalse(brake.isStopped(NEW));
  }

  // Guards against a stop of a version that is as good as the live one.
  @Test
  public void equalVersionIsNotStopped() {
    LocalRolloutMonitor brake = new LocalRolloutMonitor(6);
    brake.add(LIVE, new VersionCounts(1000, 2, 500, 25));
    brake.add(NEW, new VersionCounts(100, 1, 100, 7));
    assertTrue(brake.stopIfWorse(NEW, LIVE).isEmpty());
  }
}
