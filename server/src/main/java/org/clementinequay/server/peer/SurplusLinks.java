package org.clementinequay.server.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds links that this host opened and that the topology no longer asks for. Without it, links to
 * other domains would pile up as hosts are replaced. If the other end wants the link, it opens it
 * anew. Used by one thread.
 */
final class SurplusLinks {
  /**
   * Readings of the host list for which a link must be surplus: a minute in a running deployment,
   * so that a host that restarts does not move the links of others twice.
   */
  private static final int READINGS = 30;

  private final Map<PeerLink, Integer> readings = new HashMap<>();

  /**
   * Returns the links to close after a reading of the host list.
   *
   * @param listed names of the hosts in the list; a host that is missing keeps its link, because
   *     the list lags and heartbeats decide
   * @param targets names of the hosts to keep links to
   */
  List<PeerLink> find(List<PeerLink> links, Set<String> listed, Set<String> targets) {
    List<PeerLink> surplus = new ArrayList<>();
    Set<PeerLink> counted = new HashSet<>();
    for (PeerLink link : links) {
      String host = link.remote().host();
      if (link.dialled() && listed.contains(host) && !targets.contains(host)) {
        counted.add(link);
        if (readings.merge(link, 1, Integer::sum) >= READINGS) {
          surplus.add(link);
        }
      }
    }
    readings.keySet().retainAll(counted);
    return surplus;
  }
}
