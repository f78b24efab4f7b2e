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
 * Links over TCP. Duty threads: {@code peer-listener} accepts, {@code peer-host-list} reads the
 * candidates, {@code peer-dialler} opens missing links, {@code peer-heartbeat} sends heartbeats and
 * drops silent links; each link has a {@code peer-reader} and a {@code peer-writer}. When the host
 * list cannot be read, the last one is kept.
 */
public final class TcpPeerNetwork implements PeerNetwork, AutoCloseable {
  /** Version of the protocol that this release speaks. */
  static final int PROTOCOL = 1;

  /** Oldest version that this release still understands. */
  static final int OLDEST_PROTOCOL = 1;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String ENTRY_ROLE = "entry";

  /** Accepted connections that have not come up yet; more are closed at once. */
  private static final int MAX_PENDING = 512;

  private static final int BACKLOG = 512;

  /** Intervals of a link without an answered heartbeat after which any new connection wins. */
  private static final int QUIET_HEARTBEATS = 2;

  private static final Duration ACCEPT_PAUSE = Duration.ofMillis(100);

  private final PeerIdentity self;
  private final RuntimeClock clock;
  private final PeerTimings timings;
  private final HostDirectory directory;
  private final Supplier<HeartbeatContent> content;
  private final PeerSockets sockets;
  private final Dialler dialler;
  private final SurplusLinks surplusLinks = new SurplusLinks();
  private final ServerSocket server;
  private final LinkTable table;
  private final PeerStatistics statistics = new PeerStatistics();
  private final Set<PeerLink> pending = ConcurrentHashMap.newKeySet();
  private final List<Listener> listeners = new CopyOnWriteArrayList<>();
  private final List<Thread> duties = new ArrayList<>();
  private final AtomicBoolean closed = new AtomicBoolean();
  private final Object linkChanges = new Object();
  private final PeerLink.Owner owner = new LinkOwner();
  private volatile List<HostEntry> targets = List.of();

  private TcpPeerNetwork(Builder builder) throws IOException {
    this.self = builder.self;
    this.clock = builder.clock;
    this.timings = builder.timings;
    this.directory = Objects.requireNonNull(builder.directory, "host directory");
    this.content = builder.content;
    this.sockets = new PeerSockets(builder.tls, timings.handshakeTimeout());
    this.dialler = new Dialler(self.host(), timings, builder.random);
    this.table =
        new LinkTable(self.incarnation(), QUIET_HEARTBEATS * timings.heartbeatInterval().toNanos());
    this.server = new ServerSocket();
    server.setReuseAddress(true);
    server.bind(Objects.requireNonNull(builder.listen, "listen address"), BACKLOG);
  }

  /** Returns a builder for the links of a host. */
  public static Builder builder(PeerIdentity self) {
    return new Builder(self);
  }

  /** Starts the duty threads. */
  public synchronized TcpPeerNetwork start() {
    duties.add(Threads.start("peer-listener", this::accept));
    duties.add(Threads.start("peer-host-list", () -> repeat(hostListPause(), this::readHosts)));
    duties.add(Threads.start("peer-dialler", () -> repeat(dialPause(), this::dial)));
    duties.add(Threads.start("peer-heartbeat", () -> repeat(heartbeatPause(), this::beat)));
    return this;
  }

