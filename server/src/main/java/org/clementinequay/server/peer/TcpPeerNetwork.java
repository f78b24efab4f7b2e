package org.clementinequay.server.peer;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
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
 * Links over TCP. The thread {@code peer-listener} accepts connections, {@code peer-host-list}
 * reads the host list and selects the hosts to link to, {@code peer-dialler} opens missing links,
 * and {@code peer-heartbeat} sends heartbeats and drops silent links; each link has a {@code
 * peer-reader} and a {@code peer-writer}. If the host list cannot be read, the last one is kept.
 */
public final class TcpPeerNetwork implements PeerNetwork, AutoCloseable {
  /** Version of the protocol that this release sends. */
  static final int PROTOCOL = 1;

  /** Oldest version of the protocol that this release accepts. */
  static final int OLDEST_PROTOCOL = 1;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String ENTRY_ROLE = "entry";

  /** Connections that have not come up yet; at this number, accepted connections are closed. */
  private static final int MAX_PENDING_CONNECTIONS = 512;

  private static final int BACKLOG = 512;

  /**
   * Number of heartbeat intervals without an acknowledgement after which any new connection
   * replaces a link.
   */
  private static final int MAX_SILENT_HEARTBEATS = 2;

  /** Time from the first read of the host list to the second. */
  private static final Duration SECOND_HOST_LIST_READ = Duration.ofSeconds(4);

  private static final Duration ACCEPT_RETRY_DELAY = Duration.ofMillis(100);

  private final PeerIdentity self;
  private final RuntimeClock clock;
  private final PeerTimings timings;
  private final HostDirectory directory;
  private final Supplier<HeartbeatContent> heartbeatContent;
  private final PeerSockets sockets;
  private final Dialler dialler;
  private final SurplusLinks surplusLinks = new SurplusLinks();
  private final ServerSocket serverSocket;
  private final LinkTable table;
  private final PeerStatistics statistics = new PeerStatistics();
  private final Set<PeerLink> pending = ConcurrentHashMap.newKeySet();
  private final List<Listener> listeners = new CopyOnWriteArrayList<>();
  private final List<Thread> threads = new ArrayList<>();
  private final AtomicBoolean closed = new AtomicBoolean();
  private final Object linkChangeLock = new Object();
  private final PeerLink.Owner owner = new LinkOwner();
  private volatile List<HostEntry> targets = List.of();
  private volatile Set<String> listedHosts = Set.of();
  private boolean hostListRepeated;

  private TcpPeerNetwork(Builder builder) throws IOException {
    this.self = builder.self;
    this.clock = builder.clock;
    this.timings = builder.timings;
    this.directory = Objects.requireNonNull(builder.directory, "host directory");
    this.heartbeatContent = builder.heartbeatContent;
    this.sockets = new PeerSockets(builder.tls, timings.handshakeTimeout());
    this.dialler = new Dialler(self.host(), timings, builder.random);
    this.table =
        new LinkTable(
            self.incarnation(), MAX_SILENT_HEARTBEATS * timings.heartbeatInterval().toNanos());
    this.serverSocket = new ServerSocket();
    serverSocket.setReuseAddress(true);
    serverSocket.bind(Objects.requireNonNull(builder.listen, "listen address"), BACKLOG);
  }

  /** Returns a builder for the links of a host. */
  public static Builder builder(PeerIdentity self) {
    return new Builder(self);
  }

  /** Starts the threads of the listener, the host list, the dialler and the heartbeats. */
  public synchronized TcpPeerNetwork start() {
    threads.add(DaemonThreads.start("peer-listener", this::acceptConnections));
    threads.add(
        DaemonThreads.start(
            "peer-host-list", () -> repeat(this::hostListInterval, this::readHostList)));
    threads.add(
        DaemonThreads.start("peer-dialler", () -> repeat(this::dialInterval, this::dialMissing)));
    threads.add(
        DaemonThreads.start(
            "peer-heartbeat", () -> repeat(this::heartbeatInterval, this::maintainLinks)));
    return this;
  }

  /** Returns the address that the listener is bound to. */
  public InetSocketAddress address() {
    return (InetSocketAddress) serverSocket.getLocalSocketAddress();
  }

