package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.membership.Member;
import org.clementinequay.core.rollout.ShiftOrder;
import org.clementinequay.core.rollout.TrafficShift;
import org.clementinequay.core.time.ManualClock;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against evidence on a roll-out that fills the links of many hosts, or comes too late. */
public class ShiftGossipTest {
  private static final ShiftOrder ORDER =
      new ShiftOrder("engines", "v2", Duration.ofSeconds(20), 7);
  private static final long STEP_MILLIS = 100;
  private static final List<String> ROUTES = List.of("sheets", "blurbs", "flags", "added-route");

  /** Hosts that are linked as in production; messages arrive at once. */
  private static final class Cluster {
    private final ManualClock clock = new ManualClock(Instant.EPOCH);
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final SplittableRandom random = new SplittableRandom(11);

    private Cluster(int hostCount, int domainCount) {
      List<Member> members = TestLinks.members(hostCount, domainCount);
      Map<String, Set<String>> linked = TestLinks.linked(members);
      members.forEach(
          member -> hosts.put(member.name(), new Host(this, member, linked.get(member.name()))));
    }

    private void step() {
      for (Host host : hosts.values()) {
        host.gossip.broadcast(List.of(host.shift), clock.nanoTime());
      }
      clock.advance(Duration.ofMillis(STEP_MILLIS));
    }

    /** Spreads answers over hosts chosen at random. */
    private void answer(int count, String version, boolean failed) {
      List<Host> all = List.copyOf(hosts.values());
      for (int i = 0; i < count; i++) {
        Host host = all.get(random.nextInt(all.size()));
        String route = ROUTES.get(random.nextInt(ROUTES.size()));
        host.shift.recordAnswer(host.self.name(), route, version, failed, false);
      }
    }
  }

  private static final class Host implements PeerBroadcast {
    private final Cluster cluster;
    private final Member self;
    private final Set<String> linked;
    private final Gateway gateway;
    private TrafficShift shift;
    private final ShiftGossip gossip;
    private long sentBytes;

    private Host(Cluster cluster, Member self, Set<String> linked) {
      this.cluster = cluster;
      this.self = self;
      this.linked = linked;
      this.gateway = GatewayFixture.idleGateway(self.name(), self.domain(), cluster.clock);
      this.shift = gateway.applyOrder(ORDER);
      this.gossip = new ShiftGossip(gateway, this);
    }

    private double share() {
      return shift.share(cluster.clock.nanoTime());
    }

    private PeerNetwork.Peer peer() {
      return new PeerNetwork.Peer(
          Incarnation.random(cluster.random), self.name(), self.domain(), "r", 1, 0, 0, false);
    }

    @Override
    public long broadcast(PeerMessage message, Predicate<PeerNetwork.Peer> receivers) {
      long bytes = 0;
      int frameBytes = TestLinks.frameBytes(message);
      for (String name : linked) {
        Host receiver = cluster.hosts.get(name);
        if (receivers.test(receiver.peer())) {
          receiver.gossip.received(peer(), message);
          bytes += frameBytes;
        }
      }
      sentBytes += bytes;
      return bytes;
    }
  }

  /** Bytes that a roll-out costs. */
  public static class Cost {
    /** Bytes a second that a host may use for control. */
    private static final long CONTROL_BYTES_PER_SECOND = 25_000;

    @DataProvider
    public Object[][] sizes() {
      return new Object[][] {{9, 3}, {95, 5}, {330, 7}};
    }

    @Test(dataProvider = "sizes")
    public void bytesOfAHostStayWithinItsBudget(int hostCount, int domainCount) {
      Cluster cluster = new Cluster(hostCount, domainCount);
      int seconds = 10;
      for (int i = 0; i < seconds * 1000 / STEP_MILLIS; i++) {
        cluster.answer(20, "v1", false);
        cluster.answer(3, "v2", false);
        cluster.step();
      }
      for (Host host : cluster.hosts.values()) {
        assertTrue(
            host.sentBytes <= seconds * CONTROL_BYTES_PER_SECOND,
            host.self.name() + " sent " + host.sentBytes + " bytes");
      }
    }
  }

