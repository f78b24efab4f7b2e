package org.clementinequay.core.cascade;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.ModelVersion;
import org.testng.annotations.Test;

/** Tests of {@link LearnedRates}. */
public class LearnedRatesTest {
  private static final Incarnation A = new Incarnation("a".repeat(32));
  private static final Incarnation B = new Incarnation("b".repeat(32));
  private static final Incarnation C = new Incarnation("c".repeat(32));
  private static final ModelVersion SMALL = new ModelVersion("small", "1");
  private static final RateKey KEY =
      new RateKey("x", "tag", new RatePath(List.of(SMALL)), RateKey.Kind.PASS);
  private static final long MINUTE = 60_000_000_000L;

  private static RateReport observed(Incarnation origin, int good, int bad) {
    LearnedRates rates = new LearnedRates(origin);
    for (int i = 0; i < good + bad; i++) {
      rates.record(KEY, i < good, 0);
    }
    return rates.report(0);
  }

  /** Tests of {@link LearnedRates#merge}. */
  public static class Merge {
    // Guards against double counting when a report arrives twice or by two ways.
    @Test
    public void orderAndRepetitionDoNotMatter() {
      RateReport a = observed(A, 80, 20);
      RateReport b = observed(B, 10, 90);
      LearnedRates once = new LearnedRates(C);
      once.merge(a, 0);
      once.merge(b, 0);
      LearnedRates twice = new LearnedRates(C);
      twice.merge(b, 0);
      twice.merge(a, 0);
      once.reportsOfOtherOrigins(0).forEach(report -> twice.merge(report, 0));
      assertEquals(twice.rate(KEY, 0), once.rate(KEY, 0));
      assertEquals(once.rate(KEY, 0).mean(), 0.45, 0.02);
    }

    // Guards against a restarted host that starts without what its peers know.
    @Test
    public void restartedHostTakesOverItsOldCounters() {
      LearnedRates peer = new LearnedRates(B);
      peer.merge(observed(A, 90, 10), 0);
      LearnedRates restarted = new LearnedRates(C);
      peer.reportsOfOtherOrigins(0).forEach(report -> restarted.merge(report, 0));
      assertEquals(restarted.rate(KEY, 0).mean(), 0.9, 0.02);
    }
  }

  /** Tests of {@link LearnedRates#rate}. */
  public static class Rate {
    // Guards against an estimate that follows a drift only after the long half-life.
    @Test
    public void fallIsFollowedWithinTwoMinutes() {
      LearnedRates rates = new LearnedRates(A);
      for (int i = 0; i < 600; i++) {
        rates.record(KEY, i % 10 != 0, i * MINUTE / 30);
      }
      long start = 20 * MINUTE;
      for (int i = 0; i < 60; i++) {
        rates.record(KEY, i % 2 == 0, start + i * MINUTE / 30);
      }
      assertTrue(rates.rate(KEY, start + 2 * MINUTE).mean() < 0.7);
    }

    // Guards against a drift alarm on a single bad rating of a rarely used account.
    @Test
    public void singleBadRatingIsNoDrift() {
      LearnedRates rates = new LearnedRates(A);
      for (int i = 0; i < 100; i++) {
        rates.record(KEY, true, i * MINUTE);
      }
      rates.record(KEY, false, 100 * MINUTE);
      assertTrue(rates.rate(KEY, 100 * MINUTE).mean() > 0.9);
    }

    // Guards against an account without data that ignores what other accounts show.
    @Test
    public void newAccountStartsFromThePool() {
      LearnedRates rates = new LearnedRates(A);
      for (int i = 0; i < 400; i++) {
        rates.record(new RateKey("y" + i % 4, "tag", KEY.path(), KEY.kind()), i % 10 != 0, 0);
      }
      assertEquals(rates.rate(KEY, 2 * MINUTE).mean(), 0.9, 0.03);
    }
  }
}
