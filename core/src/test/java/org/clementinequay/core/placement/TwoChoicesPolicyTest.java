package org.clementinequay.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.OptionalLong;
import java.util.random.RandomGeneratorFactory;
import org.testng.annotations.Test;

/** Tests of {@link TwoChoicesPolicy}. */
public class TwoChoicesPolicyTest {
  private static final PlacementRequest REQUEST =
      new PlacementRequest(0, 0, 1000, 10, 10, OptionalLong.empty());

  private static TwoChoicesPolicy policy() {
    return new TwoChoicesPolicy(RandomGeneratorFactory.of("L64X128MixRandom").create(1));
  }

  /** Tests of {@link TwoChoicesPolicy#choose}. */
  public static class Choose {
    // Guards against an exception when every upstream is ejected.
    @Test
    public void emptyListGivesNoPlacement() {
      assertTrue(policy().choose(REQUEST, List.of()).isEmpty());
    }

    // Guards against comparing an upstream with itself, which would sometimes pick the loaded one.
    @Test
    public void prefersTheLessLoadedPerSlot() {
      UpstreamTracker tracker = new UpstreamTracker();
      for (int i = 0; i < 3; i++) {
        tracker.recordStart("small", 10);
        tracker.recordStart("large", 10);
      }
      List<UpstreamView> views =
          List.of(tracker.view("small", "d", 2, 0), tracker.view("large", "d", 16, 0));
      TwoChoicesPolicy policy = policy();
      for (int i = 0; i < 50; i++) {
        assertEquals(policy.choose(REQUEST, views).orElseThrow().upstream(), "large");
      }
    }
  }
}
