package org.clementinequay.bench.policy;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.clementinequay.core.placement.EngineLoadExchange;
import org.clementinequay.core.placement.EngineSelector;
import org.clementinequay.core.placement.PromptLanes;

/** Hosts in three failure domains, with a selector each. */
final class FleetHosts implements EngineFleet.Router {
  private static final int DOMAINS = 3;
  private static final double REPORT_MILLIS = 1000;

  /** Objective for pauses in the streams, in milliseconds. */
  private static final long GAP_MILLIS = 1200;

  /** Rules for the choice of an engine. */
  enum Policy {
    OWN("own sums (rule for few hosts)"),
    RANDOM("random"),
    TWO_CHOICES("two choices, own counts"),
    ORACLE("oracle"),
    SHARED("reported sums, bounded loads"),
    LANES("own sums, long prompts on engines of their own");

    final String label;

    Policy(String label) {
      this.label = label;
    }
  }

  private final Policy policy;
  private final double lossShare;
  private final EngineSelector[] selectors;
  private final PromptLanes[] lanes;
  private final RandomGenerator random = new SplittableRandom(3);
  private EngineFleet fleet;
  private double lastReport;
  private int rounds;

  FleetHosts(Policy policy, int hosts, double lossShare) {
    this.policy = policy;
    this.lossShare = lossShare;
    selectors = new EngineSelector[hosts];
    lanes = new PromptLanes[hosts];
    for (int i = 0; i < hosts; i++) {
      selectors[i] = new EngineSelector(new SplittableRandom(i));
      lanes[i] = new PromptLanes(policy == Policy.LANES ? 1 : 0);
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
    if (policy == Policy.LANES) {
      candidates = lanes[request.host].assign("", candidates, request.work, GAP_MILLIS).engines();
    } else if (policy != Policy.OWN && policy != Policy.SHARED) {
      int choices = policy == Policy.ORACLE ? candidates.size() : 2;
      candidates = List.of(candidates.stream().limit(choices).min(order).orElseThrow());
    }
    EngineSelector.Choice choice =
        own.choose(candidates, request.work, request.prefix, (long) (nowMillis * 1e6));
    own.recordStart(choice, request.prefix, EngineFleet.MEMORY_TOKENS);
    lanes[request.host].record("", request.work, GAP_MILLIS);
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

  /**
   * Plays a policy.
   *
   * @param load offered work as a share of the engines' capacity
   * @param lossShare share of the reports that is lost
   * @param hotShare share of the requests of each kind that ask for one subject
   */
  static EngineFleet.Result play(
      Policy policy, int hosts, double[] speeds, double load, double lossShare, double hotShare) {
    FleetHosts router = new FleetHosts(policy, hosts, lossShare);
    int engines = Math.max(6, hosts * 42 / 111);
    router.fleet = new EngineFleet(hosts, engines, speeds, load, router);
    router.fleet.setHotShare(hotShare);
    return router.fleet.run();
  }
}
