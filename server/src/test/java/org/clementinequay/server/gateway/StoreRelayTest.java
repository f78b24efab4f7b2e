package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.Base64;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a store that every host polls, and against hosts that hear of a change late. */
public class StoreRelayTest {
  /** Calls to the store. */
  public static class Calls {
    /** Calls a second of all hosts together while nothing happens. */
    private static final long MAX_CALLS_PER_SECOND = 20;

    /** As before, of one reader for each of the two tables, and half as many for chance. */
    private static final long MAX_CALLS_PER_SECOND_WHEN_CALM = 2;

    private static final int SECONDS = 30;

    @DataProvider
    public Object[][] sizes() {
      return new Object[][] {{95, 5}, {330, 7}};
    }

    @Test(dataProvider = "sizes")
    public void doNotGrowWithTheNumberOfHosts(int hostCount, int domainCount) {
      StoreRelayCluster cluster = new StoreRelayCluster(hostCount, domainCount);
      cluster.run(3000);
      cluster.calls = 0;
      cluster.run(SECONDS * 1000);
      assertTrue(cluster.calls <= SECONDS * MAX_CALLS_PER_SECOND, cluster.calls + " calls");
    }

    // Replays calm minutes of a deployment, in which each domain's readers asked on their own.
    @Test(dataProvider = "sizes")
    public void doNotGrowWithTheFailureDomains(int hostCount, int domainCount) {
      StoreRelayCluster cluster = new StoreRelayCluster(hostCount, domainCount);
      cluster.run(10_000);
      cluster.calls = 0;
      cluster.run(SECONDS * 1000);
      assertTrue(
          cluster.calls <= SECONDS * MAX_CALLS_PER_SECOND_WHEN_CALM, cluster.calls + " calls");
    }

    // Replays a change by the operator, which every host would read.
    @Test(dataProvider = "sizes")
    public void changeIsReadByTheReadersOnly(int hostCount, int domainCount) {
      StoreRelayCluster cluster = new StoreRelayCluster(hostCount, domainCount);
      cluster.run(10_000);
      cluster.calls = 0;
      cluster.changeConfiguration();
      cluster.run(3000);
      assertTrue(cluster.calls <= 3 * MAX_CALLS_PER_SECOND, cluster.calls + " calls");
      assertTrue(
          cluster.active().stream()
              .allMatch(host -> host.configurationVersion() == cluster.operatorRevision));
    }

    @Test
    public void changeThatIsTooLargeIsReadByEveryHost() {
      StoreRelayCluster cluster = new StoreRelayCluster(95, 5);
      cluster.run(10_000);
      byte[] noise = new byte[2 * OperatorRowCodec.MAX_COMPRESSED_BYTES];
      cluster.random.nextBytes(noise);
      cluster.filler = Base64.getEncoder().encodeToString(noise);
      cluster.calls = 0;
      cluster.changeConfiguration();
      cluster.run(3000);
      assertTrue(cluster.calls >= 95, cluster.calls + " calls");
      assertTrue(
          cluster.active().stream()
              .allMatch(host -> host.configurationVersion() == cluster.operatorRevision));
    }

    @Test
    public void hostsThatAreRefusedDoNotPressTheStore() {
      StoreRelayCluster cluster = new StoreRelayCluster(95, 5);
      cluster.run(3000);
      cluster.refused.addAll(cluster.hosts.keySet());
      cluster.run(5000);
      cluster.calls = 0;
      cluster.run(SECONDS * 1000);
      // Two tasks of each host, once a second.
      assertTrue(cluster.calls <= SECONDS * 2 * 95L, cluster.calls + " calls");
    }
  }

  /** Time until every host knows of a change. */
  public static class Changes {
    private StoreRelayCluster cluster;

    @BeforeMethod
    public void start() {
      cluster = new StoreRelayCluster(95, 5);
      cluster.run(10_000);
    }

    private void assertChangesArriveInTime() {
      cluster.leave("u7");
      cluster.changeConfiguration();
      long drain =
          cluster.runUntil(
              () -> cluster.active().stream().allMatch(host -> host.knowsLeaving("u7")), 10_000);
      assertTrue(drain < StoreRelayCluster.DRAIN_MILLIS, "upstream left after " + drain + " ms");
      long configured =
          drain
              + cluster.runUntil(
                  () ->
                      cluster.served().stream()
                          .allMatch(h -> h.configurationVersion() == cluster.operatorRevision),
                  10_000);
      assertTrue(
          configured < StoreRelayCluster.CONFIGURATION_MILLIS,
          "configured after " + configured + " ms");
    }

    @Test
    public void reachEveryHost() {
      assertEquals(cluster.readers().size(), 10);
      assertChangesArriveInTime();
    }

    // Replays a hunted day (DRAIN): hosts whose list is only confirmed by other domains took the
    // next difference for the first one after an outage of the store, and kept what was missing.
    @Test
    public void entryThatIsRemovedLeavesEveryHostInTime() {
      long allowedMillis = 2000;
      StoreRelayCluster calm = new StoreRelayCluster(88, 3, allowedMillis, allowedMillis);
      calm.run(10_000);
      long now = calm.clock.nanoTime();
      calm.hosts.values().forEach(h -> h.gateway.engineSelector.recordReceived("u7", now));
      calm.upstreams.remove("u7");
      calm.revision++;
      long gone =
          calm.runUntil(
              () -> calm.hosts.values().stream().allMatch(host -> host.knowsLeaving("u7")), 10_000);
      assertTrue(gone < allowedMillis, "upstream gone after " + gone + " ms");
    }

