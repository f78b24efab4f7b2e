package org.clementinequay.server.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.clementinequay.core.membership.RendezvousHash;

/**
 * Decides whether this host should hold a duty: whether it ranks first by weighted rendezvous
 * hashing among itself and the linked hosts that are not leaving. Hosts with different peers may
 * disagree; the lease of the duty still has only one holder.
 */
public final class DutyPreference {
  private final PeerIdentity self;
  private final PeerNetwork network;

  private record Candidate(String host, double weight) {}

  /** Creates the preference for a host and its peers. */
  public DutyPreference(PeerIdentity self, PeerNetwork network) {
    this.self = Objects.requireNonNull(self);
    this.network = Objects.requireNonNull(network);
  }

  /** Returns whether this host should hold a duty. */
  public boolean isPreferred(String duty) {
    List<Candidate> candidates = new ArrayList<>();
    candidates.add(new Candidate(self.host(), self.weight()));
    for (PeerNetwork.Peer peer : network.peers()) {
      if (!peer.leaving()) {
        candidates.add(new Candidate(peer.host(), peer.weight()));
      }
    }
    return RendezvousHash.preferred(duty, candidates, Candidate::host, Candidate::weight)
        .map(preferred -> preferred.host().equals(self.host()))
        .orElse(false);
  }
}
