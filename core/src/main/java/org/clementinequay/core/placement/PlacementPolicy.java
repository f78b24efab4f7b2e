package org.clementinequay.core.placement;

import java.util.List;
import java.util.Optional;

/** Chooses the upstream for one attempt. Implementations are safe for concurrent use. */
public interface PlacementPolicy {
  /**
   * Chooses one of the upstreams that may serve the request now.
   *
   * @param upstreams candidates; the caller has already excluded upstreams that are ejected,
   *     leaving, or do not serve the version
   * @return the placement, or empty if there are no candidates
   */
  Optional<Placement> choose(PlacementRequest request, List<UpstreamView> upstreams);
}
