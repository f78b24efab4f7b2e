package org.clementinequay.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against work that gathers on one engine. */
public class EngineLedgerTest {
  private static final List<String> ENGINES = List.of("a", "b", "c", "d");
  private static final EngineWork SHORT = new EngineWork(0, 500, 100, 1);

  /** Choices of one host. */
  public static class OneHost {
    private EngineLedger ledger;

    @BeforeMethod
    public void create() {
      ledger = new EngineLedger();
    }

    @Test
    public void longPromptCountsMoreThanSeveralShortOnes() {
      ledger.started("a", new EngineWork(0, 50_000, 100, 3).millis(false), null);
      ledger.started("b", SHORT.millis(false), null);
      ledger.started("b", SHORT.millis(false), null);
      assertEquals(ledger.choose(List.of("a", "b"), SHORT, null).engine(), "b");
    }

    @Test
    public void fastEngineTakesMore() {
      for (int i = 0; i < 20; i++) {
        ledger.paced("a", 10);
        ledger.paced("b", 30);
      }
      ledger.started("a", 50, null);
      ledger.started("b", 50, null);
      assertEquals(ledger.choose(List.of("b", "a"), SHORT, null).engine(), "a");
    }

    @Test
    public void engineThatHoldsTheSharedPartIsPreferredUntilItIsBusy() {
      EngineWork sheet = new EngineWork(5000, 1000, 100, 1);
      ledger.started("c", 0, "part");
      ledger.finished("c", 0);
      assertEquals(ledger.choose(ENGINES, sheet, "part").engine(), "c");
      ledger.started("c", 500, null);
      assertNotEquals(ledger.choose(ENGINES, sheet, "part").engine(), "c");
    }

    @Test
    public void goneEngineIsForgotten() {
      ledger.started("a", 500, null);
      ledger.retain(java.util.Set.of("b"));
      assertEquals(ledger.outstanding("a"), 0);
    }
  }
}
