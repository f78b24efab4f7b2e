package org.clementinequay.core.placement;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Replays a steady load of many hosts on few engines. The main method prints the table of {@code
 * docs/policy.md}.
 */
public class EnginePlacementTest {
  private static final double[] EVEN = {1};
  private static final double[] UNEVEN = {0.7, 0.7, 1.7};

  /** Share of requests that may be late at 95 % load; their users leave when every tenth is. */
  private static final double MAX_LATE_SHARE = 0.05;

  /** Largest share of the requests of a kind for one subject, according to deployment sheets. */
  private static final double HOT_SHARE = 0.28;

  /** Share of requests that may be late at 70 % load. */
  private static final double MAX_LATE_SHARE_AT_EASE = 0.01;

  /** Hosts of which each knows a part of the load. */
  public static class ManyHosts {
    @DataProvider
    public Object[][] fleets() {
      return new Object[][] {{30, EVEN}, {30, UNEVEN}, {111, EVEN}, {111, UNEVEN}, {300, UNEVEN}};
    }

    @Test(dataProvider = "fleets")
    public void requestsAreOnTimeAtHighLoad(int hosts, double[] speeds) {
      EngineFleet.Result result = play(Policy.SHARED, hosts, speeds, 0.95, 0);
      assertTrue(result.lateShare() <= MAX_LATE_SHARE, result.toString());
    }

    @Test(dataProvider = "fleets")
    public void prefixesAreReadAgainHalfAsOftenAsWithoutAffinity(int hosts, double[] speeds) {
      EngineFleet.Result two = play(Policy.TWO_CHOICES, hosts, speeds, 0.7, 0);
      EngineFleet.Result shared = play(Policy.SHARED, hosts, speeds, 0.7, 0);
      assertTrue(shared.rereadShare() <= two.rereadShare() / 2, two + " " + shared);
      assertTrue(shared.lateShare() <= MAX_LATE_SHARE_AT_EASE, shared.toString());
    }

    @Test(dataProvider = "fleets")
    public void popularPrefixMakesNoHotSpot(int hosts, double[] speeds) {
      Hosts router = new Hosts(Policy.SHARED, hosts, 0);
      router.fleet = new EngineFleet(hosts, engines(hosts), speeds, 0.7, router);
      router.fleet.setHotShare(HOT_SHARE);
      EngineFleet.Result result = router.fleet.run();
      assertTrue(result.lateShare() <= MAX_LATE_SHARE, result.toString());
    }

    @Test
    public void lostReportsCostLittle() {
      EngineFleet.Result result = play(Policy.SHARED, 111, UNEVEN, 0.95, 0.5);
      assertTrue(result.lateShare() <= MAX_LATE_SHARE, result.toString());
    }

    @Test
    public void hostsThatHearNothingAreNoWorseThanWithOwnCounts() {
      EngineFleet.Result two = play(Policy.TWO_CHOICES, 111, UNEVEN, 0.95, 0);
      EngineFleet.Result shared = play(Policy.SHARED, 111, UNEVEN, 0.95, 1);
      assertTrue(shared.lateShare() <= two.lateShare(), two + " " + shared);
    }
  }

  private enum Policy {
    OWN,
    RANDOM,
    TWO_CHOICES,
    ORACLE,
    SHARED
  }

  private static int engines(int hosts) {
    return Math.max(6, hosts * 42 / 111);
  }

  /** Plays a policy at a share of the engines' capacity, with a share of the reports lost. */
  private static EngineFleet.Result play(
      Policy policy, int hosts, double[] speeds, double load, double lossShare) {
    Hosts router = new Hosts(policy, hosts, lossShare);
    router.fleet = new EngineFleet(hosts, engines(hosts), speeds, load, router);
    return router.fleet.run();
  }

  /** Prints a line for each policy, number of hosts and load. */
  public static void main(String[] args) {
    for (double[] speeds : new double[][] {EVEN, UNEVEN}) {
      for (int hosts : new int[] {9, 30, 111, 300}) {
        for (Policy policy : Policy.values()) {
          StringBuilder line = new StringBuilder();
          line.append("| ").append(speeds == EVEN ? "even" : "uneven");
          line.append(" | ").append(hosts).append(" | ").append(policy);
          for (double load : new double[] {0.7, 0.95, 1.2}) {
            EngineFleet.Result r = play(policy, hosts, speeds, load, 0);
            line.append(
                String.format(
                    " | %.0f / %.0f, %.3f, %.2f",
                    r.p50(), r.p99(), r.lateShare(), r.rereadShare()));
          }
          System.out.println(line.append(" |"));
        }
      }
    }
  }

  /** Hosts in three failure domains, with a selector each. */
  private static final class Hosts implements EngineFleet.Router {
    private static final int DOMAINS = 3;
    private static final double REPORT_MILLIS = 1000;

    private final Policy policy;
    private final double lossShare;
    private final EngineSelector[] selectors;
    private final RandomGenerator random = new SplittableRandom(3);
    private EngineFleet fleet;
    private double lastReport;
    private int rounds;

    private Hosts(Policy policy, int hosts, double lossShare) {
      this.policy = policy;
      this.lossShare = lossShare;
      selectors = new EngineSelector[hosts];
      for (int i = 0; i < hosts; i++) {
        selectors[i] = new EngineSelector(new SplittableRandom(i));
        selectors[i].shareLoad(policy == Policy.SHARED ? hosts - 1 : 0);
      }
    }

    @Override
    public EngineSelector.Choice choose(
        EngineFleet.Request request, List<String> engines, double nowMillis) {
      List<String> candidates = new ArrayList<>(engines);
      Collections.shuffle(candidates, new Random(random.nextLong()));
      EngineSelector own = selectors[request.host];
      Comparator<String> order =
          switch (policy) {
            case RANDOM -> (one, other) -> 0;
            case TWO_CHOICES -> Comparator.comparingInt(own::outstanding);
            default -> Comparator.comparingDouble(e -> fleet.remainingMillis(e, request));
          };
      if (policy != Policy.OWN && policy != Policy.SHARED) {
        int choices = policy == Policy.ORACLE ? candidates.size() : 2;
        candidates = List.of(candidates.stream().limit(choices).min(order).orElseThrow());
      }
      EngineSelector.Choice choice =
          own.choose(candidates, request.work, request.prefix, (long) (nowMillis * 1e6));
      own.recordStart(choice, request.prefix, EngineFleet.MEMORY_TOKENS);
      return choice;
    }

    @Override
    public void ended(EngineFleet.Request request, double millisPerToken) {
      selectors[request.host].recordEnd(request.choice);
      selectors[request.host].recordTokenTime(request.choice.engine(), millisPerToken);
    }

    @Override
    public void tick(double nowMillis) {
      if (policy != Policy.SHARED || nowMillis - lastReport < REPORT_MILLIS) {
        return;
      }
      lastReport = nowMillis;
      boolean full = rounds++ % 8 == 0;
      for (int from = 0; from < selectors.length; from++) {
        List<EngineLoadExchange.EngineSum> sums =
            selectors[from].exchange().takeChanges(selectors[from].takeSums(), full);
        for (int to = from % DOMAINS; to < selectors.length; to += DOMAINS) {
          if (to != from && random.nextDouble() >= lossShare) {
            selectors[to].mergeReport("host-" + from, 1, full, sums, (long) (nowMillis * 1e6));
          }
        }
      }
    }
  }
}
