package org.clementinequay.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import org.clementinequay.core.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Ejection, probing and leaving of upstreams, and the budget of retries. */
public final class UpstreamHealthTrackerTest {
  private static final String NAME = "engine-1";

  /** Ejection after failures. */
  public static final class Ejection {
    private ManualClock clock;
    private UpstreamHealthTracker table;

    @BeforeMethod
    public void createTable() {
      clock = new ManualClock(Instant.EPOCH);
      table = new UpstreamHealthTracker(clock);
    }

    private void fail(int times) {
      for (int i = 0; i < times; i++) {
        assertTrue(table.tryStart(NAME));
        table.recordFailure(NAME);
      }
    }

    /** Guards against work that goes on being sent to an upstream that fails. */
    @Test
    public void ejectsThenAdmitsOneProbe() {
      fail(UpstreamHealth.FAILURES_TO_EJECT);
      assertFalse(table.tryStart(NAME));
      clock.advance(UpstreamHealth.FIRST_PROBE_AFTER);
      assertTrue(table.tryStart(NAME), "probe");
      assertFalse(table.tryStart(NAME), "second request while the probe runs");
      table.recordSuccess(NAME);
      assertTrue(table.tryStart(NAME));
    }

    /** Guards against an upstream that is lost for ever because its probe never told its end. */
    @Test
    public void probesAgainAfterAnAbandonedProbe() {
      fail(UpstreamHealth.FAILURES_TO_EJECT);
      clock.advance(UpstreamHealth.FIRST_PROBE_AFTER);
      assertTrue(table.tryStart(NAME));
      table.recordAbandoned(NAME);
      assertTrue(table.tryStart(NAME));
    }

    /** Guards against a host that stays without upstreams for seconds after its own cut. */
    @Test
    public void hostThatWasCutOffTakesBackWhatItCouldNotReach() {
      table.recordUnreachable(NAME);
      assertFalse(table.tryStart(NAME));
      assertEquals(table.readmitEjected(), 1);
      assertTrue(table.tryStart(NAME));
      assertTrue(table.tryStart(NAME), "second request beside the first");
      assertEquals(table.readmitEjected(), 0);
    }

    /** Guards against a pause between probes that grows without bound. */
    @Test
    public void pauseBetweenProbesIsBounded() {
      fail(UpstreamHealth.FAILURES_TO_EJECT);
      for (int i = 0; i < 20; i++) {
        clock.advance(UpstreamHealth.MAX_PROBE_AFTER);
        assertTrue(table.tryStart(NAME), "probe " + i);
        table.recordFailure(NAME);
      }
    }
  }

  /** Leaving upstreams. */
  public static final class Leaving {
    /** Guards against new work on an upstream that said it leaves. */
    @Test
    public void takesNoNewWork() {
      UpstreamHealthTracker table = new UpstreamHealthTracker(new ManualClock(Instant.EPOCH));
      assertTrue(table.setLeaving(NAME, true));
      assertFalse(table.tryStart(NAME));
      assertFalse(table.setLeaving(NAME, true), "no second news");
      assertEquals(table.state(NAME), "leaving");
    }
  }

  /** The budget of retries. */
  public static final class Budget {
    /** Guards against retries that multiply an overload. */
    @Test
    public void boundsRetriesToTheirShare() {
      RetryBudget budget = new RetryBudget();
      int retries = 0;
      for (int i = 0; i < 1000; i++) {
        budget.recordRequest();
        retries += budget.tryRetry() ? 1 : 0;
      }
      double most = 1000 * RetryBudget.RETRIES_PER_REQUEST + RetryBudget.MAX_BALANCE;
      assertTrue(retries <= most, retries + " retries");
    }
  }
}
