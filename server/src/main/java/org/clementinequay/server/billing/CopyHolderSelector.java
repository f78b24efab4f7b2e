package org.clementinequay.server.billing;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;
import org.clementinequay.core.Incarnation;
import org.clementinequay.server.peer.PeerNetwork.Peer;

/**
 * Selects the holder, the peer that gets the second copy of a bill record. It is in another failure
 * domain if such a peer is linked, because a rack or a domain fails as a whole. Equally suitable
 * peers are ordered by a hash of both incarnations, which distributes the copies over the peers and
 * gives the same result as long as the links do not change.
 */
public final class CopyHolderSelector {
  private final Incarnation self;
  private final String domain;
  private final String region;

  /** Creates a selector for a host in the given failure domain and region. */
  public CopyHolderSelector(Incarnation self, String domain, String region) {
    this.self = self;
    this.domain = domain;
    this.region = region;
  }

  Optional<Peer> select(Collection<Peer> peers, Predicate<Incarnation> excluded) {
    return peers.stream()
        .filter(peer -> !peer.leaving() && !excluded.test(peer.incarnation()))
        .min(Comparator.comparingInt(this::rank).thenComparingInt(this::tieBreaker));
  }

  private int rank(Peer peer) {
    if (peer.domain().equals(domain)) {
      return 2;
    }
    // The round trip to another region takes tens of milliseconds, and every caller would wait.
    return peer.region().equals(region) ? 0 : 1;
  }

  private int tieBreaker(Peer peer) {
    return (self.id() + peer.incarnation().id()).hashCode();
  }
}
