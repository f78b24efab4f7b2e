package org.clementinequay.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Power of two random choices: draws two upstreams at random and takes the one with fewer
 * outstanding requests of this host per slot. It uses no load reports or data from peers, so it
 * also works right after a start and when that data is stale.
 */
public final class TwoChoicesPolicy implements PlacementPolicy {
  private final RandomGenerator random;

  /**
   * Creates a policy.
   *
   * @param random source of the draws; need not be thread-safe if only this policy uses it, because
   *     the policy synchronizes its access
   */
  public TwoChoicesPolicy(RandomGenerator random) {
    this.random = random;
  }

  @Override
  public Optional<Placement> choose(PlacementRequest request, List<UpstreamView> upstreams) {
    int count = upstreams.size();
    if (count == 0) {
      return Optional.empty();
    }
    int first = nextInt(count);
    int second = count == 1 ? first : (first + 1 + nextInt(count - 1)) % count;
    UpstreamView a = upstreams.get(first);
    UpstreamView b = upstreams.get(second);
    UpstreamView chosen = loadPerSlot(b) < loadPerSlot(a) ? b : a;
    return Optional.of(Placement.withoutEstimate(chosen.name()));
  }

  private synchronized int nextInt(int bound) {
    return random.nextInt(bound);
  }

  private static double loadPerSlot(UpstreamView view) {
    return view.ownOutstanding() / (double) Math.max(1, view.slots());
  }
}
