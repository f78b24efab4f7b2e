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
    // Fails if the share of the burst does not depend on the host's size.
    @Test
    public void burstFollowsTheShareOfTheHost() {
      AccountLimiter limiter = new AccountLimiter(A);
      limiter.setMembers(Map.of(A, 1.0, B, 3.0));
      AccountLimits limits = new AccountLimits(8, 20, 1000);
      int admitted = 0;
      while (limiter.tryAcquire("x", limits, 0).admitted()) {
        admitted++;
      }
      assertEquals(admitted, 5);
    }

    // Fails if a retry after the returned delay is refused again.
    @Test
    public void retryAfterTheReturnedDelaySucceeds() {
      AccountLimiter limiter = new AccountLimiter(A);
      AccountLimits limits = new AccountLimits(4, 1, 1000);
      assertTrue(limiter.tryAcquire("x", limits, 0).admitted());
      Admission refused = limiter.tryAcquire("x", limits, 0);
      assertEquals(refused.cause(), Admission.Cause.RATE);
      assertTrue(limiter.tryAcquire("x", limits, refused.retryAfter().toNanos()).admitted());
    }

    // Fails if the bucket does not refill while the monotonic clock is negative.
    @Test
    public void bucketRefillsOnANegativeClock() {
      AccountLimiter limiter = new AccountLimiter(A);
      AccountLimits limits = new AccountLimits(4, 1, 1000);
      assertEquals(limiter.share("x"), 1.0);
      assertTrue(limiter.tryAcquire("x", limits, -100 * SECOND).admitted());
      assertTrue(limiter.tryAcquire("x", limits, -99 * SECOND).admitted());
    }

    // Fails if a released request still counts as in progress.
    @Test
    public void releaseAllowsAnotherRequest() {
      AccountLimiter limiter = new AccountLimiter(A);
      AccountLimits limits = new AccountLimits(1000, 1000, 1);
      assertTrue(limiter.tryAcquire("x", limits, 0).admitted());
      assertFalse(limiter.tryAcquire("x", limits, SECOND).admitted());
      limiter.release("x");
      assertTrue(limiter.tryAcquire("x", limits, SECOND).admitted());
    }
  }

  /** Tests of {@link AccountLimiter#rebalance} and {@link AccountLimiter#merge}. */
  public static class Rebalance {
    private static final AccountLimits LIMITS = new AccountLimits(100, 10, 1000);

    private static AccountLimiter[] pair() {
      AccountLimiter[] pair = {new AccountLimiter(A), new AccountLimiter(B)};
      for (AccountLimiter limiter : pair) {
        limiter.setMembers(Map.of(A, 1.0, B, 1.0));
      }
      return pair;
    }

    /** Sends 100 requests a second to the first host only and exchanges reports each second. */
    private static void exchangeReports(
        AccountLimiter[] pair, int seconds, boolean loseEverySecondReport) {
      for (int t = 0; t < seconds; t++) {
        for (int i = 0; i < 100; i++) {
          pair[0].tryAcquire("x", LIMITS, t * SECOND + i * SECOND / 100);
        }
        long now = (t + 1) * SECOND;
        LimitReport a = pair[0].rebalance(now);
        LimitReport b = pair[1].rebalance(now);
        pair[1].merge(a);
        if (!loseEverySecondReport || t % 2 == 0) {
          pair[0].merge(b);
          pair[0].merge(b);
        }
        assertTrue(pair[0].share("x") + pair[1].share("x") <= 1 + 1e-9);
      }
    }

    // Fails if shares stay at a host without demand.
    @Test
    public void sharesMoveToTheHostWithDemand() {
      AccountLimiter[] pair = pair();
      exchangeReports(pair, 20, false);
      assertTrue(pair[0].share("x") > 0.8, "share: " + pair[0].share("x"));
    }

    // Fails if the shares add up to more than 1 when reports are lost or repeated.
    @Test
    public void lostAndRepeatedReportsNeverIncreaseTheTotal() {
      AccountLimiter[] pair = pair();
      exchangeReports(pair, 20, true);
      assertTrue(pair[0].share("x") > 0.8, "share: " + pair[0].share("x"));
    }

    // Fails if a report on another set of members is merged, which would assign a share twice.
    @Test
    public void reportOfOtherMembersIsIgnored() {
      AccountLimiter[] pair = pair();
      exchangeReports(pair, 20, false);
      LimitReport old = pair[1].rebalance(21 * SECOND);
      pair[0].setMembers(Map.of(A, 1.0, B, 1.0, new Incarnation("c".repeat(32)), 2.0));
      pair[0].merge(old);
      assertEquals(pair[0].share("x"), 0.25, 1e-9);
    }

    // Fails if grants count twice when a host that was removed and kept its share returns.
    @Test
    public void returnToFormerMembersKeepsTheGrants() {
      AccountLimiter[] pair = pair();
      exchangeReports(pair, 20, false);
      pair[1].setMembers(Map.of(B, 1.0));
      pair[1].setMembers(Map.of(A, 1.0, B, 1.0));
      assertTrue(pair[0].share("x") + pair[1].share("x") <= 1 + 1e-9);
    }
  }
}
