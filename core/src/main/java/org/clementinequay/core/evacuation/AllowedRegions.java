package org.clementinequay.core.evacuation;

import java.util.Set;

/**
 * Regions in which a request may be served, by its route and by its account; both bind. An empty
 * set allows every region.
 */
public record AllowedRegions(Set<String> byRoute, Set<String> byAccount) {
  /** Every region. */
  public static final AllowedRegions ANY = new AllowedRegions(Set.of(), Set.of());

  /** Stores unmodifiable copies of the sets. */
  public AllowedRegions {
    byRoute = Set.copyOf(byRoute);
    byAccount = Set.copyOf(byAccount);
  }

  /** Returns whether every region is allowed. */
  public boolean isAny() {
    return byRoute.isEmpty() && byAccount.isEmpty();
  }

  /** Returns whether a region is allowed; an unknown one, which is empty, only if all are. */
  public boolean allow(String region) {
    return (byRoute.isEmpty() || byRoute.contains(region))
        && (byAccount.isEmpty() || byAccount.contains(region));
  }
}
