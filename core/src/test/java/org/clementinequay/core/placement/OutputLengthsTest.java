package org.clementinequay.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against trust in estimates of callers that are far off. */
public class OutputLengthsTest {
  /** Answers after which the errors of the callers are known. */
  private static final int LEARNING = 200;

  @DataProvider
  public Object[][] errors() {
    return new Object[][] {{0.5}, {1.0}, {1.5}};
  }

  @Test(dataProvider = "errors")
  public void estimateIsBetterThanThatOfTheCaller(double error) {
    OutputLengths lengths = new OutputLengths();
    SplittableRandom random = new SplittableRandom(1);
    double ownError = 0;
    double callersError = 0;
    for (int i = 0; i < 2000; i++) {
      int tokens = (int) Math.max(1, 300 * Math.exp(0.8 * random.nextGaussian()));
      int estimate = (int) Math.max(1, tokens * Math.exp(error * random.nextGaussian()));
      if (i >= LEARNING) {
        ownError += Math.pow(lengths.estimate("r", estimate) - tokens, 2);
        callersError += Math.pow(estimate - tokens, 2);
      }
      lengths.record("r", estimate, tokens);
    }
    assertTrue(ownError <= callersError, ownError + " " + callersError);
  }

  @Test
  public void accurateEstimateIsFollowed() {
    OutputLengths lengths = new OutputLengths();
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < LEARNING; i++) {
      int tokens = (int) Math.max(1, 300 * Math.exp(0.8 * random.nextGaussian()));
      lengths.record("r", (int) (tokens * Math.exp(0.1 * random.nextGaussian())), tokens);
    }
    assertEquals(lengths.estimate("r", 1000), 1000, 100);
  }

  @Test
  public void callersEstimateCountsWhileLittleIsKnown() {
    OutputLengths lengths = new OutputLengths();
    for (int i = 1; i < OutputLengths.MIN_SAMPLES; i++) {
      lengths.record("r", 100, 1000);
    }
    assertEquals(lengths.estimate("r", 100), 100);
    assertEquals(lengths.estimate("unknown", 7), 7);
    lengths.record("r", 100, 1000);
    assertTrue(lengths.estimate("r", 100) > 500);
  }

  @Test
  public void missingEstimatesAreNotCounted() {
    OutputLengths lengths = new OutputLengths();
    for (int i = 0; i < 100; i++) {
      lengths.record("r", 0, 1000);
      lengths.record("r", 100, -1);
    }
    assertEquals(lengths.estimate("r", 0), 0);
    assertEquals(lengths.estimate("r", 100), 100);
  }
}
