package org.clementinequay.core.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Determines which entry hosts open links to each other: a full mesh within a failure domain, and
 * from each host {@value #LINKS_TO_OTHER_DOMAIN} links to each other domain. Partners in another
 * domain are the first ones by a rendezvous hash of the pair of names. The hash is symmetric, so
 * that both ends often choose the same link. A host that joins or leaves changes only links to
 * itself and their replacements.
 */
public final class LinkTopology {
  /** Two, so that a host that loses one partner still has a link to the other domain. */
  public static final int LINKS_TO_OTHER_DOMAIN = 2;

  private final Map<String, TreeSet<Member>> domains = new TreeMap<>();

  /** Creates the topology of the given members; later changes to the collection have no effect. */
  public LinkTopology(Collection<Member> members) {
    for (Member member : members) {
      domains.computeIfAbsent(member.domain(), name -> new TreeSet<>()).add(member);
    }
  }

  /**
   * Returns the hosts that a host opens links to. Other hosts may open links to it in addition.
   *
   * @param self the host itself; it need not be one of the members yet
   */
  public Set<Member> targets(Member self) {
    Set<Member> targets = new TreeSet<>();
    domains.forEach(
        (domain, members) -> {
          if (domain.equals(self.domain())) {
            targets.addAll(members);
          } else {
            targets.addAll(partners(self, members));
          }
        });
    targets.removeIf(member -> member.name().equals(self.name()));
    return targets;
  }

  /** Returns the number of links by host name, including links that the other host opens. */
  public Map<String, Integer> linkCounts() {
    Map<String, Set<String>> linked = new HashMap<>();
    for (TreeSet<Member> members : domains.values()) {
      for (Member member : members) {
        for (Member target : targets(member)) {
          linked.computeIfAbsent(member.name(), name -> new HashSet<>()).add(target.name());
          linked.computeIfAbsent(target.name(), name -> new HashSet<>()).add(member.name());
        }
      }
    }
    Map<String, Integer> counts = new TreeMap<>();
    linked.forEach((name, peers) -> counts.put(name, peers.size()));
    return counts;
  }

  private static List<Member> partners(Member self, Collection<Member> candidates) {
    return RendezvousHash.order(
            "link",
            candidates,
            candidate -> pairKey(self.name(), candidate.name()),
            candidate -> 1.0)
        .stream()
        .limit(LINKS_TO_OTHER_DOMAIN)
        .toList();
  }

  private static String pairKey(String name, String otherName) {
    return name.compareTo(otherName) < 0 ? name + '\0' + otherName : otherName + '\0' + name;
  }
}
