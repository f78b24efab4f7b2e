package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.evacuation.EvacuationReading;
import org.clementinequay.core.forward.CallerLimits;
import org.clementinequay.core.forward.ForwardingConfiguration;
import org.clementinequay.core.forward.RouteTable;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowKey;
import org.clementinequay.core.quarantine.SharedPart;
import org.clementinequay.core.rollout.ShiftOrder;
import org.clementinequay.core.rollout.ShiftState;
import org.clementinequay.core.spread.ReadSchedule;
import org.clementinequay.core.spread.StoreClock;
import org.clementinequay.core.spread.StoreReadTimings;
import org.clementinequay.core.time.ManualClock;
import org.clementinequay.server.peer.PeerIdentity;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a store that every host polls, and against hosts that hear of a change late. */
public class StoreRelayTest {
  private static final long DRAIN_MILLIS = 4000;
  private static final long CONFIGURATION_MILLIS = 4000;
  private static final long TICK_MILLIS = 10;
  private static final int UPSTREAMS = 42;

  /** Hosts with full links in their domains, and one store. */
  private static final class Cluster {
    private final ManualClock clock = new ManualClock(Instant.EPOCH);
    private final Map<String, Host> hosts = new LinkedHashMap<>();
    private final SplittableRandom random = new SplittableRandom(5);
    private final Set<String> refused = new HashSet<>();
    private final Map<String, UpstreamInstance> upstreams = new LinkedHashMap<>();
    private final List<String> evacuations = new ArrayList<>();
    private final NavigableMap<Long, String> takenBack = new TreeMap<>();
    private final List<Delivery> deliveries = new ArrayList<>();
    private final StoreReadTimings timings;
    private long revision = 1;
    private long operatorRevision = 1;
    private long calls;
    private boolean tellsNoTime;
    private boolean earlierReaders;
    private boolean changeBeforeEvacuation;

    /** Value of the row of the configuration. */
    private String filler = "";

    /** A message on its way. */
    private record Delivery(long atNanos, Host from, Host to, PeerMessage message) {}

    private Cluster(int hostCount, int domainCount) {
      this(hostCount, domainCount, DRAIN_MILLIS, CONFIGURATION_MILLIS);
    }

    private Cluster(int hostCount, int domainCount, long drainMillis, long configurationMillis) {
      timings = new StoreReadTimings(drainMillis, configurationMillis);
      for (int i = 0; i < UPSTREAMS; i++) {
        upstreams.put("u" + i, upstream("u" + i, false));
      }
      for (int i = 0; i < hostCount; i++) {
        Host host = new Host(this, "front-" + i, "domain-" + i % domainCount);
        hosts.put(host.name, host);
      }
    }

    private static UpstreamInstance upstream(String id, boolean leaving) {
      return new UpstreamInstance(id, "s", "10.0.0.1:1", "d", "v1", 8, leaving, 1);
    }

    private void leave(String id) {
      upstreams.put(id, upstream(id, true));
      revision++;
    }

    private void evacuate(String domain) {
      operatorRevision = ++revision;
      evacuations.add(domain);
    }

    private void takeBack(String domain) {
      evacuations.remove(domain);
      takenBack.put(++revision, domain);
    }

    private EvacuationReading evacuationsSince(long cursor) {
      return new EvacuationReading(
          List.of(), List.copyOf(takenBack.tailMap(cursor + 1).values()), false);
    }

    private boolean allKnow(String... domains) {
      return active().stream()
          .allMatch(host -> host.gateway.evacuated.names().equals(List.of(domains)));
    }

    private void changeConfiguration() {
      operatorRevision = ++revision;
    }

    /** Returns the time of the store's clock, which is not that of the hosts. */
    private long storeMillis() {
      return tellsNoTime ? 0 : clock.nanoTime() / 1_000_000 + 77_000;
    }

    private void run(long millis) {
      runUntil(() -> false, millis);
    }

    /** Returns the time until the condition holds, in milliseconds. */
    private long runUntil(BooleanSupplier condition, long maxMillis) {
      for (long elapsed = 0; elapsed < maxMillis; elapsed += TICK_MILLIS) {
        if (condition.getAsBoolean()) {
          return elapsed;
        }
        deliverDue();
        hosts.values().forEach(Host::step);
        clock.advance(Duration.ofMillis(TICK_MILLIS));
      }
      return maxMillis;
    }

    private void deliverDue() {
      List<Delivery> due =
          deliveries.stream().filter(d -> clock.nanoTime() - d.atNanos() >= 0).toList();
      deliveries.removeAll(due);
      due.forEach(delivery -> delivery.to().receive(delivery.from(), delivery.message()));
    }

    private void restart(String name) {
      hosts.put(name, new Host(this, name, hosts.get(name).domain));
    }

    private List<Host> active() {
      return hosts.values().stream().filter(host -> !host.frozen).toList();
    }

    private List<Host> served() {
      return active().stream().filter(host -> !refused.contains(host.name)).toList();
    }

