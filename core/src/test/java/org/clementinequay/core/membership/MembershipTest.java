package org.clementinequay.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.testng.annotations.Test;

/** Tests of failure detection, rendezvous hashing and the link topology. */
public class MembershipTest {
  private static final int HOSTS = 330;
  private static final int DOMAINS = 7;

  private static List<Member> deployment() {
    List<Member> members = new ArrayList<>();
    for (int i = 0; i < HOSTS; i++) {
      members.add(new Member(String.format("entry-%03d", i), "domain-" + i % DOMAINS));
    }
    return members;
  }

  /** Tests of {@link FailureDetector}. */
  public static class FailureDetectorTest {
    private static final long SECOND = 1_000_000_000L;

    /** Guards against a peer that counts as alive after the timeout, or as failed before it. */
    @Test
    public void failsOnlyAfterTheTimeout() {
      FailureDetector detector = new FailureDetector(Duration.ofSeconds(4), 10 * SECOND);
      assertEquals(detector.state(14 * SECOND), PeerState.ALIVE);
      assertEquals(detector.state(14 * SECOND + 1), PeerState.FAILED);
      detector.recordProgress(13 * SECOND);
      detector.recordProgress(11 * SECOND);
      assertEquals(detector.state(17 * SECOND), PeerState.ALIVE);
    }

    /** Guards against assigning new duties to a peer that is shutting down. */
    @Test
    public void leavingIsFinal() {
      FailureDetector detector = new FailureDetector(Duration.ofSeconds(4), 0);
      detector.recordLeaving(true);
      detector.recordLeaving(false);
      assertEquals(detector.state(1), PeerState.LEAVING);
      assertTrue(detector.state(1).reachable());
      assertFalse(detector.state(1).takesDuties());
    }

    /** Guards against wrong states when the readings of the monotonic clock overflow a long. */
    @Test
    public void toleratesClockOverflow() {
      FailureDetector detector = new FailureDetector(Duration.ofSeconds(4), Long.MAX_VALUE - 5);
      detector.recordProgress(Long.MIN_VALUE + 5);
      assertEquals(detector.state(Long.MIN_VALUE + SECOND), PeerState.ALIVE);
    }
  }

  /** Tests of {@link RendezvousHash}. */
  public static class RendezvousHashTest {
    /** Guards against different scores on hosts with different releases or machines. */
    @Test
    public void scoresAreFixed() {
      assertEquals(RendezvousHash.score("duty", "entry-1", 1), 3.7806973317087382, 1e-12);
    }

    /** Guards against assigning keys out of proportion to the weights. */
    @Test
    public void sharesFollowWeights() {
      int assignedToHeavier = 0;
      for (int i = 0; i < 4000; i++) {
        assignedToHeavier +=
            RendezvousHash.preferred(
                        "duty-" + i, List.of("a", "b"), Function.identity(), name -> weight(name))
                    .get()
                    .equals("b")
                ? 1
                : 0;
      }
      assertEquals(assignedToHeavier / 4000.0, 0.75, 0.03);
    }

    private static double weight(String name) {
      return name.equals("b") ? 3 : 1;
    }

    /** Guards against moving a key whose candidate has not left. */
    @Test
    public void lossMovesOnlyTheKeysOfTheLostCandidate() {
      List<String> all = List.of("a", "b", "c", "d");
      List<String> rest = List.of("a", "b", "d");
      for (int i = 0; i < 500; i++) {
        String before = preferredName("duty-" + i, all);
        if (!before.equals("c")) {
          assertEquals(preferredName("duty-" + i, rest), before);
        }
      }
    }

    private static String preferredName(String key, List<String> names) {
      return RendezvousHash.preferred(key, names, Function.identity(), name -> 1.0).get();
    }
  }

  /** Tests of {@link LinkTopology}. */
  public static class LinkTopologyTest {
    /** Guards against a link count that exceeds the budget for control traffic at 330 hosts. */
    @Test
    public void linkCountAtExpectedSize() {
      Map<String, Integer> counts = new LinkTopology(deployment()).linkCounts();
      assertEquals(counts.size(), HOSTS);
      int maximum = counts.values().stream().mapToInt(Integer::intValue).max().getAsInt();
      double mean = counts.values().stream().mapToInt(Integer::intValue).average().getAsDouble();
      assertTrue(maximum <= 80, "maximum " + maximum);
      assertTrue(mean <= 70, "mean " + mean);
    }

    /** Guards against a host without links to one of the failure domains. */
    @Test
    public void everyDomainIsReachable() {
      List<Member> members = deployment();
      LinkTopology topology = new LinkTopology(members);
      for (Member self : members) {
        Set<Member> targets = topology.targets(self);
        assertFalse(targets.contains(self));
        for (int d = 0; d < DOMAINS; d++) {
          String domain = "domain-" + d;
          long links = targets.stream().filter(t -> t.domain().equals(domain)).count();
          long size = members.stream().filter(m -> m.domain().equals(domain)).count();
          assertEquals(links, domain.equals(self.domain()) ? size - 1 : 2);
        }
      }
    }

    /** Guards against a restart of one host that changes links between the other hosts. */
    @Test
    public void removalChangesOnlyLinksToTheRemovedHost() {
      List<Member> members = deployment();
      Member removed = members.remove(100);
      LinkTopology after = new LinkTopology(members);
      members.add(removed);
      LinkTopology before = new LinkTopology(members);
      for (Member self : members) {
        if (!self.equals(removed)) {
          Set<Member> lost = new HashSet<>(before.targets(self));
          lost.removeAll(after.targets(self));
          assertTrue(lost.isEmpty() || lost.equals(Set.of(removed)));
        }
      }
    }
  }
}
