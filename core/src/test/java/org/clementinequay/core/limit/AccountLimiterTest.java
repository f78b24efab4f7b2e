package org.clementinequay.core.limit;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.config.AccountLimits;
import org.testng.annotations.Test;

/** Tests of {@link AccountLimiter}. */
public class AccountLimiterTest {
  private static final Incarnation A = new Incarnation("a".repeat(32));
  private static final Incarnation B = new Incarnation("b".repeat(32));
  private static final long SECOND = 1_000_000_000L;

  /** Tests of {@link AccountLimiter#tryAcquire}. */
  public static class TryAcquire {
    // Guards against a share that ignores the host's size.
    @Test
    public void burstFollowsTheShareOfTheHost() {
      AccountLimiter limiter = new AccountLimiter(A);
      limiter.membersChanged(Map.of(A, 1.0, B, 3.0));
      AccountLimits limits = new AccountLimits(8, 20, 1000);
      int admitted = 0;
      while (limiter.tryAcquire("x", limits, 0).admitted()) {
        admitted++;
      }
      assertEquals(admitted, 5);
    }

    // Guards against a retry hint that is too short to succeed.
    @Test
    public void retryAfterTheHintSucceeds() {
      AccountLimiter limiter = new AccountLimiter(A);
      AccountLimits limits = new AccountLimits(4, 1, 1000);
      assertTrue(limiter.tryAcquire("x", limits, 0).admitted());
      Admission refused = limiter.tryAcquire("x", limits, 0);
      assertEquals(refused.cause(), Admission.Cause.RATE);
      assertTrue(limiter.tryAcquire("x", limits, refused.retryAfter().toNanos()).admitted());
    }

    // Guards against a leak of concurrency permits.
    @Test
    public void releaseMakesRoom() {
      AccountLimiter limiter = new AccountLimiter(A);
      AccountLimits limits = new AccountLimits(1000, 1000, 1);
      assertTrue(limiter.tryAcquire("x", limits, 0).admitted());
      assertFalse(limiter.tryAcquire("x", limits, SECOND).admitted());
      limiter.release("x");
      assertTrue(limiter.tryAcquire("x", limits, SECOND).admitted());
    }
  }
}