    private List<Host> readers() {
      return hosts.values().stream().filter(host -> host.role.isReader()).toList();
    }
  }

  private static final class Host implements PeerNetwork, PlatformStore {
    private final Cluster cluster;
    private final String name;
    private final String domain;
    private final Incarnation incarnation;
    private final Gateway gateway;
    private final StoreReaderRole role;
    private final InstanceListTask instances;
    private final OperatorChangeTask changes;
    private long instancesAtNanos;
    private long changesAtNanos;
    private long waitNanos;
    private boolean frozen;
    private long delayMillis;

    private Host(Cluster cluster, String name, String domain) {
      this.cluster = cluster;
      this.name = name;
      this.domain = domain;
      this.incarnation = Incarnation.random(cluster.random);
      this.gateway = GatewayFixture.idleGateway(name, domain, cluster.clock);
      this.role =
          new StoreReaderRole(
              new PeerIdentity(incarnation, name, domain, "r", 1),
              this,
              cluster.clock,
              (event, fields) -> {});
      StoreClock storeClock = new StoreClock();
      this.instances =
          new InstanceListTask(
              gateway,
              this,
              role,
              this::broadcast,
              new ReadSchedule(
                  cluster.timings.upstreamInterval(), cluster.timings.upstreamMaxAge()),
              storeClock);
      this.changes =
          new OperatorChangeTask(
              gateway,
              this,
              role,
              this::broadcast,
              new ReadSchedule(Duration.ZERO, cluster.timings.operatorMaxAge()),
              storeClock,
              cluster.timings.operatorMaxWait());
    }

    private void step() {
      long now = cluster.clock.nanoTime();
      if (frozen) {
        return;
      }
      if (now - instancesAtNanos >= 0) {
        instancesAtNanos = now + instances.step().toNanos();
      }
      if (now - changesAtNanos >= 0) {
        waitNanos = 0;
        changesAtNanos = now + changes.step().toNanos() + waitNanos;
      }
    }

    private boolean knowsLeaving(String id) {
      return gateway.available("s").stream().noneMatch(instance -> instance.id().equals(id));
    }

    private long configurationVersion() {
      return gateway.configuration().map(ForwardingConfiguration::version).orElse(0L);
    }

    private void call() throws PlatformException {
      cluster.calls++;
      if (cluster.refused.contains(name)) {
        throw new PlatformUnavailableException("refused");
      }
    }

    @Override
    public List<Peer> peers() {
      return cluster.hosts.values().stream()
          .filter(other -> other != this && other.domain.equals(domain))
          .map(Host::peer)
          .toList();
    }

    private Peer peer() {
      return new Peer(incarnation, name, domain, "r", 1, 0, 0, false);
    }

    private long broadcast(PeerMessage sent, Predicate<Peer> receivers) {
      PeerMessage message =
          cluster.earlierReaders && role.isReader() ? withoutEvacuations(sent) : sent;
      for (Host other : cluster.hosts.values()) {
        if (other != this && !other.frozen && receivers.test(other.peer())) {
          if (delayMillis == 0) {
            other.receive(this, message);
          } else {
            long atNanos = cluster.clock.nanoTime() + Duration.ofMillis(delayMillis).toNanos();
            cluster.deliveries.add(new Cluster.Delivery(atNanos, this, other, message));
          }
        }
      }
      return 0;
    }

    private static PeerMessage withoutEvacuations(PeerMessage message) {
      if (message instanceof PeerMessage.OperatorChange change) {
        return withoutEvacuations(change.reading());
      }
      return message instanceof PeerMessage.OperatorReading reading
          ? new PeerMessage.OperatorReading(reading.newestChange(), reading.storeMillis(), null)
          : message;
    }

    private void receive(Host from, PeerMessage message) {
      instances.received(from.peer(), message);
      changes.received(from.peer(), message);
    }

    @Override
    public boolean send(Incarnation to, PeerMessage message) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void broadcast(PeerMessage message) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void addListener(Listener listener) {
      throw new UnsupportedOperationException();
    }

    @Override
    public OperatorState operatorState() throws PlatformException {
      call();
      return state(cluster.operatorRevision, List.of());
    }

    private OperatorState state(long version, List<Row> changedRows) {
      return new OperatorState(
          Optional.of(
              new ForwardingConfiguration(
                  version,
                  new RouteTable(List.of()),
                  List.of(),
                  Optional.empty(),
                  new CallerLimits(1000, 1000, 1000, 1000))),
          List.of(),
          new EvacuationReading(cluster.evacuations, List.of(), true),
          cluster.revision,
          cluster.operatorRevision,
          cluster.storeMillis(),
          changedRows);
    }

