package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Collections;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.membership.Member;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a part of prompts that crashes upstreams at hosts that know nothing of it. */
public class CrashGuardTest {
  private static final String FIRST = "first";
  private static final String BAD = "bad";

  /** A part that crashes upstreams, seen by hosts chosen at random. */
  public static class Spread {
    private static final long STABLE_WINDOW_MILLIS = 3000;

    @DataProvider
    public Object[][] sizes() {
      return new Object[][] {{1, 1}, {6, 3}, {88, 3}, {330, 7}};
    }

    @Test(dataProvider = "sizes")
    public void everyHostKeepsThePartInTime(int hostCount, int domainCount) {
      CrashGuardCluster cluster = new CrashGuardCluster(hostCount, domainCount);
      for (int i = 0; i < 5; i++) {
        cluster.crash(100, List.of(FIRST, BAD), List.of(FIRST, "beside-" + i % 3));
        cluster.run(150);
      }
      cluster.run(STABLE_WINDOW_MILLIS);
      assertEquals(cluster.hostsThatKeep(BAD), hostCount);
      assertEquals(cluster.hostsThatKeep(FIRST), 0);
    }

    @Test
    public void hostThatIsLinkedLaterKeepsThePart() {
      CrashGuardCluster cluster = new CrashGuardCluster(6, 3);
      CrashGuardCluster.Host late =
          new CrashGuardCluster.Host(cluster, new Member("front-6", "domain-0"), new TreeSet<>());
      crashInSeries(cluster);
      cluster.hosts.put("front-6", late);
      late.linked.add("front-0");
      cluster.host(0).linked.add("front-6");
      cluster.host(0).task.linked(late.peer());
      assertTrue(late.keeps(BAD));
    }

    // Guards against a host that lost the messages because its links were cut for a moment.
    @Test
    public void hostThatLostTheMessagesHearsOfThePartAgain() {
      CrashGuardCluster cluster = new CrashGuardCluster(6, 3);
      Set<String> links = new TreeSet<>(cluster.host(5).linked);
      cluster.hosts.values().forEach(host -> host.linked.remove("front-5"));
      crashInSeries(cluster);
      assertEquals(cluster.hostsThatKeep(BAD), 5);
      links.forEach(name -> cluster.hosts.get(name).linked.add("front-5"));
      cluster.run(2100);
      assertEquals(cluster.hostsThatKeep(BAD), 6);
    }

    private static void crashInSeries(CrashGuardCluster cluster) {
      for (int i = 0; i < 5; i++) {
        UpstreamInstance upstream = cluster.newUpstream(true);
        cluster.host(i % 5).breakAttempt(upstream, 100, List.of(FIRST, BAD));
        cluster.run(150);
      }
      cluster.run(1100);
    }
  }

  /** Reports of broken attempts. */
  public static class Reports {
    // Guards against a heap that is filled by the prompts of attempts that wait for the task.
    @Test
    public void partsThatWaitAreBounded() {
      CrashGuardCluster cluster = new CrashGuardCluster(1, 1);
      CrashGuard guard = cluster.host(0).gateway.crashGuard;
      List<String> longPrompt = Collections.nCopies(3900, FIRST);
      for (int i = 0; i < 100; i++) {
        guard.attemptBroken(cluster.newUpstream(true), 0, longPrompt);
      }
      guard.attemptBroken(cluster.newUpstream(true), 0, List.of(FIRST, BAD));
      List<CrashGuard.BrokenAttempt> taken = guard.takeBroken();
      int parts = taken.stream().mapToInt(attempt -> attempt.report().partIds().size()).sum();
      assertTrue(parts <= CrashGuard.MAX_PENDING_PARTS, parts + " parts");
      assertEquals(taken.get(taken.size() - 1).report().partIds(), List.of(FIRST, BAD));
      guard.attemptBroken(cluster.newUpstream(true), 0, longPrompt);
      assertEquals(guard.takeBroken().size(), 1);
    }

    // Guards against the crashes of a process that starts again under its id being taken for one.
    @Test
    public void processesWithTheSameIdAreToldApart() {
      CrashGuardCluster cluster = new CrashGuardCluster(1, 1);
      for (int start = 1; start <= 5; start++) {
        String address = "10.0.0.1:1";
        cluster.refusing.add(address);
        UpstreamInstance upstream =
            new UpstreamInstance("same", "s", address, "d", "v1", 8, false, start);
        cluster.host(0).breakAttempt(upstream, 100, List.of(FIRST, BAD));
        cluster.run(150);
      }
      cluster.run(1100);
      assertEquals(cluster.hostsThatKeep(BAD), 1);
    }
  }

  /** Prompts that do no harm. */
  public static class SoundPrompts {
    private CrashGuardCluster cluster;

    @BeforeMethod
    public void create() {
      cluster = new CrashGuardCluster(88, 3);
    }

    // Replays resets on links: the connections of many attempts end, and the upstreams live on.
    @Test
    public void lostConnectionsAreNoCrashes() {
      for (int i = 0; i < 40; i++) {
        cluster.anyHost().breakAttempt(cluster.newUpstream(false), 100, List.of(FIRST, "sound"));
        cluster.run(150);
      }
      cluster.run(1100);
      assertEquals(cluster.hostsThatKeep("sound"), 0);
    }

    // Replays the crash of a quarter of 63 upstreams, each of which had a popular prompt in its
    // queue at several hosts.
    @Test
    public void crashOfManyUpstreamsAtOnceKeepsNoPartAndFewBytes() {
      cluster.run(1000);
      for (int i = 0; i < 16; i++) {
        UpstreamInstance upstream = cluster.newUpstream(true);
        for (int request = 0; request < 8; request++) {
          List<String> prompt = List.of(FIRST, "subject-" + cluster.random.nextInt(40));
          cluster.anyHost().breakAttempt(upstream, 50 + 10 * request, prompt);
        }
      }
      cluster.run(2000);
      assertEquals(
          cluster.hosts.values().stream()
              .mapToInt(host -> host.gateway.crashGuard.quarantinedParts().size())
              .sum(),
          0);
      for (CrashGuardCluster.Host host : cluster.hosts.values()) {
        assertTrue(host.sentBytes <= 2 * 25_000, host.self.name() + " sent " + host.sentBytes);
      }
    }

    @Test
    public void answerThatBeginsAtAnyHostClearsThePartEverywhere() {
      for (int i = 0; i < 5; i++) {
        cluster.crash(100, List.of(FIRST, BAD));
        cluster.run(150);
      }
      cluster.host(17).gateway.crashGuard.answerBegun("s", List.of(FIRST, BAD));
      cluster.run(3000);
      assertEquals(cluster.hostsThatKeep(BAD), 0);
    }

    @Test
    public void answerInProgressLiftsTheQuarantineEverywhere() {
      for (int i = 0; i < 5; i++) {
        cluster.crash(100, List.of(FIRST, BAD));
        cluster.run(150);
      }
      cluster.run(1100);
      assertEquals(cluster.hostsThatKeep(BAD), 88);
      cluster.host(17).gateway.crashGuard.answerBegun("s", List.of(FIRST, BAD));
      cluster.run(3000);
      assertEquals(cluster.hostsThatKeep(BAD), 0);
    }
  }
}
