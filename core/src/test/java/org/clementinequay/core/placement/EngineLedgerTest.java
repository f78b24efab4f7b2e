package org.clementinequay.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against work that gathers on one engine. */
public class EngineLedgerTest {
  private static final long MILLI = 1_000_000L;
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
      assertEquals(ledger.choose(List.of("a", "b"), SHORT, null, 0).engine(), "b");
    }

    @Test
    public void fastEngineTakesMore() {
      for (int i = 0; i < 20; i++) {
        ledger.paced("a", 10);
        ledger.paced("b", 30);
      }
      ledger.started("a", 50, null);
      ledger.started("b", 50, null);
      assertEquals(ledger.choose(List.of("b", "a"), SHORT, null, 0).engine(), "a");
    }

    @Test
    public void engineThatHoldsTheSharedPartIsPreferredUntilItIsBusy() {
      EngineWork sheet = new EngineWork(5000, 1000, 100, 1);
      ledger.started("c", 0, "part");
      ledger.finished("c", 0);
      assertEquals(ledger.choose(ENGINES, sheet, "part", 0).engine(), "c");
      ledger.started("c", 500, null);
      assertNotEquals(ledger.choose(ENGINES, sheet, "part", 0).engine(), "c");
    }

    @Test
    public void goneEngineIsForgotten() {
      ledger.started("a", 500, null);
      ledger.retain(java.util.Set.of("b"));
      assertTrue(ledger.ownWork().isEmpty());
    }
  }

  /** A burst that arrives at several hosts within one exchange of their work. */
  public static class Burst {
    private static final int HOSTS = 9;
    private static final int ROUNDS = 12;

    /** Returns the largest work on an engine over the mean, after a burst. */
    private static double imbalance(boolean exchange) {
      Random random = new Random(11);
      List<EngineLedger> hosts = new ArrayList<>();
      for (int i = 0; i < HOSTS; i++) {
        hosts.add(new EngineLedger());
      }
      Map<String, Double> total = new java.util.TreeMap<>();
      for (int round = 0; round < ROUNDS; round++) {
        long now = round * 100 * MILLI;
        for (EngineLedger host : hosts) {
          List<String> order = new ArrayList<>(ENGINES);
          Collections.shuffle(order, random);
          int prompt = random.nextInt(10) == 0 ? 20_000 : 500;
          EngineWork work = new EngineWork(0, prompt, 100, 1);
          EngineLedger.Choice choice = host.choose(order, work, null, now);
          host.started(choice.engine(), choice.workMillis(), null);
          total.merge(choice.engine(), choice.workMillis(), Double::sum);
        }
        if (exchange && round % 3 == 2) {
          for (int from = 0; from < HOSTS; from++) {
            for (int to = 0; to < HOSTS; to++) {
              if (from != to) {
                hosts.get(to).peerWork("h" + from, hosts.get(from).ownWork(), now);
              }
            }
          }
        }
      }
      double sum = total.values().stream().mapToDouble(Double::doubleValue).sum();
      return Collections.max(total.values()) * ENGINES.size() / sum;
    }

    @Test
    public void hostsThatTellTheirWorkSpreadItBetter() {
      assertTrue(imbalance(true) < imbalance(false), imbalance(true) + " " + imbalance(false));
    }
  }
}
