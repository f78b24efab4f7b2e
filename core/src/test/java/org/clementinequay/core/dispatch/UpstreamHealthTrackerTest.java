package org.clementinequay.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.clementinequay.core.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the ejection, probing and leaving of upstreams, and of {@link RetryBudget}. */
public final class UpstreamHealthTrackerTest {
  private static final String NAME = "engine-1";

  /** Ejection after failures, and the way back. */
  public static final class Ejection {
    private ManualClock clock;
    private UpstreamHealthTracker tracker;

    @BeforeMethod
    public void createTracker() {
      clock = new ManualClock(Instant.EPOCH);
      tracker = new UpstreamHealthTracker(clock);
    }

    private void fail(int times) {
      for (int i = 0; i < times; i++) {
        assertTrue(tracker.tryStart(NAME));
        tracker.recordFailure(NAME);
      }
    }

    /** Guards against sending further requests to an upstream that fails. */
    @Test
    public void ejectsThenAdmitsOneProbe() {
      fail(UpstreamHealth.FAILURES_TO_EJECT);
      assertFalse(tracker.tryStart(NAME));
      clock.advance(UpstreamHealth.INITIAL_PROBE_DELAY);
      assertTrue(tracker.tryStart(NAME), "probe");
      assertFalse(tracker.tryStart(NAME), "second request while the probe runs");
      tracker.recordSuccess(NAME);
      assertTrue(tracker.tryStart(NAME));
    }

    /** Guards against an upstream that stays ejected because its probe ended without a result. */
    @Test
    public void probesAgainAfterAnAbandonedProbe() {
      fail(UpstreamHealth.FAILURES_TO_EJECT);
      clock.advance(UpstreamHealth.INITIAL_PROBE_DELAY);
      assertTrue(tracker.tryStart(NAME));
      tracker.recordAbandoned(NAME);
      assertTrue(tracker.tryStart(NAME));
    }

    /** Guards against a host that has no upstreams for seconds after it was itself cut off. */
    @Test
    public void hostThatWasCutOffReadmitsItsUpstreams() {
      tracker.recordUnreachable(NAME);
      assertFalse(tracker.tryStart(NAME));
      assertEquals(tracker.readmitEjected(), 1);
      assertTrue(tracker.tryStart(NAME));
      assertTrue(tracker.tryStart(NAME), "second request beside the first");
      assertEquals(tracker.readmitEjected(), 0);
    }

    /** Guards against a delay between probes that grows without bound. */
    @Test
    public void delayBetweenProbesIsBounded() {
      fail(UpstreamHealth.FAILURES_TO_EJECT);
      for (int i = 0; i < 20; i++) {
        clock.advance(UpstreamHealth.MAX_PROBE_DELAY);
        assertTrue(tracker.tryStart(NAME), "probe " + i);
        tracker.recordFailure(NAME);
      }
    }
  }

  /** Upstreams that announced that they are leaving. */
  public static final class Leaving {
    /** Guards against new requests to an upstream that announced that it is leaving. */
    @Test
    public void takesNoNewWork() {
      UpstreamHealthTracker tracker = new UpstreamHealthTracker(new ManualClock(Instant.EPOCH));
      assertTrue(tracker.setLeaving(NAME, true));
      assertFalse(tracker.tryStart(NAME));
      assertFalse(tracker.setLeaving(NAME, true), "already leaving");
      assertEquals(tracker.state(NAME), "leaving");
    }
  }

  /** Tests of {@link RetryBudget}. */
  public static final class Budget {
    /** Guards against retries that amplify an overload. */
    @Test
    public void boundsRetriesToTheirShare() {
      RetryBudget budget = new RetryBudget();
      int retries = 0;
      for (int i = 0; i < 1000; i++) {
        budget.recordRequest();
        retries += budget.tryRetry() ? 1 : 0;
      }
      double maxRetries = 1000 * RetryBudget.RETRIES_PER_REQUEST + RetryBudget.MAX_BALANCE;
      assertTrue(retries <= maxRetries, retries + " retries");
    }
  }
}