  public PeerStatistics statistics() {
    return statistics;
  }

  @Override
  public List<Peer> peers() {
    return table.links().stream().map(PeerLink::peer).toList();
  }

  @Override
  public boolean send(Incarnation to, PeerMessage message) {
    return table.find(to).map(link -> send(link, message)).orElse(false);
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
      for (PeerLink link : table.links()) {
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
  public void addListener(Listener listener) {
    listeners.add(Objects.requireNonNull(listener));
  }

  /**
   * Sends a heartbeat to all peers without waiting for the interval, so that they know immediately
   * that this host is leaving.
   */
  public void sendHeartbeatsNow() {
    maintainLinks();
  }

  /** Closes the listener and all links. */
  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    try {
      serverSocket.close();
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("cannot close the peer listener");
    }
    synchronized (this) {
      threads.forEach(Thread::interrupt);
    }
    pending.forEach(link -> link.end(PeerLink.EndReason.SHUTDOWN));
    table.links().forEach(link -> link.end(PeerLink.EndReason.SHUTDOWN));
  }

  private Duration heartbeatInterval() {
    return timings.heartbeatInterval();
  }

  /**
   * Returns the time until the next read of the host list. The second read follows soon, because
   * hosts that start together read the list before all of them are on it.
   */
  private Duration hostListInterval() {
    boolean first = !hostListRepeated;
    hostListRepeated = true;
    return first && timings.hostListInterval().compareTo(SECOND_HOST_LIST_READ) > 0
        ? SECOND_HOST_LIST_READ
        : timings.hostListInterval();
  }

  private Duration dialInterval() {
    return timings.initialBackOff().dividedBy(2);
  }

  private void repeat(Supplier<Duration> interval, Runnable task) {
    while (!closed.get()) {
      try {
        task.run();
      } catch (RuntimeException e) {
        // If the thread ended, heartbeats or dialling would stop until the process restarts.
        logger.atSevere().withCause(e).log("unexpected exception in a peer thread");
      }
      try {
        clock.sleep(interval.get());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void acceptConnections() {
    while (!closed.get()) {
      try {
        Socket socket = serverSocket.accept();
        if (pending.size() >= MAX_PENDING_CONNECTIONS) {
          statistics.add(Counter.HANDSHAKES_FAILED, 1);
          socket.close();
        } else {
          startLink(
              String.valueOf(socket.getRemoteSocketAddress()),
              false,
              socket,
              sockets.serverOpener());
        }
      } catch (IOException | RuntimeException e) {
        if (closed.get()) {
          return;
        }
        logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).withCause(e).log(
            "cannot accept a connection");
        pauseAfterAcceptFailure();
      }
    }
  }

  private void pauseAfterAcceptFailure() {
    try {
      clock.sleep(ACCEPT_RETRY_DELAY);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private PeerLink startLink(
      String label, boolean dialled, Socket socket, PeerSockets.Opener opener) {
    PeerLink link = new PeerLink(owner, label, dialled, socket, opener, clock, statistics, timings);
    pending.add(link);
    link.start();
    return link;
  }

  private void readHostList() {
    try {
      List<HostEntry> hosts = directory.hosts();
      targets = selectTargets(hosts);
      surplusLinks
          .find(table.links(), names(hosts), names(targets))
          .forEach(link -> link.end(PeerLink.EndReason.SURPLUS));
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
    List<Member> members = candidates.stream().map(h -> new Member(h.name(), h.domain())).toList();
    Set<Member> selected =
        new LinkTopology(members).targets(new Member(self.host(), self.domain()));
    return candidates.stream()
        .filter(h -> selected.contains(new Member(h.name(), h.domain())))
        .toList();
  }

  private void dialMissing() {
    dialler.dial(targets, table::isLinked, this::openLink, clock.nanoTime());
  }

  private PeerLink openLink(HostEntry target) {
    return startLink(target.name(), true, new Socket(), sockets.clientOpener(target.address()));
  }

  private void maintainLinks() {
    long now = clock.nanoTime();
    for (PeerLink link : pending) {
      if (link.ageNanos(now) > timings.handshakeTimeout().toNanos()) {
        link.end(PeerLink.EndReason.CLOSED);
      }
    }
    for (PeerLink link : table.links()) {
      if (link.isSilent(now)) {
        link.end(PeerLink.EndReason.SILENT);
      }
    }
    HeartbeatContent current = heartbeatContent.get();
    for (PeerLink link : table.links()) {
      try {
        link.queueHeartbeat(current);
      } catch (IOException e) {
        logger.atSevere().withCause(e).log("cannot encode a heartbeat");
      }
    }
  }

  /** Receives the events of the links. */
  private final class LinkOwner implements PeerLink.Owner {
    @Override
    public PeerMessage.Hello hello() {
      return self.toHello(PROTOCOL);
    }

    @Override
    public boolean accepts(PeerMessage.Hello hello, PeerIdentity remote) {
      if (hello.protocol() < OLDEST_PROTOCOL) {
        statistics.add(Counter.PROTOCOL_MISMATCHES, 1);
        logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
            "refusing %s: it uses protocol version %d, the oldest supported version is %d",
            remote.host(), hello.protocol(), OLDEST_PROTOCOL);
        return false;
      }
      boolean isSelf =
          remote.incarnation().equals(self.incarnation()) || remote.host().equals(self.host());
      if (isSelf) {
        statistics.add(Counter.OWN_CONNECTIONS, 1);
        logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
            "refusing a connection with the name or the incarnation of this host");
      }
      return !isSelf;
    }

    @Override
    public HeartbeatContent heartbeat() {
      return heartbeatContent.get();
    }

    @Override
    public boolean admit(PeerLink link) {
      LinkTable.Admission admission;
      synchronized (linkChangeLock) {
        if (closed.get() || link.isEnded()) {
          return false;
        }
        admission = table.admit(link, clock.nanoTime());
        if (!recordDecision(link, admission.decision())) {
          return false;
        }
        pending.remove(link);
        if (admission.decision() == LinkTable.Decision.REPLACED_PROCESS) {
          admission
              .displaced()
              .ifPresent(
                  displaced -> notifyListeners(listener -> listener.unlinked(displaced.peer())));
        }
        notifyListeners(listener -> listener.linked(link.peer()));
      }
      admission.displaced().ifPresent(displaced -> displaced.end(PeerLink.EndReason.SUPERSEDED));
      return true;
    }

    /** Counts and logs a decision; returns whether the link is kept. */
    private boolean recordDecision(PeerLink link, LinkTable.Decision decision) {
      decision.counter().ifPresent(counter -> statistics.add(counter, 1));
      if (decision.kept()) {
        statistics.add(Counter.LINKS_OPENED, 1);
      }
      if (decision == LinkTable.Decision.STALE) {
        logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
            "refusing process %s of %s: a later process of this host has had a link; if both run,"
                + " two hosts have the same name",
            link.remote().incarnation(), link.remote().host());
      }
      return decision.kept();
    }

    @Override
    public void received(PeerLink link, PeerMessage message) {
      notifyListeners(listener -> listener.received(link.peer(), message));
    }

    @Override
    public void ended(PeerLink link, PeerLink.EndReason reason) {
      boolean wasPending = pending.remove(link);
      synchronized (linkChangeLock) {
        if (table.remove(link)) {
          statistics.add(
              reason == PeerLink.EndReason.SILENT ? Counter.LINKS_SILENT : Counter.LINKS_CLOSED, 1);
          logger.atInfo().log("link to %s ended: %s", link.remote().host(), reason);
          notifyListeners(listener -> listener.unlinked(link.peer()));
        } else if (wasPending && reason == PeerLink.EndReason.CLOSED) {
          statistics.add(Counter.HANDSHAKES_FAILED, 1);
        }
      }
    }

    private void notifyListeners(Consumer<Listener> event) {
      for (Listener listener : listeners) {
        try {
          event.accept(listener);
        } catch (RuntimeException e) {
          statistics.add(Counter.LISTENER_FAILURES, 1);
          logger.atSevere().withCause(e).log("peer listener failed");
        }
      }
    }
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