    // Replays readers that are frozen, while the links to them still seem to be open.
    @Test
    public void reachEveryHostWhileTheReadersAreFrozen() {
      cluster.readers().forEach(host -> host.frozen = true);
      assertChangesArriveInTime();
    }

    // Replays a store that refuses the readers and serves the other hosts. The readers learn which
    // upstreams leave, but they cannot read a configuration.
    @Test
    public void reachEveryServedHostWhileTheReadersAreRefused() {
      cluster.readers().forEach(host -> cluster.refused.add(host.name));
      assertChangesArriveInTime();
    }

    @DataProvider
    public Object[][] delays() {
      return new Object[][] {{2000, 1200}, {3000, 1700}, {4000, 2600}};
    }

    // Replays readers that run slowly or have slow links: what they send was true when they read it
    // and arrives late, but too soon for the links to be given up.
    @Test(dataProvider = "delays")
    public void reachEveryHostInTimeWhileTheReadersAreSlow(long allowedMillis, long delayMillis) {
      StoreRelayCluster slow = new StoreRelayCluster(88, 3, allowedMillis, allowedMillis);
      slow.run(5000);
      slow.readers().forEach(host -> host.delayMillis = delayMillis);
      for (int i = 0; i < 16; i++) {
        slow.run(4000 + 100 * i);
        String leaving = "u" + i;
        slow.leave(leaving);
        long drain =
            slow.runUntil(
                () -> slow.hosts.values().stream().allMatch(host -> host.knowsLeaving(leaving)),
                10_000);
        assertTrue(drain < allowedMillis, "upstream left after " + drain + " ms");
      }
    }

    // Guards against hosts that keep polling after the readers are back.
    @Test
    public void hostsStopReadingOnceTheReadersAreBack() {
      cluster.readers().forEach(host -> host.frozen = true);
      cluster.run(5000);
      cluster.hosts.values().forEach(host -> host.frozen = false);
      cluster.run(3000);
      cluster.calls = 0;
      cluster.run(10_000);
      assertTrue(cluster.calls <= 10 * Calls.MAX_CALLS_PER_SECOND, cluster.calls + " calls");
    }
  }

  /** Time until every host knows of an evacuation, and of its end. */
  public static class Evacuations {
    private static final long EVACUATION_MILLIS = 5000;
    private StoreRelayCluster cluster;

    private enum Trouble {
      NONE {
        @Override
        void begin(StoreRelayCluster cluster) {}
      },
      READERS_FROZEN {
        @Override
        void begin(StoreRelayCluster cluster) {
          cluster.readers().forEach(host -> host.frozen = true);
        }
      },
      READERS_REFUSED {
        @Override
        void begin(StoreRelayCluster cluster) {
          cluster.readers().forEach(host -> cluster.refused.add(host.name));
        }
      },
      ALL_BUT_THE_READERS_REFUSED {
        @Override
        void begin(StoreRelayCluster cluster) {
          cluster.hosts.values().stream()
              .filter(host -> !host.role.isReader())
              .forEach(host -> cluster.refused.add(host.name));
        }
      },
      STORE_TELLS_NO_TIME {
        @Override
        void begin(StoreRelayCluster cluster) {
          cluster.tellsNoTime = true;
        }
      },
      READERS_OF_AN_EARLIER_RELEASE {
        @Override
        void begin(StoreRelayCluster cluster) {
          cluster.earlierReaders = true;
        }
      },
      READERS_RESTARTED {
        @Override
        void begin(StoreRelayCluster cluster) {
          cluster.readers().forEach(host -> cluster.restart(host.name));
        }
      };

      abstract void begin(StoreRelayCluster cluster);
    }

    @BeforeMethod
    public void start() {
      cluster = new StoreRelayCluster(81, 4);
      cluster.run(10_000);
    }

    @DataProvider
    public Object[][] troubles() {
      return Arrays.stream(Trouble.values()).map(t -> new Object[] {t}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "troubles")
    public void areKnownInTime(Trouble trouble) {
      cluster.evacuate("domain-1");
      trouble.begin(cluster);
      long begun = cluster.runUntil(() -> cluster.allKnow("domain-1"), 10_000);
      assertTrue(begun < EVACUATION_MILLIS, "known after " + begun + " ms");
    }

    // Guards against a read between the two, which would begin after the evacuation and date what
    // is known without it.
    @Test
    public void areInForceBeforeAChangeCountsAsRead() {
      cluster.evacuate("domain-1");
      cluster.run(3000);
      assertTrue(cluster.allKnow("domain-1"));
      assertFalse(cluster.changeBeforeEvacuation);
    }

    // Guards against a removed row that leaves no revision: a reader that has just started cannot
    // tell its peers by a revision that there is something to read.
    @Test(dataProvider = "troubles")
    public void endIsKnownInTime(Trouble trouble) {
      cluster.evacuate("domain-1");
      cluster.run(10_000);
      cluster.takeBack("domain-1");
      trouble.begin(cluster);
      long ended = cluster.runUntil(() -> cluster.allKnow(), 10_000);
      assertTrue(ended < EVACUATION_MILLIS, "known after " + ended + " ms");
    }
  }
}
