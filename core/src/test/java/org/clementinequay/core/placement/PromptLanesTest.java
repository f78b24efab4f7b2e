package org.clementinequay.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.clementinequay.core.placement.PromptLanes.Lane;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against short answers that wait behind long prompts. */
public class PromptLanesTest {
  private static final String SERVICE = "s";
  private static final long GAP_MILLIS = 1200;
  private static final EngineWork LONG = new EngineWork(12_000, 380, 2.5, 584_000);
  private static final EngineWork SHORT = new EngineWork(1_800, 20, 2.5, 584_000);

  private static List<String> engines(int count) {
    return IntStream.range(0, count).mapToObj(i -> "10.0.0." + i).toList();
  }

  /** Services with many engines. */
  public static class ManyEngines {
    private PromptLanes lanes;

    @BeforeMethod
    public void create() {
      lanes = new PromptLanes(12);
    }

    private List<String> assigned(List<String> engines, EngineWork work) {
      return lanes.assign(SERVICE, engines, work, GAP_MILLIS).engines();
    }

    @Test
    public void haveAnEngineInOneLaneOnly() {
      List<String> longLane = assigned(engines(42), LONG);
      List<String> shortLane = assigned(engines(42), SHORT);
      assertTrue(Collections.disjoint(longLane, shortLane));
      assertEquals(longLane.size() + shortLane.size(), 42);
      assertEquals(longLane.size(), lanes.longEngines(SERVICE, 42));
    }

    @Test
    public void haveTheSameLanesOnEveryHost() {
      List<String> shuffled = new ArrayList<>(engines(42));
      Collections.shuffle(shuffled, new Random(5));
      assertEquals(
          List.copyOf(assigned(shuffled, LONG)).stream().sorted().toList(),
          assigned(engines(42), LONG).stream().sorted().toList());
    }

    // The order carries the random choice among equal engines.
    @Test
    public void keepTheOrderOfTheCandidates() {
      List<String> reversed = new ArrayList<>(engines(42));
      Collections.reverse(reversed);
      List<String> lane = assigned(reversed, SHORT);
      List<String> expected = new ArrayList<>(reversed);
      expected.retainAll(lane);
      assertEquals(lane, expected);
    }

    @DataProvider
    public Object[][] demands() {
      return new Object[][] {{0, 500}, {500, 0}, {100, 500}, {50, 500}};
    }

    @Test(dataProvider = "demands")
    public void followTheDemand(int longPrompts, int shortPrompts) {
      int all = longPrompts + shortPrompts;
      for (int i = 0; i < all; i++) {
        boolean isLong = (long) (i + 1) * longPrompts / all > (long) i * longPrompts / all;
        lanes.record(SERVICE, isLong ? LONG : SHORT, GAP_MILLIS);
      }
      double workShare =
          longPrompts
              * LONG.millis(0)
              / (longPrompts * LONG.millis(0) + shortPrompts * SHORT.millis(0));
      double expected = Math.max(0.2, Math.min(0.8, 1.2 * workShare));
      assertEquals(lanes.longEngines(SERVICE, 100) / 100.0, expected, 0.06);
    }

    @Test
    public void moveFewEnginesWhenOneLeaves() {
      List<String> before = assigned(engines(42), LONG);
      List<String> after = assigned(engines(41), LONG);
      List<String> moved = new ArrayList<>(after);
      moved.removeAll(before);
      assertTrue(moved.size() <= 1, moved + " joined");
    }

    // A longer pause is allowed, so the same prompt disturbs less.
    @Test
    public void judgeAPromptByTheObjectiveForPauses() {
      assertEquals(lanes.assign(SERVICE, engines(42), LONG, GAP_MILLIS).lane(), Lane.LONG);
      assertEquals(lanes.assign(SERVICE, engines(42), LONG, 5 * GAP_MILLIS).lane(), Lane.SHORT);
      assertEquals(lanes.assign(SERVICE, engines(42), LONG, 0).lane(), Lane.LONG);
    }
  }

  /** Services with few engines, and settings without lanes. */
  public static class FewEngines {
    @DataProvider
    public Object[][] sizes() {
      return new Object[][] {{12, 11}, {0, 42}, {-3, 42}, {1, 1}, {2, 1}};
    }

    @Test(dataProvider = "sizes")
    public void takeEveryPrompt(int minEngines, int count) {
      PromptLanes lanes = new PromptLanes(minEngines);
      PromptLanes.Assignment assignment = lanes.assign(SERVICE, engines(count), LONG, GAP_MILLIS);
      assertEquals(assignment.lane(), Lane.ANY);
      assertEquals(assignment.engines(), engines(count));
      assertEquals(lanes.longEngines(SERVICE, count), 0);
    }

    @Test
    public void leaveNoLaneEmpty() {
      PromptLanes lanes = new PromptLanes(2);
      assertFalse(lanes.assign(SERVICE, engines(2), LONG, GAP_MILLIS).engines().isEmpty());
      assertFalse(lanes.assign(SERVICE, engines(2), SHORT, GAP_MILLIS).engines().isEmpty());
    }
  }
}
