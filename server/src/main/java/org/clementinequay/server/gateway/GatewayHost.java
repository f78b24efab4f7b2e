package org.clementinequay.server.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.coldstart.ColdStartBound;
import org.clementinequay.core.coldstart.ColdStartLimiter;
import org.clementinequay.core.dispatch.RetryShare;
import org.clementinequay.core.dispatch.RetryWindow;
import org.clementinequay.core.ingress.IngressBudget;
import org.clementinequay.core.ingress.IngressLimits;
import org.clementinequay.core.platform.HostEntry;
import org.clementinequay.core.spread.ReadSchedule;
import org.clementinequay.core.spread.StoreClock;
import org.clementinequay.core.spread.StoreReadTimings;
import org.clementinequay.core.stop.StopAdmission;
import org.clementinequay.core.stop.StopSchedule;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.metrics.RouterMetrics;
import org.clementinequay.server.peer.PeerIdentity;
import org.clementinequay.server.peer.PeerTimings;
import org.clementinequay.server.peer.TcpPeerNetwork;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;

/** Entry host that forwards requests by route: creates, starts and gracefully stops its parts. */
public final class GatewayHost implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final double MIN_WEIGHT = 0.01;

  /**
   * Production timings, except that the host list is read every 30 s: each store read is billed.
   */
  private static final PeerTimings PEER_TIMINGS =
      new PeerTimings(
          PeerTimings.PRODUCTION.heartbeatInterval(),
          PeerTimings.PRODUCTION.progressTimeout(),
          PeerTimings.PRODUCTION.handshakeTimeout(),
          PeerTimings.PRODUCTION.initialBackOff(),
          PeerTimings.PRODUCTION.maxBackOff(),
          PeerTimings.PRODUCTION.secondDialDelay(),
          Duration.ofSeconds(30));

  private static final Duration MEMBERS_INTERVAL = Duration.ofMillis(500);

  private static final Duration DRAIN_POLL = Duration.ofMillis(50);

  private final GatewaySettings settings;
  private final RuntimeClock clock;
  private final JsonDecisionLog log;
  private final RouterMetrics metrics = new RouterMetrics();
  private final HttpClient client;
  private final HttpClient singleUseClient;
  private final Gateway gateway;
  private final GatewayHandler handler;
  private final ReadinessHandler readinessHandler;
  private final CallerConnector connector;
  private final Server server;
  private final Server readyServer;
  private final TcpPeerNetwork peers;
  private final List<PeriodicTask> tasks = new ArrayList<>();

  /** Held while the HTTP listeners are opened, and while a stop finds out whether they are. */
  private final Object listenLock = new Object();

  private boolean listening;
  private boolean stopping;

  /**
   * Creates the parts and binds the listener for peers; {@link #start} starts them.
   *
   * @throws IOException if the address for peers cannot be bound
   */
  public GatewayHost(
      GatewaySettings settings,
      RuntimeClock clock,
      JsonDecisionLog log,
      GatewayProtocol protocol,
      PlatformStore platform,
      HostRegistry registry)
      throws IOException {
    this.settings = settings;
    this.clock = clock;
    this.log = log;
    UpstreamReachability reachability = new UpstreamReachability(clock, new ConnectProbe());
    ConnectionLimit limit = new ConnectionLimit(CallerLimitSettings.upstreamConnections(settings));
    this.client = JettyFactory.newClient("upstreams", limit);
    this.singleUseClient = JettyFactory.newClient("upstreams-once", limit);
    shareThreads(client, singleUseClient);
    this.gateway =
        Gateway.builder()
            .host(settings.name(), settings.domain())
            .clock(clock)
            .protocol(protocol)
            .sender(new JettyUpstreamSender(client, singleUseClient))
            .log(log)
            .observer(metrics::recordRouteRequest)
            .retryBudgets(this::newRetryBudget)
            .sessionIdleTime(seconds(settings.sessionSeconds()))
            .regions(settings.regions())
            .coldStarts(newColdStartLimiter(settings))
            .maxWaitingRequests(settings.waitingRequests())
            .reachability(reachability, this::listedHosts)
            .promptCache(settings.promptCache())
            .promptLaneEngines(settings.enginesForPromptLanes())
            .build();
    this.handler = new GatewayHandler(gateway);
    this.readinessHandler = new ReadinessHandler(gateway, new MetricsText(metrics::scrape));
    IngressLimits callerLimits = CallerLimitSettings.callers(settings);
    IngressBudget callers = new IngressBudget(callerLimits);
    IngressBudget checks = new IngressBudget(CallerLimitSettings.ready(callerLimits));
    this.server = JettyFactory.newServer("callers", settings.callers(), handler, callers);
    this.connector = (CallerConnector) server.getConnectors()[0];
    this.readyServer = JettyFactory.newServer("ready", settings.ready(), readinessHandler, checks);
    if (settings.metrics() > 0) {
      String host = HostAndPort.fromString(settings.ready()).getHost();
      JettyFactory.addListener(readyServer, host, settings.metrics(), checks);
    }
    metrics.registerGauge("clementinequay_open_requests", handler::openRequests);
    metrics.registerGauge("clementinequay_log_dropped", log::dropped);
    metrics.registerGauge("clementinequay_waiting_connections", limit::waiting);
    GatewayGauges.registerState(metrics, gateway);
    IngressTask ingress = new IngressTask(gateway, List.of(callers, checks));
    addTask("ingress", ingress::step);
    GatewayGauges.registerCallers(metrics, callers, ingress);
    PeerIdentity identity = newIdentity(settings);
    this.peers = newPeerNetwork(identity, registry);
    addStoreTasks(platform, new StoreReaderRole(identity, peers, clock, log));
    addTask("reachability", reachability::step);
    addEngineLoadTask();
    addTask("watch", new RequestWatchdog(gateway)::step);
    HostEntry self =
        new HostEntry(settings.name(), "entry", settings.domain(), settings.peers(), false);
    addTask("members", this::updateMembers);
    addTask("registration", new HostRegistrationTask(registry, self, log)::step);
  }

  private void addEngineLoadTask() {
    EngineLoadTask engineLoad =
        new EngineLoadTask(
            gateway, peers::broadcast, peers::listedHosts, settings.engineLoadHosts().intValue());
    peers.addListener(engineLoad);
    AccountDemandTask demand =
        new AccountDemandTask(
            gateway, peers::broadcast, peers::listedHosts, settings.listedHostsForShares());
    peers.addListener(demand);
    addTask("engine-load", engineLoad::step, demand::step);
  }

  private int listedHosts() {
    return peers.listedHosts();
  }

  /**
   * Lets the HTTP clients use one pool of threads and one timer; the first to start starts them.
   */
  private static void shareThreads(HttpClient first, HttpClient second) {
    second.setExecutor(first.getExecutor());
    Scheduler timer = new ScheduledExecutorScheduler("clients-timer", true);
    first.setScheduler(timer);
    second.setScheduler(timer);
  }

  /** Returns a window with this host's part of the retries that the deployment allows a service. */
  private RetryWindow newRetryBudget() {
    return new RetryWindow(
        seconds(settings.retryWindowSeconds()),
        RetryShare.perRequest(settings.retriesPerRequest()),
        () -> RetryShare.ofBurst(settings.retryBurst(), peers.listedHosts()));
  }

  private static ColdStartLimiter newColdStartLimiter(GatewaySettings settings) {
    return new ColdStartLimiter(
        settings.name(),
        Optional.ofNullable(settings.coldRequestFactor())
            .map(factor -> new ColdStartBound(factor, settings.coldRequestExtra())));
  }

  /** Passes on the entry hosts on the list and, once there is one, those that are linked. */
  private Duration updateMembers() {
    Set<String> members = new HashSet<>(peers.listedHostNames());
    if (!members.isEmpty()) {
      peers.peers().forEach(peer -> members.add(peer.host()));
    }
    gateway.coldStarts.updateMembers(members, clock.nanoTime());
    return MEMBERS_INTERVAL;
  }

  private static Duration seconds(double value) {
    return Duration.ofMillis((long) (value * 1000));
  }

  private void addStoreTasks(PlatformStore platform, StoreReaderRole role) {
    StoreReadTimings timings =
        new StoreReadTimings(
            settings.drainMillis(),
            Math.min(settings.configurationMillis(), settings.evacuationMillis()));
    StoreClock storeClock = new StoreClock();
    OperatorChangeTask changes =
        new OperatorChangeTask(
            gateway,
            platform,
            role,
            peers::broadcast,
            new ReadSchedule(
                Duration.ZERO, timings.operatorStandby(), timings.operatorMaxAge(), gateway.random),
            storeClock,
            timings.operatorMaxWait());
    InstanceListTask instances =
        new InstanceListTask(
            gateway,
            platform,
            role,
            peers::broadcast,
            new ReadSchedule(
                timings.upstreamInterval(),
                timings.upstreamStandby(),
                timings.upstreamMaxAge(),
                gateway.random),
            storeClock);
    ShiftGossip gossip = new ShiftGossip(gateway, peers::broadcast);
    peers.addListener(changes);
    peers.addListener(instances);
    peers.addListener(gossip);
    addTask("operator", changes::step);
    addTask("instances", instances::step);
    UpstreamProbe probe = new ConnectProbe();
    CrashGuardTask crashes = new CrashGuardTask(gateway, peers::broadcast, probe);
    peers.addListener(crashes);
    addTask("probes", crashes::step, new StalledAttemptTask(gateway, probe)::step);
    addTask("quarantine", new QuarantineStoreTask(gateway, platform, role)::step);
    addTask("rollouts", new ShiftStateTask(gateway, platform, gossip, role)::step);
  }

  private static PeerIdentity newIdentity(GatewaySettings settings) {
    return new PeerIdentity(
        Incarnation.random(new SecureRandom()),
        settings.name(),
        settings.domain(),
        settings.region(),
        Math.max(MIN_WEIGHT, settings.processorShare()));
  }

  private TcpPeerNetwork newPeerNetwork(PeerIdentity identity, HostRegistry registry)
      throws IOException {
    HostAndPort address = HostAndPort.fromString(settings.peers());
    return TcpPeerNetwork.builder(identity)
        .listen(new InetSocketAddress(address.getHost(), address.getPort()))
        .directory(registry)
        .clock(clock)
        .timings(PEER_TIMINGS)
        .build();
  }

  /** Adds a thread that repeats one step, or several of which none may wait long. */
  private void addTask(String name, PeriodicTask.Step... steps) {
    PeriodicTask.Step step = steps.length == 1 ? steps[0] : new StepGroup(clock, steps);
    tasks.add(new PeriodicTask(name, clock, step));
  }

  /**
   * Starts the HTTP clients, the peer network, the periodic tasks and then the HTTP listeners. If
   * {@link #close} is called first or meanwhile, the listeners stay closed, or their start is
   * completed before the stop begins.
   */
  public void start() throws Exception {
    client.start();
    singleUseClient.start();
    peers.start();
    tasks.forEach(PeriodicTask::start);
    synchronized (listenLock) {
      if (stopping) {
        return;
      }
      server.start();
      readyServer.start();
      listening = true;
    }
    log.record("started", "domain", settings.domain(), "callers", settings.callers());
  }

  /**
   * Stops gracefully within the grace period, see {@link StopSchedule}. The readiness check fails
   * at once while connections are still accepted. Requests that cannot end in time are refused
   * before they are passed on; the others may end. What remains at the end gets a failure, or its
   * response is broken off. A host that does not listen yet stops at once.
   */
  @Override
  public void close() throws Exception {
    long start = clock.nanoTime();
    if (!beginStop()) {
      log.record("stopped_before_start");
      tasks.forEach(PeriodicTask::close);
      peers.close();
      log.close();
      return;
    }
    log.record("stopping", "open", handler.openRequests());
    StopSchedule schedule = StopSchedule.forGracePeriod(seconds(settings.stopSeconds()));
    readinessHandler.startDraining();
    handler.startDraining();
    connector.startDraining();
    gateway.startStop(new StopAdmission(schedule, start));
    clock.sleep(schedule.acceptance());
    connector.close();
    long end = start + schedule.end().toNanos();
    do {
      // A connection that was just accepted is listed a moment later.
      clock.sleep(DRAIN_POLL);
      connector.closeQuiet(clock.nanoTime());
    } while (clock.nanoTime() - end < 0 && connector.hasConnections());
    endOpenRequests(start, start + schedule.exit().toNanos());
    tasks.forEach(PeriodicTask::close);
    peers.close();
    log.close();
  }

  private void endOpenRequests(long stopNanos, long exitNanos) throws InterruptedException {
    long open = handler.openRequests();
    if (open > 0) {
      logger.atWarning().log("shutdown ends %d open requests", open);
      handler.endRequests(stopNanos);
      while (handler.openRequests() > 0 && clock.nanoTime() - exitNanos < 0) {
        clock.sleep(DRAIN_POLL);
      }
    }
    log.record("stopped", "unfinished", open);
  }

  /** Returns whether there are HTTP listeners to stop; none is opened from now on. */
  private boolean beginStop() {
    synchronized (listenLock) {
      stopping = true;
      return listening;
    }
  }
}
