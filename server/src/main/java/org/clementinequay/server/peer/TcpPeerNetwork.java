package org.clementinequay.server.peer;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import javax.net.ssl.SSLContext;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.membership.LinkTopology;
import org.clementinequay.core.membership.Member;
import org.clementinequay.core.platform.HostDirectory;
import org.clementinequay.core.platform.HostEntry;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.core.time.SystemClock;
import org.clementinequay.server.peer.PeerStatistics.Counter;

/**
 * Links over TCP. The thread {@code peer-links} accepts and opens connections, reads and writes all
 * of them, sends heartbeats and drops silent links; {@code peer-host-list} reads the host list and
 * selects the hosts to link to. If the host list cannot be read, the last one is kept.
 */
public final class TcpPeerNetwork implements PeerNetwork, AutoCloseable {
  /** Version of the protocol that this release sends. */
  static final int PROTOCOL = 1;

  /** Oldest version of the protocol that this release accepts. */
  static final int OLDEST_PROTOCOL = 1;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String ENTRY_ROLE = "entry";

  /** Time from the first read of the host list to the second. */
  private static final Duration SECOND_HOST_LIST_READ = Duration.ofSeconds(4);

  private final PeerIdentity self;
  private final RuntimeClock clock;
  private final PeerTimings timings;
  private final HostDirectory directory;
  private final Supplier<HeartbeatContent> heartbeatContent;
  private final PeerStatistics statistics = new PeerStatistics();
  private final Dialler dialler;
  private final SurplusLinks surplusLinks = new SurplusLinks();
  private final LinkLoop loop;
  private final LinkRegistry registry;
  private final PeerListener listener;
  private final AtomicBoolean closed = new AtomicBoolean();
  private Thread hostListThread;
  private volatile Targets targets = new Targets(List.of(), Map.of());
  private volatile Set<String> listedHosts = Set.of();

  /**
   * Hosts to link to.
   *
   * @param addresses their addresses by name; unresolved if the host list has an invalid one
   */
  private record Targets(List<HostEntry> hosts, Map<String, InetSocketAddress> addresses) {}

  private TcpPeerNetwork(Builder builder) throws IOException {
    this.self = builder.self;
    this.clock = builder.clock;
    this.timings = builder.timings;
    this.directory = Objects.requireNonNull(builder.directory, "host directory");
    this.heartbeatContent = builder.heartbeatContent;
    this.dialler = new Dialler(self.host(), timings, builder.random);
    this.loop = new LinkLoop(clock);
    this.registry =
        new LinkRegistry(
            self,
            heartbeatContent,
            clock,
            timings,
            new LinkConnection.Factory(loop, new PeerSockets(builder.tls), statistics));
    this.listener =
        new PeerListener(
            Objects.requireNonNull(builder.listen, "listen address"), loop, registry::accept);
  }

  /** Returns a builder for the links of a host. */
  public static Builder builder(PeerIdentity self) {
    return new Builder(self);
  }

  /** Starts the threads of the links and of the host list. */
  public synchronized TcpPeerNetwork start() {
    loop.repeat(timings.initialBackOff().dividedBy(2), this::dialMissing);
    loop.repeat(timings.heartbeatInterval(), registry::maintain);
    loop.execute(listener::start);
    loop.start();
    hostListThread = DaemonThreads.start("peer-host-list", this::readHostLists);
    return this;
  }

  /** Returns the address that the listener is bound to. */
  public InetSocketAddress address() {
    return listener.address();
  }

  public PeerStatistics statistics() {
    return statistics;
  }

  @Override
  public List<Peer> peers() {
    return registry.links().stream().map(PeerLink::peer).toList();
  }

  @Override
  public boolean send(Incarnation to, PeerMessage message) {
    return registry.find(to).map(link -> send(link, message)).orElse(false);
  }

  private boolean send(PeerLink link, PeerMessage message) {
    try {
      return link.offer(FrameCodec.encode(message));
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("cannot encode a message for %s", link.label());
      return false;
    }
  }

  @Override
  public void broadcast(PeerMessage message) {
    broadcast(message, peer -> true);
  }

  /**
   * Queues a message for every linked peer that matches, without blocking.
   *
   * @return the bytes queued on all links together
   */
  public long broadcast(PeerMessage message, Predicate<Peer> receivers) {
    long bytes = 0;
    try {
      byte[] frame = FrameCodec.encode(message);
      for (PeerLink link : registry.links()) {
        if (receivers.test(link.peer()) && link.offer(frame)) {
          bytes += frame.length;
        }
      }
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("cannot encode a message for several peers");
    }
    return bytes;
  }

  /** Returns the number of entry hosts on the last host list; 0 if none could be read yet. */
  public int listedHosts() {
    return listedHosts.size();
  }

  /**
   * Returns the names of the entry hosts on the last host list; empty if none could be read yet.
   */
  public Set<String> listedHostNames() {
    return listedHosts;
  }

  @Override
  public void addListener(Listener peerListener) {
    registry.addListener(peerListener);
  }