    /** Waits also if there is a change, so that the times measured here are upper bounds. */
    @Override
    public OperatorState operatorChanges(long cursor, Duration maxWait) throws PlatformException {
      waitNanos = maxWait.toNanos();
      call();
      if (cursor < cluster.operatorRevision) {
        return state(
            cluster.operatorRevision,
            List.of(new Row(new RowKey("op", "config"), cluster.operatorRevision, cluster.filler)));
      }
      return new OperatorState(
          Optional.empty(),
          List.of(),
          cluster.evacuationsSince(cursor),
          cluster.revision,
          0,
          cluster.storeMillis(),
          List.of());
    }

    @Override
    public OperatorState decodeOperatorChange(List<Row> rows) {
      cluster.changeBeforeEvacuation |= !gateway.evacuated.names().equals(cluster.evacuations);
      return state(rows.get(0).version(), rows);
    }

    @Override
    public InstanceReading instances() throws PlatformException {
      call();
      return new InstanceReading(
          new ArrayList<>(cluster.upstreams.values()), cluster.revision, cluster.storeMillis());
    }

    @Override
    public List<StoredShift> shifts() {
      throw new UnsupportedOperationException();
    }

    @Override
    public List<SharedPart> quarantinedParts() {
      throw new UnsupportedOperationException();
    }

    @Override
    public void storeQuarantinedPart(SharedPart part) {
      throw new UnsupportedOperationException();
    }

    @Override
    public void removeQuarantinedPart(SharedPart part) {
      throw new UnsupportedOperationException();
    }

    @Override
    public boolean storeShift(ShiftOrder order, ShiftState state, Optional<StoredShift> previous) {
      throw new UnsupportedOperationException();
    }
  }

  /** Calls to the store. */
  public static class Calls {
    /** Calls a second of all hosts together while nothing happens. */
    private static final long MAX_CALLS_PER_SECOND = 20;

    private static final int SECONDS = 30;

    @DataProvider
    public Object[][] sizes() {
      return new Object[][] {{95, 5}, {330, 7}};
    }

    @Test(dataProvider = "sizes")
    public void doNotGrowWithTheNumberOfHosts(int hostCount, int domainCount) {
      Cluster cluster = new Cluster(hostCount, domainCount);
      cluster.run(3000);
      cluster.calls = 0;
      cluster.run(SECONDS * 1000);
      assertTrue(cluster.calls <= SECONDS * MAX_CALLS_PER_SECOND, cluster.calls + " calls");
    }

    // Replays a change by the operator, which every host would read.
    @Test(dataProvider = "sizes")
    public void changeIsReadByTheReadersOnly(int hostCount, int domainCount) {
      Cluster cluster = new Cluster(hostCount, domainCount);
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
      Cluster cluster = new Cluster(95, 5);
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
      Cluster cluster = new Cluster(95, 5);
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
    private Cluster cluster;

    @BeforeMethod
    public void start() {
      cluster = new Cluster(95, 5);
      cluster.run(10_000);
    }

    private void assertChangesArriveInTime() {
      cluster.leave("u7");
      cluster.changeConfiguration();
      long drain =
          cluster.runUntil(
              () -> cluster.active().stream().allMatch(host -> host.knowsLeaving("u7")), 10_000);
      assertTrue(drain < DRAIN_MILLIS, "upstream left after " + drain + " ms");
      long configured =
          drain
              + cluster.runUntil(
                  () ->
                      cluster.served().stream()
                          .allMatch(h -> h.configurationVersion() == cluster.operatorRevision),
                  10_000);
      assertTrue(configured < CONFIGURATION_MILLIS, "configured after " + configured + " ms");
    }

    @Test
    public void reachEveryHost() {
      assertEquals(cluster.readers().size(), 10);
      assertChangesArriveInTime();
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
      Cluster slow = new Cluster(88, 3, allowedMillis, allowedMillis);
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
    private Cluster cluster;

    private enum Trouble {
      NONE {
        @Override
        void begin(Cluster cluster) {}
      },
      READERS_FROZEN {
        @Override
        void begin(Cluster cluster) {
          cluster.readers().forEach(host -> host.frozen = true);
        }
      },
      READERS_REFUSED {
        @Override
        void begin(Cluster cluster) {
          cluster.readers().forEach(host -> cluster.refused.add(host.name));
        }
      },
      ALL_BUT_THE_READERS_REFUSED {
        @Override
        void begin(Cluster cluster) {
          cluster.hosts.values().stream()
              .filter(host -> !host.role.isReader())
              .forEach(host -> cluster.refused.add(host.name));
        }
      },
      STORE_TELLS_NO_TIME {
        @Override
        void begin(Cluster cluster) {
          cluster.tellsNoTime = true;
        }
      },
      READERS_OF_AN_EARLIER_RELEASE {
        @Override
        void begin(Cluster cluster) {
          cluster.earlierReaders = true;
        }
      },
      READERS_RESTARTED {
        @Override
        void begin(Cluster cluster) {
          cluster.readers().forEach(host -> cluster.restart(host.name));
        }
      };

      abstract void begin(Cluster cluster);
    }

    @BeforeMethod
    public void start() {
      cluster = new Cluster(81, 4);
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