  /** What the hosts know. */
  public static class Spread {
    /** Time after the 50th bad answer from which a bad version must get no request. */
    private static final long ROLLBACK_MILLIS = 5000;

    private static final int BAD_ANSWERS = 50;

    @Test
    public void everyHostStopsABadVersionInTime() {
      Cluster cluster = new Cluster(95, 5);
      int answers = 0;
      for (int i = 0; i < 30; i++) {
        cluster.answer(20, "v1", false);
        cluster.step();
      }
      while (answers < 2 * BAD_ANSWERS) {
        cluster.answer(20, "v1", false);
        cluster.answer(1, "v2", true);
        cluster.answer(1, "v2", false);
        answers += 2;
        cluster.step();
      }
      for (int i = 0; i < ROLLBACK_MILLIS / STEP_MILLIS; i++) {
        cluster.step();
      }
      for (Host host : cluster.hosts.values()) {
        assertFalse(host.shift.reason().isEmpty(), host.self.name());
      }
    }

    // Guards against sessions that change back and forth because hosts judge the version at
    // different times.
    @Test
    public void allTrafficMovesAtEveryHostOnceOneHasSeenEnoughAnswers() {
      Cluster cluster = new Cluster(95, 5);
      Host first = cluster.hosts.get("front-0");
      for (Host host : cluster.hosts.values()) {
        for (int i = 0; i < 50; i++) {
          host.shift.recordAnswer(host.self.name(), "sheets", "v1", false, false);
        }
      }
      cluster.clock.advance(Duration.ofSeconds(13));
      cluster.step();
      assertTrue(cluster.hosts.values().stream().allMatch(host -> host.share() < 1));
      for (int i = 0; i < 20; i++) {
        first.shift.recordAnswer(first.self.name(), "sheets", "v2", false, false);
      }
      assertEquals(first.share(), 1.0);
      cluster.step();
      cluster.step();
      for (Host host : cluster.hosts.values()) {
        assertEquals(host.share(), 1.0, host.self.name());
      }
    }

    // Guards against callers with many sessions, whose hashes use up the bytes for the evidence.
    @Test
    public void manySessionsDoNotDelayTheEvidence() {
      Cluster cluster = new Cluster(88, 3);
      Host crowded = cluster.hosts.get("front-0");
      for (int i = 0; i < 40_000; i++) {
        crowded.shift.recordOldSession("session-" + i, cluster.clock.nanoTime());
      }
      assertTrue(crowded.shift.heldSessions(false, cluster.clock.nanoTime()).size() > 1000);
      cluster.step();
      final long firstBytes = crowded.sentBytes;
      // Too few for this host to stop the version itself, which it would tell at once.
      for (int i = 0; i < 2; i++) {
        crowded.shift.recordAnswer(crowded.self.name(), "sheets", "v2", true, false);
      }
      for (int i = 0; i < ROLLBACK_MILLIS / STEP_MILLIS; i++) {
        cluster.step();
      }
      for (Host host : cluster.hosts.values()) {
        TrafficShift.Evidence sum = host.shift.sum(source -> true);
        long answers = sum.target().values().stream().mapToLong(c -> c.answers()).sum();
        assertEquals(answers, 2, host.self.name());
      }
      assertTrue(firstBytes < 100_000, firstBytes + " bytes");
    }

    // Guards against answers that count twice because they arrive on two ways.
    @Test
    public void everyHostCountsEachAnswerOnce() {
      Cluster cluster = new Cluster(30, 3);
      cluster.answer(500, "v1", false);
      cluster.answer(50, "v2", false);
      for (int i = 0; i < 300; i++) {
        cluster.step();
      }
      for (Host host : cluster.hosts.values()) {
        TrafficShift.Evidence sum = host.shift.sum(source -> true);
        assertEquals(sum.target().values().stream().mapToLong(c -> c.answers()).sum(), 50);
        assertEquals(sum.others().values().stream().mapToLong(c -> c.answers()).sum(), 500);
      }
    }

