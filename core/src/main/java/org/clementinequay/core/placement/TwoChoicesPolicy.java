package org.clementinequay.core.placement;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Power of two choices: of two upstreams drawn at random, takes the one with less outstanding work
 * of this host per slot. Needs no reports, so that it works with an empty state and stale peers.
 */
public final class TwoChoicesPolicy implements PlacementPolicy {
  private final RandomGenerator random;

  /** Creates a policy that draws from the given source, which it does not share between threads. */
  public TwoChoicesPolicy(RandomGenerator random) {
    this.random = random;
  }

  @Override
  public Optional<Placement> choose(PlacementRequest request, List<UpstreamView> upstreams) {
    int count = upstreams.size();
    if (count == 0) {
      return Optional.empty();
    }
    int first = draw(count);
    int second = count == 1 ? first : (first + 1 + draw(count - 1)) % count;
    UpstreamView a = upstreams.get(first);
    UpstreamView b = upstreams.get(second);
    UpstreamView chosen = load(b) < load(a) ? b : a;
    return Optional.of(Placement.withoutEstimate(chosen.name()));
  }

  private synchronized int draw(int bound) {
    return random.nextInt(bound);
  }

  private static double load(UpstreamView view) {
    return view.ownOutstanding() / (double) Math.max(1, view.slots());
  }
}
