package org.clementinequay.core.spread;

import java.util.Collection;
import java.util.List;
import org.clementinequay.core.membership.RendezvousHash;

/**
 * Selects the hosts of a failure domain that read the platform's store for all its hosts, by
 * weighted rendezvous hashing. The load that it answers is a store that hundreds of hosts poll:
 * with a fixed number of readers a domain, the calls do not grow with the number of hosts. Each
 * host decides by its own links, so a host without links reads for itself, and hosts that see
 * different peers may have more readers than needed, but never none.
 */
public final class StoreReaders {
  /** Readers of a domain; the others lose no time while one of two is frozen or cut off. */
  static final int READERS_PER_DOMAIN = 2;

  /**
   * Largest number of hosts of a domain that has one reader. While it is lost, the first of the
   * others whose knowledge is too old reads for all of them.
   */
  static final int MAX_HOSTS_WITH_ONE_READER = 6;

  private static final String HASH_KEY = "store-reader";

  private StoreReaders() {}

  /**
   * A host of the own failure domain.
   *
   * @param name its name
   * @param weight its capacity relative to other hosts, greater than 0
   */
  public record Candidate(String name, double weight) {}

  /**
   * Returns whether a host is one of the readers.
   *
   * @param self the host itself
   * @param linkedPeers the hosts of its domain that it has links to, without itself
   */
  public static boolean isReader(Candidate self, Collection<Candidate> linkedPeers) {
    int readers = linkedPeers.size() < MAX_HOSTS_WITH_ONE_READER ? 1 : READERS_PER_DOMAIN;
    double ownScore = score(self);
    List<Candidate> ahead = linkedPeers.stream().filter(peer -> score(peer) > ownScore).toList();
    return ahead.size() < readers;
  }

  private static double score(Candidate candidate) {
    return RendezvousHash.score(HASH_KEY, candidate.name(), candidate.weight());
  }
}