    @Test
    public void hostThatIsLinkedLaterLearnsAllCounts() {
      Cluster cluster = new Cluster(9, 3);
      cluster.answer(500, "v1", false);
      Host late = cluster.hosts.get("front-0");
      Set<String> links = new TreeSet<>(late.linked);
      for (Host host : cluster.hosts.values()) {
        host.linked.remove("front-0");
      }
      for (int i = 0; i < 20; i++) {
        cluster.step();
      }
      links.forEach(name -> cluster.hosts.get(name).linked.add("front-0"));
      for (int i = 0; i < 200; i++) {
        cluster.step();
      }
      TrafficShift.Evidence sum = late.shift.sum(source -> true);
      assertEquals(sum.others().values().stream().mapToLong(c -> c.answers()).sum(), 500);
    }
  }

  /** Sessions that continue at other hosts of their failure domain, or of any. */
  public static class Sessions {
    private static final ShiftOrder SECOND_ORDER =
        new ShiftOrder("engines", "v3", Duration.ofSeconds(24), 8);

    /** Shorter than the idle time of a session, which is 5 s. */
    private static final int MAX_PAUSE_MILLIS = 4000;

    private static final int SESSIONS_OF_A_DOMAIN = 400;

    /** Time between the first and the last host that learns of the order. */
    private static final int LEARN_MILLIS = 600;

    private final SplittableRandom random = new SplittableRandom(3);

    /** A caller's session; it lasts until its end and is then followed by another one. */
    private static final class Session {
      private String id;
      private String version = "";
      private long nextMillis;
      private long endMillis;
    }

    @DataProvider
    public Object[][] sizes() {
      return new Object[][] {{9, 3, false}, {88, 3, false}, {9, 3, true}, {88, 3, true}};
    }

    // Replays sessions of which a host knows only the requests that it served itself.
    @Test(dataProvider = "sizes")
    public void noSessionChangesItsVersionInTheFirstHalf(
        int hostCount, int domainCount, boolean across) {
      Cluster cluster = new Cluster(hostCount, domainCount);
      List<Session> sessions = new ArrayList<>();
      for (int i = 0; i < domainCount * SESSIONS_OF_A_DOMAIN; i++) {
        sessions.add(new Session());
      }
      List<Host> hosts = List.copyOf(cluster.hosts.values());
      Map<Host, Long> learnedMillis = new LinkedHashMap<>();
      hosts.forEach(host -> learnedMillis.put(host, 6000L + random.nextInt(LEARN_MILLIS)));
      int changes = 0;
      int onTarget = 0;
      for (long now = 0; now < 6000 + SECOND_ORDER.duration().toMillis() / 2; now += STEP_MILLIS) {
        for (Host host : hosts) {
          if (now >= learnedMillis.get(host)) {
            host.shift = host.gateway.applyOrder(SECOND_ORDER);
          }
        }
        for (int i = 0; i < sessions.size(); i++) {
          Session session = sessions.get(i);
          if (session.nextMillis > now) {
            continue;
          }
          boolean begins = session.endMillis <= now;
          if (begins) {
            session.id = "session-" + i + "-" + now;
            session.endMillis = now + 2000 + random.nextInt(20_000);
          }
          session.nextMillis = now + 200 + random.nextInt(MAX_PAUSE_MILLIS - 200);
          int domain = across ? random.nextInt(domainCount) : i % domainCount;
          Host host = hosts.get(domain + domainCount * random.nextInt(hostCount / domainCount));
          String version = serve(host, session.id);
          changes += !begins && !version.equals(session.version) ? 1 : 0;
          onTarget += version.equals("v3") ? 1 : 0;
          session.version = version;
        }
        cluster.step();
      }
      assertEquals(changes, 0);
      assertTrue(onTarget > 50, "evidence needs requests on the new version: " + onTarget);
    }

    private String serve(Host host, String session) {
      long now = host.cluster.clock.nanoTime();
      boolean target =
          host.shift.order().equals(SECOND_ORDER)
              && host.shift.routesSessionToTarget(
                  session, host.gateway.sessions.version(session, now), now);
      String version = target ? "v3" : "v1";
      host.gateway.sessions.recordUse(session, version, now);
      return version;
    }
  }
}
