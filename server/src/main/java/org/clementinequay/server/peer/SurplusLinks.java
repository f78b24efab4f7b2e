package org.clementinequay.server.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Finds links that this host opened and that the topology no longer requires. If they stayed open,
 * links to other domains would accumulate as hosts are replaced. If the other end needs the link,
 * it opens a new one. Not thread-safe.
 */
final class SurplusLinks {
  /**
   * Number of consecutive readings of the host list in which a link must be surplus before it is
   * closed. This takes a minute in production, so that the restart of a host does not move the
   * links of other hosts twice.
   */
  private static final int REQUIRED_READINGS = 30;

  private final Map<PeerLink, Integer> surplusReadings = new HashMap<>();

  /**
   * Returns the links to close after a reading of the host list.
   *
   * @param listed names of the hosts in the list; a host that is missing keeps its link, because
   *     the list may be out of date and the heartbeats show whether the host is alive
   * @param targets names of the hosts to keep links to
   */
  List<PeerLink> find(List<PeerLink> links, Set<String> listed, Set<String> targets) {
    List<PeerLink> toClose = new ArrayList<>();
    Set<PeerLink> surplusNow = new HashSet<>();
    for (PeerLink link : links) {
      String host = link.remote().host();
      if (link.dialled() && listed.contains(host) && !targets.contains(host)) {
        surplusNow.add(link);
        if (surplusReadings.merge(link, 1, Integer::sum) >= REQUIRED_READINGS) {
          toClose.add(link);
        }
      }
    }
    surplusReadings.keySet().retainAll(surplusNow);
    return toClose;
  }
}
