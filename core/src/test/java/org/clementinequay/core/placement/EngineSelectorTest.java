package org.clementinequay.core.placement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against choices that overload one engine while others are free. */
public class EngineSelectorTest {
  private static final List<String> ENGINES = List.of("a", "b", "c", "d");
  private static final long MEMORY = 500_000;
  private static final EngineWork SHORT = new EngineWork(500, 100, 1, MEMORY);

  private static final PromptPrefix PREFIX =
      new PromptPrefix("m", List.of(new PromptPrefix.Part("prefix", 5000)));

  /** Choices of a host that knows only its own work. */
  public static class OneHost {
    private EngineSelector selector;

    @BeforeMethod
    public void create() {
      selector = new EngineSelector();
    }

    private EngineSelector.Choice start(String engine, double workMillis, PromptPrefix prefix) {
      EngineSelector.Choice choice =
          new EngineSelector.Choice(engine, 0, workMillis, 0, 0, EngineSelector.Basis.LOAD);
      selector.recordStart(choice, prefix, MEMORY);
      return choice;
    }

    @Test
    public void longPromptCountsMoreThanSeveralShortOnes() {
      start("a", new EngineWork(50_000, 100, 3, MEMORY).millis(0), PromptPrefix.none());
      start("b", SHORT.millis(0), PromptPrefix.none());
      start("b", SHORT.millis(0), PromptPrefix.none());
      assertEquals(selector.choose(List.of("a", "b"), SHORT, PromptPrefix.none(), 0).engine(), "b");
    }

    @Test
    public void fastEngineTakesMore() {
      for (int i = 0; i < 20; i++) {
        selector.recordTokenTime("a", 10);
        selector.recordTokenTime("b", 30);
      }
      start("a", 50, PromptPrefix.none());
      start("b", 50, PromptPrefix.none());
      assertEquals(selector.choose(List.of("b", "a"), SHORT, PromptPrefix.none(), 0).engine(), "a");
    }

    @Test
    public void engineWithCachedPrefixIsPreferredUntilItIsBusy() {
      EngineWork longPrompt = new EngineWork(6000, 100, 1, MEMORY);
      selector.recordEnd(start("c", 0, PREFIX));
      assertEquals(selector.choose(ENGINES, longPrompt, PREFIX, 0).engine(), "c");
      start("c", 500, PromptPrefix.none());
      assertNotEquals(selector.choose(ENGINES, longPrompt, PREFIX, 0).engine(), "c");
    }

    @Test
    public void restartedEngineHasCachedNothing() {
      EngineWork longPrompt = new EngineWork(6000, 100, 1, MEMORY);
      selector.recordProcess("c", 1);
      selector.recordEnd(start("c", 0, PREFIX));
      double cached = selector.choose(List.of("c"), longPrompt, PREFIX, 0).prefillMillis();
      selector.recordProcess("c", 1);
      assertEquals(selector.choose(List.of("c"), longPrompt, PREFIX, 0).prefillMillis(), cached);
      selector.recordProcess("c", 2);
      assertNotEquals(selector.choose(List.of("c"), longPrompt, PREFIX, 0).prefillMillis(), cached);
    }

    @Test
    public void engineWithoutRoomIsChosenOnlyIfNoOtherHasRoom() {
      EngineWork large = new EngineWork(300_000, 100, 1, MEMORY);
      EngineSelector.Choice choice = selector.choose(List.of("a"), large, PromptPrefix.none(), 0);
      selector.recordStart(choice, PromptPrefix.none(), MEMORY);
      start("b", 1e6, PromptPrefix.none());
      assertEquals(selector.choose(List.of("a", "b"), large, PromptPrefix.none(), 0).engine(), "b");
      assertEquals(selector.choose(List.of("a"), large, PromptPrefix.none(), 0).engine(), "a");
    }

    @Test
    public void promptLargerThanTheMemoryFitsNowhere() {
      assertEquals(new EngineWork(500_000, 1, 1, MEMORY).exceedsMemory(), true);
      assertEquals(new EngineWork(499_999, 1, 1, MEMORY).exceedsMemory(), false);
    }

    @Test
    public void removedEngineHasNoOutstandingRuns() {
      start("a", 500, PromptPrefix.none());
      selector.retain(java.util.Set.of("b"));
      assertEquals(selector.outstanding("a"), 0);
    }
  }

  /** Choices of a host that hears of the work of others. */
  public static class ManyHosts {
    private static final EngineWork LONG = new EngineWork(6000, 100, 1, MEMORY);
    private static final List<String> MANY =
        IntStream.range(0, 40).mapToObj(i -> "engine-" + i).toList();