  /** Returns the address that the listener is bound to. */
  public InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** Returns the counters of the links. */
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
    try {
      byte[] frame = FrameCodec.encode(message);
      for (PeerLink link : table.links()) {
        link.offer(frame);
      }
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("cannot encode a message for all peers");
    }
  }

  @Override
  public void addListener(Listener listener) {
    listeners.add(Objects.requireNonNull(listener));
  }

  /** Sends a heartbeat at once, so that peers learn without delay that this host is leaving. */
  public void sendHeartbeatsNow() {
    beat();
  }

  /** Closes the listener and all links. */
  @Override
  public void close() {
    if (!closed.compareAndSet(false, true)) {
      return;
    }
    try {
      server.close();
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("cannot close the peer listener");
    }
    synchronized (this) {
      duties.forEach(Thread::interrupt);
    }
    pending.forEach(link -> link.end(PeerLink.End.SHUTDOWN));
    table.links().forEach(link -> link.end(PeerLink.End.SHUTDOWN));
  }

  private Duration heartbeatPause() {
    return timings.heartbeatInterval();
  }

  private Duration hostListPause() {
    return timings.hostListInterval();
  }

  private Duration dialPause() {
    return timings.initialBackOff().dividedBy(2);
  }

  private void repeat(Duration pause, Runnable step) {
    while (!closed.get()) {
      try {
        step.run();
      } catch (RuntimeException e) {
        // A duty that ended would stop heartbeats or dialling for the rest of the process.
        logger.atSevere().withCause(e).log("step of a peer duty failed");
      }
      try {
        clock.sleep(pause);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void accept() {
    while (!closed.get()) {
      try {
        Socket socket = server.accept();
        if (pending.size() >= MAX_PENDING) {
          statistics.add(Counter.HANDSHAKES_FAILED, 1);
          socket.close();
        } else {
          begin(
              String.valueOf(socket.getRemoteSocketAddress()), false, socket, sockets.accepting());
        }
      } catch (IOException | RuntimeException e) {
        if (closed.get()) {
          return;
        }
        logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).withCause(e).log("cannot accept");
        pauseListener();
      }
    }
  }

  private void pauseListener() {
    try {
      clock.sleep(ACCEPT_PAUSE);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private PeerLink begin(String label, boolean dialled, Socket socket, PeerSockets.Opener opener) {
    PeerLink link = new PeerLink(owner, label, dialled, socket, opener, clock, statistics, timings);
    pending.add(link);
    link.start();
    return link;
  }

  private void readHosts() {
    try {
      List<HostEntry> hosts = directory.hosts();
      targets = targets(hosts);
      surplusLinks
          .find(table.links(), names(hosts), names(targets))
          .forEach(link -> link.end(PeerLink.End.SURPLUS));
    } catch (PlatformException e) {
      statistics.add(Counter.HOST_LIST_FAILURES, 1);
      logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).withCause(e).log(
          "cannot read the host list; keeping the last one");
    }
  }

  private static Set<String> names(List<HostEntry> hosts) {
    return hosts.stream().map(HostEntry::name).collect(Collectors.toSet());
  }

  private List<HostEntry> targets(List<HostEntry> hosts) {
    List<HostEntry> candidates =
        hosts.stream().filter(h -> h.role().equals(ENTRY_ROLE) && !h.leaving()).toList();
    List<Member> members = candidates.stream().map(h -> new Member(h.name(), h.domain())).toList();
    Set<Member> chosen = new LinkTopology(members).targets(new Member(self.host(), self.domain()));
    return candidates.stream()
        .filter(h -> chosen.contains(new Member(h.name(), h.domain())))
        .toList();
  }

  private void dial() {
    dialler.dial(targets, table::isLinked, this::dial, clock.nanoTime());
  }

  private PeerLink dial(HostEntry target) {
    return begin(target.name(), true, new Socket(), sockets.dialling(target.address()));
  }

  private void beat() {
    long now = clock.nanoTime();
    for (PeerLink link : pending) {
      if (link.ageNanos(now) > timings.handshakeTimeout().toNanos()) {
        link.end(PeerLink.End.CLOSED);
      }
    }
    for (PeerLink link : table.links()) {
      if (link.isSilent(now)) {
        link.end(PeerLink.End.SILENT);
      }
    }
    HeartbeatContent current = content.get();
    for (PeerLink link : table.links()) {
      try {
        link.beat(current);
      } catch (IOException e) {
        logger.atSevere().withCause(e).log("cannot encode a heartbeat");
      }
    }
  }

  /** Receives the events of the links. */
  private final class LinkOwner implements PeerLink.Owner {
    @Override
    public PeerMessage.Hello hello() {
      return self.hello(PROTOCOL);
    }

    @Override
    public boolean accepts(PeerMessage.Hello hello, PeerIdentity remote) {
      if (hello.protocol() < OLDEST_PROTOCOL) {
        statistics.add(Counter.PROTOCOL_MISMATCHES, 1);
        logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
            "%s speaks protocol %d; the oldest one understood here is %d",
            remote.host(), hello.protocol(), OLDEST_PROTOCOL);
        return false;
      }
      boolean own =
          remote.incarnation().equals(self.incarnation()) || remote.host().equals(self.host());
      if (own) {
        statistics.add(Counter.OWN_CONNECTIONS, 1);
        logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
            "refusing a connection with the name or the incarnation of this host");
      }
      return !own;
    }

    @Override
    public HeartbeatContent heartbeat() {
      return content.get();
    }

    @Override
    public boolean admit(PeerLink link) {
      LinkTable.Admission admission;
      synchronized (linkChanges) {
        if (closed.get() || link.isEnded()) {
          return false;
        }
        admission = table.admit(link, clock.nanoTime());
        if (!count(link, admission.verdict())) {
          return false;
        }
        pending.remove(link);
        if (admission.verdict() == LinkTable.Verdict.REPLACED_PROCESS) {
          admission.loser().ifPresent(loser -> notify(l -> l.unlinked(loser.peer())));
        }
        notify(listener -> listener.linked(link.peer()));
      }
      admission.loser().ifPresent(loser -> loser.end(PeerLink.End.SUPERSEDED));
      return true;
    }

    /** Counts a verdict; returns whether the link is kept. */
    private boolean count(PeerLink link, LinkTable.Verdict verdict) {
      verdict.counter().ifPresent(counter -> statistics.add(counter, 1));
      if (verdict.kept()) {
        statistics.add(Counter.LINKS_OPENED, 1);
      }
      if (verdict == LinkTable.Verdict.STALE) {
        logger.atWarning().atMostEvery(1, TimeUnit.MINUTES).log(
            "refusing process %s of %s: a later process has had a link; if both run, two hosts"
                + " have the same name",
            link.remote().incarnation(), link.remote().host());
      }
      return verdict.kept();
    }

    @Override
    public void received(PeerLink link, PeerMessage message) {
      notify(listener -> listener.received(link.peer(), message));
    }

    @Override
    public void ended(PeerLink link, PeerLink.End end) {
      boolean wasPending = pending.remove(link);
      synchronized (linkChanges) {
        if (table.remove(link)) {
          statistics.add(
              end == PeerLink.End.SILENT ? Counter.LINKS_SILENT : Counter.LINKS_CLOSED, 1);
          logger.atInfo().log("link to %s ended: %s", link.remote().host(), end);
          notify(listener -> listener.unlinked(link.peer()));
        } else if (wasPending && end == PeerLink.End.CLOSED) {
          statistics.add(Counter.HANDSHAKES_FAILED, 1);
        }
      }
    }

    private void notify(Consumer<Listener> call) {
      for (Listener listener : listeners) {
        try {
          call.accept(listener);
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
    private Supplier<HeartbeatContent> content = () -> new HeartbeatContent(0, false, 0, 0);
    private Optional<SSLContext> tls = Optional.empty();
    private RandomGenerator random = new SplittableRandom();

    private Builder(PeerIdentity self) {
      this.self = Objects.requireNonNull(self);
    }

    /** Sets the address to listen on; port 0 takes a free one. */
    public Builder listen(InetSocketAddress address) {
      this.listen = address;
      return this;
    }

    /** Sets the host list; its entries with the role {@code entry} are the candidates. */
    public Builder directory(HostDirectory hosts) {
      this.directory = hosts;
      return this;
    }

    /** Sets the clock. */
    public Builder clock(RuntimeClock runtimeClock) {
      this.clock = Objects.requireNonNull(runtimeClock);
      return this;
    }

    /** Sets the intervals; the default is {@link PeerTimings#PRODUCTION}. */
    public Builder timings(PeerTimings intervals) {
      this.timings = Objects.requireNonNull(intervals);
      return this;
    }

    /** Sets the source of the heartbeats' content; it is called often and must not block. */
    public Builder heartbeat(Supplier<HeartbeatContent> source) {
      this.content = Objects.requireNonNull(source);
      return this;
    }

    /** Turns on TLS; both ends must present a certificate that the context trusts. */
    public Builder tls(SSLContext context) {
      this.tls = Optional.of(context);
      return this;
    }

    /** Sets the source of the back-off's jitter. */
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
