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

  private static RateReport reportOf(Incarnation origin, int good, int bad) {
    LearnedRates rates = new LearnedRates(origin);
    for (int i = 0; i < good + bad; i++) {
      rates.record(KEY, i < good, 0);
    }
    return rates.report(0);
  }

  /** Tests of {@link LearnedRates#merge}. */
  public static class Merge {
    // Fails if a report that arrives twice, or both directly and through a peer, is counted twice.
    @Test
    public void orderAndRepetitionDoNotMatter() {
      RateReport a = reportOf(A, 80, 20);
      RateReport b = reportOf(B, 10, 90);
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

    // Fails if a restarted host does not receive the counters that its peers hold.
    @Test
    public void restartedHostReceivesItsFormerCounters() {
      LearnedRates peer = new LearnedRates(B);
      peer.merge(reportOf(A, 90, 10), 0);
      LearnedRates restarted = new LearnedRates(C);
      peer.reportsOfOtherOrigins(0).forEach(report -> restarted.merge(report, 0));
      assertEquals(restarted.rate(KEY, 0).mean(), 0.9, 0.02);
    }
  }

  /** Tests of {@link LearnedRates#rate}. */
  public static class Rate {
    // Fails if an estimate follows a drift only after the long half-life.
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

    // Fails if one bad rating of a rarely used account is taken for drift.
    @Test
    public void singleBadRatingIsNotTakenForDrift() {
      LearnedRates rates = new LearnedRates(A);
      for (int i = 0; i < 100; i++) {
        rates.record(KEY, true, i * MINUTE);
      }
      rates.record(KEY, false, 100 * MINUTE);
      assertTrue(rates.rate(KEY, 100 * MINUTE).mean() > 0.9);
    }

    // Fails if the estimate for an account without ratings ignores those of other accounts.
    @Test
    public void newAccountStartsFromTheMeanOverAllAccounts() {
      LearnedRates rates = new LearnedRates(A);
      for (int i = 0; i < 400; i++) {
        rates.record(new RateKey("y" + i % 4, "tag", KEY.path(), KEY.kind()), i % 10 != 0, 0);
      }
      assertEquals(rates.rate(KEY, 2 * MINUTE).mean(), 0.9, 0.03);
    }
  }
}