    private EngineSelector selector;

    @BeforeMethod
    public void create() {
      selector = new EngineSelector(new SplittableRandom(1));
      selector.shareLoad(99);
    }

    private void report(String host, String engine, double workMillis, long nowNanos) {
      selector.mergeReport(
          host,
          1,
          false,
          List.of(new EngineLoadExchange.EngineSum(engine, workMillis, 0, 0, 0)),
          nowNanos);
    }

    private String chosen(long nowNanos) {
      return selector.choose(MANY, LONG, PREFIX, nowNanos).engine();
    }

    @Test
    public void allHostsSendPrefixToSameEngineWhileItsLoadIsBounded() {
      String first = chosen(0);
      EngineSelector other = new EngineSelector(new SplittableRandom(2));
      other.shareLoad(99);
      assertEquals(other.choose(MANY, LONG, PREFIX, 0).engine(), first);
      report("h", first, 5000, 0);
      assertNotEquals(chosen(0), first);
      assertEquals(
          selector.choose(MANY, LONG, PREFIX, 0).basis(), EngineSelector.Basis.PREFIX_COPY);
    }

    @Test
    public void reportsExpire() {
      String first = chosen(0);
      report("h", first, 5000, 0);
      assertNotEquals(chosen(EngineLoadExchange.FRESH_NANOS), first);
      assertEquals(chosen(EngineLoadExchange.EXPIRY_NANOS), first);
    }

    @Test
    public void repeatedReportCountsOnceAndUnlinkedHostNoMore() {
      report("h", "engine-1", 100, 0);
      report("h", "engine-1", 100, 0);
      assertEquals(selector.exchange().others(1, 0).get("engine-1").workMillis(), 100.0);
      assertEquals(selector.exchange().heardHosts(0), 1);
      selector.exchange().remove("h");
      assertEquals(selector.exchange().others(1, 0).size(), 0);
    }

    @Test
    public void hostsHeardStandForAllHosts() {
      report("h", "engine-1", 100, 0);
      report("i", "engine-1", 50, 0);
      assertEquals(selector.exchange().others(8, 0).get("engine-1").workMillis(), 600.0);
    }

    @Test
    public void invalidSumsAreIgnored() {
      report("h", "engine-1", -1, 0);
      report("h", "engine-2", Double.NaN, 0);
      report("h", "engine-3", 1e30, 0);
      report("h", null, 1, 0);
      assertEquals(selector.exchange().others(8, 0).size(), 0);
    }

    @Test
    public void onlyChangesAreReported() {
      EngineLoadExchange exchange = selector.exchange();
      var sum = new EngineLoadExchange.EngineSum("a", 100, 10, 0, 0);
      assertEquals(exchange.takeChanges(List.of(sum), false), List.of(sum));
      assertEquals(exchange.takeChanges(List.of(sum), false), List.of());
      assertEquals(exchange.takeChanges(List.of(sum), true), List.of(sum));
      var idle = new EngineLoadExchange.EngineSum("a", 0, 0, 0, 0);
      assertEquals(exchange.takeChanges(List.of(idle), false), List.of(idle));
    }
  }

  /** What an engine is assumed to have cached. */
  public static class Cache {
    private static final PromptPrefix LONG =
        new PromptPrefix(
            "m", List.of(new PromptPrefix.Part("x", 100), new PromptPrefix.Part("y", 900)));

    private static int cached(PrefixCache cache, PromptPrefix prefix) {
      return cache.cachedTokens(prefix, prefix.keys());
    }

    @Test
    public void longestBeginningOfSameModelCounts() {
      PrefixCache cache = new PrefixCache();
      cache.record(LONG, 10_000);
      PromptPrefix other =
          new PromptPrefix(
              "m", List.of(new PromptPrefix.Part("x", 100), new PromptPrefix.Part("z", 50)));
      assertEquals(cached(cache, LONG), 1000);
      assertEquals(cached(cache, other), 100);
      assertEquals(cached(cache, new PromptPrefix("n", LONG.parts())), 0);
      assertEquals(cached(cache, new PromptPrefix("m", LONG.parts().subList(1, 2))), 0);
    }

    @Test
    public void leastRecentlyUsedPartYieldsAndBeginningsLast() {
      PrefixCache cache = new PrefixCache();
      cache.record(LONG, 1500);
      PromptPrefix other = new PromptPrefix("m", List.of(new PromptPrefix.Part("o", 600)));
      cache.record(other, 1500);
      assertEquals(cached(cache, other), 600);
      assertEquals(cached(cache, LONG), 100);
    }
  }
}
