package org.clementinequay.core.rollout;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.clementinequay.core.ModelVersion;
import org.testng.annotations.Test;

/** Tests of {@link LocalRolloutMonitor}. */
public class LocalRolloutMonitorTest {
  private static final ModelVersion LIVE = new ModelVersion("m", "1");
  private static final ModelVersion NEW = new ModelVersion("m", "2");

  // Fails if a stop needs the platform or a peer, is reported twice, or is undone by later answers.
  @Test
  public void ownCountsStopTheVersionOnceAndTheStopLasts() {
    LocalRolloutMonitor monitor = new LocalRolloutMonitor(6);
    monitor.add(LIVE, new VersionCounts(1000, 2, 500, 25));
    monitor.add(NEW, new VersionCounts(60, 0, 60, 30));
    assertTrue(monitor.stopIfWorse(NEW, LIVE).isPresent());
    assertTrue(monitor.stopIfWorse(NEW, LIVE).isEmpty());
    monitor.add(NEW, new VersionCounts(600, 0, 600, 0));
    assertTrue(monitor.isStopped(NEW));
  }

  // Fails if a peer's stop is ignored, or remains in effect after a reset.
  @Test
  public void stopByAPeerLastsUntilReset() {
    LocalRolloutMonitor monitor = new LocalRolloutMonitor(6);
    monitor.recordPeerStop(NEW, "30/60 rated bad");
    assertTrue(monitor.isStopped(NEW));
    monitor.reset(NEW, LIVE);
    assertFalse(monitor.isStopped(NEW));
  }

  // Fails if a version that is about as good as the live one is stopped.
  @Test
  public void equalVersionIsNotStopped() {
    LocalRolloutMonitor monitor = new LocalRolloutMonitor(6);
    monitor.add(LIVE, new VersionCounts(1000, 2, 500, 25));
    monitor.add(NEW, new VersionCounts(100, 1, 100, 7));
    assertTrue(monitor.stopIfWorse(NEW, LIVE).isEmpty());
  }
}
