package org.clementinequay.core.cascade;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.testng.annotations.Test;

/** Tests of {@link RatingSampler}. */
public class RatingSamplerTest {
  // Fails if the sampler exceeds its budget or leaves out answers of the small account.
  @Test
  public void smallAccountIsFullyRatedWithinTheBudget() {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(1);
    RatingSampler sampler = new RatingSampler(0.1);
    int[] rated = new int[2];
    for (int i = 0; i < 20_000; i++) {
      int account = i % 50 == 0 ? 1 : 0;
      boolean sampled =
          sampler.sample("account-" + account, "tag", random.nextDouble(), i * 10_000_000L);
      if (sampled && i >= 10_000) {
        rated[account]++;
      }
    }
    assertEquals(rated[0] + rated[1], 1000, 100);
    assertTrue(rated[1] >= 195, "rated answers of the small account: " + rated[1]);
  }
}
