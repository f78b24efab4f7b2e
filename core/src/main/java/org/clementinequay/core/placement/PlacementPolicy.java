package org.clementinequay.core.placement;

import java.util.List;
import java.util.Optional;

/** Chooses the upstream for one attempt. Implementations are safe for concurrent use. */
public interface PlacementPolicy {
  /**
   * Chooses among the upstreams that may serve the request now; the caller has already left out
   * those that are ejected, leaving, or do not serve the version.
   *
   * @return the choice, or empty if the list is empty
   */
  Optional<Placement> choose(PlacementRequest request, List<UpstreamView> upstreams);
}
