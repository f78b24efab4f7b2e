package org.clementinequay.server.billing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;
import org.clementinequay.core.Incarnation;
import org.clementinequay.server.peer.PeerNetwork.Peer;

/**
 * Chooses the peer that holds the second copy: one in another failure domain if one is linked,
 * because a rack or a domain fails as a whole. Among equals the choice follows a hash of both
 * hosts, which spreads the copies and stays the same while the links do.
 */
public final class CopyHolderSelector {
  private final Incarnation self;
  private final String domain;
  private final String region;

  /** Creates the choice of a host in a failure domain and region. */
  public CopyHolderSelector(Incarnation self, String domain, String region) {
    this.self = self;
    this.domain = domain;
    this.region = region;
  }

  Optional<Peer> choose(Collection<Peer> peers, Predicate<Incarnation> avoided) {
    return peers.stream()
        .filter(peer -> !peer.leaving() && !avoided.test(peer.incarnation()))
        .min(Comparator.comparingInt(this::rank).thenComparingInt(this::spread));
  }

  private int rank(Peer peer) {
    if (peer.domain().equals(domain)) {
      return 2;
    }
    // Another region is tens of milliseconds away, which every caller would wait for.
    return peer.region().equals(region) ? 0 : 1;
  }

  private int spread(Peer peer) {
    return (self.id() + peer.incarnation().id()).hashCode();
  }
}
