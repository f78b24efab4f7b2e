package org.clementinequay.server.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
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
import org.clementinequay.core.membership.LinkTopology;
import org.clementinequay.core.membership.Member;
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

/** Hosts with full links in their domains and a few to other domains, and one store. */
final class StoreRelayCluster {
  static final long DRAIN_MILLIS = 4000;
  static final long CONFIGURATION_MILLIS = 4000;
  private static final long TICK_MILLIS = 10;
  private static final int UPSTREAMS = 42;

  final ManualClock clock = new ManualClock(Instant.EPOCH);
  final Map<String, Host> hosts = new LinkedHashMap<>();
  final SplittableRandom random = new SplittableRandom(5);
  final Set<String> refused = new HashSet<>();
  final Map<String, UpstreamInstance> upstreams = new LinkedHashMap<>();
  final List<String> evacuations = new ArrayList<>();
  final NavigableMap<Long, String> takenBack = new TreeMap<>();
  final List<Delivery> deliveries = new ArrayList<>();
  final StoreReadTimings timings;
  private final LinkTopology topology;
  private final Map<String, Set<Member>> targets = new HashMap<>();
  long revision = 1;
  long operatorRevision = 1;
  long calls;
  boolean tellsNoTime;
  boolean earlierReaders;
  boolean changeBeforeEvacuation;

  /** Value of the row of the configuration. */
  String filler = "";

  /** A message on its way. */
  record Delivery(long atNanos, Host from, Host to, PeerMessage message) {}

  StoreRelayCluster(int hostCount, int domainCount) {
    this(hostCount, domainCount, DRAIN_MILLIS, CONFIGURATION_MILLIS);
  }

  StoreRelayCluster(int hostCount, int domainCount, long drainMillis, long configurationMillis) {
    timings = new StoreReadTimings(drainMillis, configurationMillis);
    for (int i = 0; i < UPSTREAMS; i++) {
      upstreams.put("u" + i, upstream("u" + i, false));
    }
    for (int i = 0; i < hostCount; i++) {
      Host host = new Host(this, "front-" + i, "domain-" + i % domainCount);
      hosts.put(host.name, host);
    }
    topology = new LinkTopology(hosts.values().stream().map(Host::member).toList());
    hosts.values().forEach(host -> targets.put(host.name, topology.targets(host.member())));
  }

  /** Returns whether a link of one of the hosts leads to the other. */
  boolean linked(Host one, Host other) {
    return targets.get(one.name).contains(other.member())
        || targets.get(other.name).contains(one.member());
  }

  static UpstreamInstance upstream(String id, boolean leaving) {
    return new UpstreamInstance(id, "s", "10.0.0.1:1", "d", "v1", 8, leaving, 1);
  }

  void leave(String id) {
    upstreams.put(id, upstream(id, true));
    revision++;
  }

  void evacuate(String domain) {
    operatorRevision = ++revision;
    evacuations.add(domain);
  }

  void takeBack(String domain) {
    evacuations.remove(domain);
    takenBack.put(++revision, domain);
  }

  EvacuationReading evacuationsSince(long cursor) {
    return new EvacuationReading(
        List.of(), List.copyOf(takenBack.tailMap(cursor + 1).values()), false);
  }

  boolean allKnow(String... domains) {
    return active().stream()
        .allMatch(host -> host.gateway.evacuated.names().equals(List.of(domains)));
  }

  void changeConfiguration() {
    operatorRevision = ++revision;
  }

  /** Returns the time of the store's clock, which is not that of the hosts. */
  long storeMillis() {
    return tellsNoTime ? 0 : clock.nanoTime() / 1_000_000 + 77_000;
  }

  void run(long millis) {
    runUntil(() -> false, millis);
  }

  /** Returns the time until the condition holds, in milliseconds. */
  long runUntil(BooleanSupplier condition, long maxMillis) {
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

  void deliverDue() {
    List<Delivery> due =
        deliveries.stream().filter(d -> clock.nanoTime() - d.atNanos() >= 0).toList();
    deliveries.removeAll(due);
    due.forEach(delivery -> delivery.to().receive(delivery.from(), delivery.message()));
  }

  void restart(String name) {
    hosts.put(name, new Host(this, name, hosts.get(name).domain));
  }

  List<Host> active() {
    return hosts.values().stream().filter(host -> !host.frozen).toList();
  }

  List<Host> served() {
    return active().stream().filter(host -> !refused.contains(host.name)).toList();
  }

  List<Host> readers() {
    return hosts.values().stream().filter(host -> host.role.isReader()).toList();
  }

  static final class Host implements PeerNetwork, PlatformStore {
    final StoreRelayCluster cluster;
    final String name;
    final String domain;
    final Incarnation incarnation;
    final Gateway gateway;
    final StoreReaderRole role;
    final InstanceListTask instances;
    final OperatorChangeTask changes;
    long instancesAtNanos;
    long changesAtNanos;
    long waitNanos;
    boolean frozen;
    long delayMillis;

    Host(StoreRelayCluster cluster, String name, String domain) {
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
                  cluster.timings.upstreamInterval(),
                  cluster.timings.upstreamStandby(),
                  cluster.timings.upstreamMaxAge(),
                  cluster.random),
              storeClock);
      this.changes =
          new OperatorChangeTask(
              gateway,
              this,
              role,
              this::broadcast,
              new ReadSchedule(
                  Duration.ZERO,
                  cluster.timings.operatorStandby(),
                  cluster.timings.operatorMaxAge(),
                  cluster.random),
              storeClock,
              cluster.timings.operatorMaxWait());
    }

    void step() {
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

    boolean knowsLeaving(String id) {
      return gateway.available("s").stream().noneMatch(instance -> instance.id().equals(id));
    }

    long configurationVersion() {
      return gateway.configuration().map(ForwardingConfiguration::version).orElse(0L);
    }

    void call() throws PlatformException {
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

    Member member() {
      return new Member(name, domain);
    }

    Peer peer() {
      return new Peer(incarnation, name, domain, "r", 1, 0, 0, false);
    }

    long broadcast(PeerMessage sent, Predicate<Peer> receivers) {
      PeerMessage message =
          cluster.earlierReaders && role.isReader() ? withoutEvacuations(sent) : sent;
      for (Host other : cluster.hosts.values()) {
        if (other != this
            && !other.frozen
            && cluster.linked(this, other)
            && receivers.test(other.peer())) {
          if (delayMillis == 0) {
            other.receive(this, message);
          } else {
            long atNanos = cluster.clock.nanoTime() + Duration.ofMillis(delayMillis).toNanos();
            cluster.deliveries.add(new StoreRelayCluster.Delivery(atNanos, this, other, message));
          }
        }
      }
      return 0;
    }

    static PeerMessage withoutEvacuations(PeerMessage message) {
      if (message instanceof PeerMessage.OperatorChange change) {
        return withoutEvacuations(change.reading());
      }
      return message instanceof PeerMessage.OperatorReading reading
          ? new PeerMessage.OperatorReading(reading.newestChange(), reading.storeMillis(), null)
          : message;
    }

    void receive(Host from, PeerMessage message) {
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

    OperatorState state(long version, List<Row> changedRows) {
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
}
