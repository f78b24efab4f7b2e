package org.clementinequay.core.coldstart;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a herd on upstreams that have just started. */
public class ColdStartLimiterTest {
  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1000 * MILLI;
  private static final ColdStartBound BOUND = new ColdStartBound(1.5, 5);
  private static final double PER_SECOND = 10;

  /** What the bound allows within a second: 10 x 1.5 + 5. */
  private static final int MOST = 20;

  private static final int SECONDS = 12;

  /** What the hosts know of each other. */
  private enum Knowledge {
    SAME,
    /** Each host misses a fifth of the others, each another fifth. */
    EACH_MISSES_A_FIFTH,
    /** A third of the hosts does not know the youngest tenth. */
    CUT_OFF_BEFORE_THE_YOUNGEST_CAME,
    /** A tenth of the hosts knows nobody, as the list of hosts cannot be read. */
    TENTH_KNOWS_NOBODY;

    List<String> members(int host, List<String> all, SplittableRandom random) {
      Predicate<String> known =
          switch (this) {
            case SAME -> name -> true;
            case EACH_MISSES_A_FIFTH -> name -> random.nextInt(5) > 0;
            case CUT_OFF_BEFORE_THE_YOUNGEST_CAME ->
                name -> host % 3 > 0 || all.indexOf(name) < all.size() * 9 / 10;
            case TENTH_KNOWS_NOBODY -> name -> host % 10 > 0;
          };
      return all.stream().filter(known).toList();
    }
  }

  private static final class Fleet {
    private final SplittableRandom random = new SplittableRandom(11);
    private final List<String> names = new ArrayList<>();
    private final List<ColdStartLimiter> hosts = new ArrayList<>();
    private final Knowledge knowledge;
    private final Deque<Long> lastSecond = new ArrayDeque<>();
    private int sent;
    private int mostInASecond;

    private Fleet(int size, Knowledge knowledge) {
      this.knowledge = knowledge;
      for (int i = 0; i < size; i++) {
        names.add("front-" + i);
      }
      for (int i = 0; i < size; i++) {
        hosts.add(start(i, -10 * SECOND));
      }
    }

    private ColdStartLimiter start(int host, long nowNanos) {
      ColdStartLimiter limiter = new ColdStartLimiter(names.get(host), Optional.of(BOUND));
      limiter.updateMembers(knowledge.members(host, names, random), nowNanos);
      return limiter;
    }

    /**
     * Every host sends whatever it may to one upstream; a part of the hosts restarts each second.
     */
    private void play(String upstream, double restartedPerSecond) {
      hosts.forEach(host -> host.markCold(upstream, PER_SECOND, 60 * SECOND, 0));
      for (long now = 0; now < SECONDS * SECOND; now += 20 * MILLI) {
        for (int i = 0; i < hosts.size(); i++) {
          if (random.nextDouble() < restartedPerSecond / 50) {
            hosts.set(i, start(i, now));
            hosts.get(i).markCold(upstream, PER_SECOND, 60 * SECOND, now);
          }
          count(hosts.get(i).tryAdmit(upstream, now), now);
        }
      }
    }

    private void count(boolean admitted, long nowNanos) {
      while (!lastSecond.isEmpty() && nowNanos - lastSecond.peekFirst() >= SECOND) {
        lastSecond.removeFirst();
      }
      if (admitted) {
        sent++;
        lastSecond.addLast(nowNanos);
        mostInASecond = Math.max(mostInASecond, lastSecond.size());
      }
    }
  }

  @DataProvider
  public Object[][] fleets() {
    List<Object[]> rows = new ArrayList<>();
    for (int size : new int[] {1, 3, 81, 300}) {
      for (Knowledge knowledge : Knowledge.values()) {
        for (double restarted : new double[] {0, 0.05, 0.5}) {
          rows.add(new Object[] {size, knowledge, restarted});
        }
      }
    }
    return rows.toArray(Object[][]::new);
  }

  @Test(dataProvider = "fleets")
  public void sumOverAllHostsIsBounded(int size, Knowledge knowledge, double restarted) {
    for (int upstream = 0; upstream < 8; upstream++) {
      Fleet fleet = new Fleet(size, knowledge);
      fleet.play("u" + upstream, restarted);
      assertTrue(fleet.mostInASecond <= MOST, fleet.mostInASecond + " in a second");
    }
  }

  // Guards against hosts that were replaced and keep their slots.
  @Test
  public void slotsOfHostsThatLeftTheListComeBack() {
    ColdStartLimiter limiter = new ColdStartLimiter("h", Optional.of(BOUND));
    List<String> replaced = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      replaced.add("gone-" + i);
    }
    limiter.updateMembers(replaced, 0);
    limiter.updateMembers(List.of("h"), 10 * SECOND);
    limiter.updateMembers(List.of("h"), 100 * SECOND);
    limiter.markCold("u", PER_SECOND, 200 * SECOND, 110 * SECOND);
    assertEquals(limiter.share("u", 110 * SECOND), (int) PER_SECOND);
  }

  // Guards against a limit that keeps a cold upstream idle.
  @Test
  public void coldUpstreamGetsWhatItBears() {
    for (int size : new int[] {1, 3, 81, 300}) {
      Fleet fleet = new Fleet(size, Knowledge.SAME);
      fleet.play("u", 0);
      assertTrue(fleet.sent >= 0.8 * PER_SECOND * SECONDS, fleet.sent + " of " + size + " hosts");
    }
  }

  @DataProvider
  public Object[][] bounds() {
    return new Object[][] {
      // factor, extra, requests a second, most, shared out
      {1.5, 5, 10, 20, 10},
      {1, 0, 10, 10, 5},
      {1, 0, 1, 1, 1},
      {0, 0, 10, 0, 0},
      {1.5, 5, 0.5, 5, 1},
      {1.5, 5, 1e18, 1_000_000, 500_000},
    };
  }

  @Test(dataProvider = "bounds")
  public void boundIsWhole(double factor, double extra, double perSecond, int most, int shared) {
    ColdStartBound bound = new ColdStartBound(factor, extra);
    assertEquals(bound.most(perSecond), most);
    assertEquals(bound.shared(perSecond), shared);
  }

  @Test
  public void nothingIsLimitedUnlessAskedFor() {
    ColdStartLimiter unlimited = new ColdStartLimiter("h", Optional.empty());
    assertFalse(unlimited.markCold("u", PER_SECOND, SECOND, 0));
    assertTrue(unlimited.tryAdmit("u", 0));
    ColdStartLimiter limiter = new ColdStartLimiter("h", Optional.of(BOUND));
    assertFalse(limiter.markCold("u", 0, SECOND, 0));
    assertTrue(limiter.tryAdmit("u", 0));
  }

  @Test
  public void limitEndsWithTheTimeAndComesBack() {
    ColdStartLimiter limiter = new ColdStartLimiter("h", Optional.of(BOUND));
    assertTrue(limiter.markCold("u", PER_SECOND, 3 * SECOND, 0));
    assertFalse(limiter.markCold("u", PER_SECOND, 2 * SECOND, MILLI), "an older reading");
    assertFalse(limiter.available("u", 3 * SECOND - 1));
    assertTrue(limiter.available("other", 3 * SECOND - 1));
    assertTrue(limiter.available("u", 3 * SECOND));
    assertTrue(limiter.markCold("u", PER_SECOND, 9 * SECOND, 4 * SECOND), "cold again");
    assertFalse(limiter.tryAdmit("u", 5 * SECOND));
    assertEquals(limiter.heldBack(), 1);
  }
}
