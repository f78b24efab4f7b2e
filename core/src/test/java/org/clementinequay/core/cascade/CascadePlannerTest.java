package org.clementinequay.core.cascade;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.ObjectiveWeights;
import org.testng.annotations.Test;

/** Tests of {@link CascadePlanner}. */
public class CascadePlannerTest {
  private static final ModelVersion SMALL = new ModelVersion("small", "1");
  private static final ModelVersion LARGE = new ModelVersion("large", "1");
  private static final RatePath SMALL_PATH = new RatePath(List.of(SMALL));

  private static CascadePlan plan(double smallPassRate, long remainingMillis, double target) {
    LearnedRates rates = new LearnedRates(new Incarnation("a".repeat(32)));
    for (int i = 0; i < 1000; i++) {
      rates.record(key(SMALL_PATH, RateKey.Kind.PASS), i < smallPassRate * 1000, 0);
      rates.record(key(SMALL_PATH, RateKey.Kind.KEPT), i % 100 != 0, 0);
      rates.record(key(SMALL_PATH.append(LARGE), RateKey.Kind.PASS), i % 50 != 0, 0);
      rates.record(key(new RatePath(List.of(LARGE)), RateKey.Kind.PASS), i % 50 != 0, 0);
    }
    CascadeRequest request =
        new CascadeRequest(
            "x",
            "tag",
            target,
            remainingMillis,
            100,
            0.5,
            List.of(
                new CascadeRequest.Candidate(SMALL, 10, 500),
                new CascadeRequest.Candidate(LARGE, 100, 1000)));
    return new CascadePlanner(rates, ObjectiveWeights.EQUAL).choose(request, 0);
  }

  private static RateKey key(RatePath path, RateKey.Kind kind) {
    return new RateKey("x", "tag", path, kind);
  }

  /** Tests of {@link CascadePlanner#choose}. */
  public static class Choose {
    // Fails if a plan pays for drafts that are nearly always rejected.
    @Test
    public void skipsTheDraftWhereTheCheapVersionFails() {
      assertEquals(plan(0.05, 60_000, 0.95).steps(), List.of(LARGE));
    }

    // Fails if the expensive version is used although the cheap one alone meets the target.
    @Test
    public void usesTheCheapVersionAloneWhereItSuffices() {
      assertEquals(plan(0.97, 60_000, 0.90).steps(), List.of(SMALL));
    }

    // Fails if a plan with a draft is chosen that misses the deadline when the draft is rejected.
    @Test
    public void skipsTheDraftWhereTimeIsShort() {
      assertEquals(plan(0.7, 60_000, 0.97).steps(), List.of(SMALL, LARGE));
      assertEquals(plan(0.7, 2_000, 0.97).steps(), List.of(LARGE));
    }

    // Fails if no plan is returned when none fits the deadline.
    @Test
    public void takesTheFastestPlanWhereNoneFitsTheDeadline() {
      assertEquals(plan(0.7, 1, 0.97).steps(), List.of(SMALL));
    }

    // Fails if a larger exposure weight does not raise the confidence level.
    @Test
    public void exposureWeightRaisesTheConfidenceLevel() {
      LearnedRates rates = new LearnedRates(new Incarnation("a".repeat(32)));
      CascadePlanner exposureWeighted = new CascadePlanner(rates, new ObjectiveWeights(1, 1, 4));
      CascadePlanner equallyWeighted = new CascadePlanner(rates, ObjectiveWeights.EQUAL);
      assertTrue(exposureWeighted.confidenceSigmas() > equallyWeighted.confidenceSigmas());
    }
  }
}