  /**
   * Sends a heartbeat to all peers without waiting for the interval, so that they know immediately
   * that this host is leaving.
   */
  public void sendHeartbeatsNow() {
    loop.execute(registry::maintain);
  }

  /** Closes the listener and all links. */
  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    synchronized (this) {
      if (hostListThread != null) {
        hostListThread.interrupt();
      }
    }
    loop.execute(listener::close);
    loop.execute(registry::close);
    loop.close();
  }

  /**
   * Reads the host list until the network is closed. The second read follows soon, because hosts
   * that start together read the list before all of them are on it.
   */
  private void readHostLists() {
    Duration interval =
        timings.hostListInterval().compareTo(SECOND_HOST_LIST_READ) > 0
            ? SECOND_HOST_LIST_READ
            : timings.hostListInterval();
    while (!closed.get()) {
      try {
        readHostList();
      } catch (RuntimeException | StackOverflowError | OutOfMemoryError e) {
        // If the thread ended, no new hosts would be linked until the process restarts.
        logger.atSevere().withCause(e).log("unexpected exception while the host list was read");
      }
      try {
        clock.sleep(interval);
      } catch (InterruptedException e) {
        return;
      }
      interval = timings.hostListInterval();
    }
  }

  private void readHostList() {
    try {
      List<HostEntry> hosts = directory.hosts();
      List<HostEntry> selected = selectTargets(hosts);
      targets =
          new Targets(
              selected,
              selected.stream()
                  .collect(
                      Collectors.toMap(
                          HostEntry::name,
                          host -> PeerSockets.resolve(host.address()),
                          (first, second) -> first)));
      surplusLinks
          .find(registry.links(), names(hosts), names(selected))
          .forEach(link -> loop.execute(() -> link.end(PeerLink.EndReason.SURPLUS)));
    } catch (PlatformException e) {
      statistics.add(Counter.HOST_LIST_FAILURES, 1);
      logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).withCause(e).log(
          "cannot read the host list; keeping the last one");
    }
  }

  private static Set<String> names(List<HostEntry> hosts) {
    return hosts.stream().map(HostEntry::name).collect(Collectors.toSet());
  }

  private List<HostEntry> selectTargets(List<HostEntry> hosts) {
    List<HostEntry> candidates =
        hosts.stream().filter(h -> h.role().equals(ENTRY_ROLE) && !h.leaving()).toList();
    listedHosts = names(candidates);
    Function<HostEntry, Member> member = host -> new Member(host.name(), host.domain());
    Set<Member> selected =
        new LinkTopology(candidates.stream().map(member).toList())
            .targets(new Member(self.host(), self.domain()));
    return candidates.stream().filter(host -> selected.contains(member.apply(host))).toList();
  }

  private void dialMissing() {
    Targets current = targets;
    dialler.dial(
        current.hosts(),
        registry::isLinked,
        host -> registry.dial(host.name(), current.addresses().get(host.name())),
        clock.nanoTime());
  }

  /** Collects the parts of a network; the listen address and the host directory are required. */
  public static final class Builder {
    private final PeerIdentity self;
    private InetSocketAddress listen;
    private HostDirectory directory;
    private RuntimeClock clock = new SystemClock();
    private PeerTimings timings = PeerTimings.PRODUCTION;
    private Supplier<HeartbeatContent> heartbeatContent =
        () -> new HeartbeatContent(0, false, 0, 0);
    private Optional<SSLContext> tls = Optional.empty();
    private RandomGenerator random = new SplittableRandom();

    private Builder(PeerIdentity self) {
      this.self = Objects.requireNonNull(self);
    }

    /** Sets the address to listen on; port 0 selects a free port. */
    public Builder listen(InetSocketAddress address) {
      this.listen = address;
      return this;
    }

    /** Sets the host list; links are opened only to its entries with the role {@code entry}. */
    public Builder directory(HostDirectory hosts) {
      this.directory = hosts;
      return this;
    }

    /** Sets the clock. */
    public Builder clock(RuntimeClock runtimeClock) {
      this.clock = Objects.requireNonNull(runtimeClock);
      return this;
    }

    /** Sets the timings; the default is {@link PeerTimings#PRODUCTION}. */
    public Builder timings(PeerTimings intervals) {
      this.timings = Objects.requireNonNull(intervals);
      return this;
    }

    /** Sets the supplier of the content of heartbeats; it is called often and must not block. */
    public Builder heartbeat(Supplier<HeartbeatContent> source) {
      this.heartbeatContent = Objects.requireNonNull(source);
      return this;
    }

    /** Turns on TLS; both ends must present a certificate that the context trusts. */
    public Builder tls(SSLContext context) {
      this.tls = Optional.of(context);
      return this;
    }

    /** Sets the random source of the back-off's jitter. */
    public Builder random(RandomGenerator source) {
      this.random = Objects.requireNonNull(source);
      return this;
    }

    /**
     * Binds the listener; no thread is started yet, so that listeners can be added.
     *
     * @throws IOException if the address cannot be bound
     */
    public TcpPeerNetwork build() throws IOException {
      return new TcpPeerNetwork(this);
    }
  }
}
