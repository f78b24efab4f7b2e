package org.clementinequay.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against choices that overload one engine while others are free. */
public class EngineSelectorTest {
  private static final List<String> ENGINES = List.of("a", "b", "c", "d");
  private static final EngineWork SHORT = new EngineWork(0, 500, 100, 1);

  /** Choices of a host that knows only its own work. */
  public static class OneHost {
    private EngineSelector selector;

    @BeforeMethod
    public void create() {
      selector = new EngineSelector();
    }

    @Test
    public void longPromptCountsMoreThanSeveralShortOnes() {
      selector.recordStart("a", new EngineWork(0, 50_000, 100, 3).millis(false), null);
      selector.recordStart("b", SHORT.millis(false), null);
      selector.recordStart("b", SHORT.millis(false), null);
      assertEquals(selector.choose(List.of("a", "b"), SHORT, null).engine(), "b");
    }

    @Test
    public void fastEngineTakesMore() {
      for (int i = 0; i < 20; i++) {
        selector.recordTokenTime("a", 10);
        selector.recordTokenTime("b", 30);
      }
      selector.recordStart("a", 50, null);
      selector.recordStart("b", 50, null);
      assertEquals(selector.choose(List.of("b", "a"), SHORT, null).engine(), "a");
    }

    @Test
    public void engineWithCachedPrefixIsPreferredUntilItIsBusy() {
      EngineWork longPrompt = new EngineWork(5000, 1000, 100, 1);
      selector.recordStart("c", 0, "prefix");
      selector.recordEnd("c", 0);
      assertEquals(selector.choose(ENGINES, longPrompt, "prefix").engine(), "c");
      selector.recordStart("c", 500, null);
      assertNotEquals(selector.choose(ENGINES, longPrompt, "prefix").engine(), "c");
    }

    @Test
    public void removedEngineHasNoOutstandingRuns() {
      selector.recordStart("a", 500, null);
      selector.retain(java.util.Set.of("b"));
      assertEquals(selector.outstanding("a"), 0);
    }
  }
}
