package org.clementinequay.server.entry;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.rollout.LocalRolloutMonitor;
import org.clementinequay.core.spread.ConfigurationPublisher;
import org.clementinequay.core.spread.ConfigurationReader;
import org.clementinequay.core.spread.CurrentRevision;
import org.clementinequay.core.spread.RevisionConfirmations;
import org.clementinequay.core.spread.RevisionRecord;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.core.time.SystemClock;
import org.clementinequay.server.console.ConsoleHandler;
import org.clementinequay.server.control.RolloutEvidence;
import org.clementinequay.server.document.DocumentParser;
import org.clementinequay.server.metrics.BillingCounters;
import org.clementinequay.server.metrics.RouterMetrics;
import org.clementinequay.server.operator.ConfigurationService;
import org.clementinequay.server.operator.OperatorAuthenticator;
import org.clementinequay.server.operator.OperatorHandler;
import org.clementinequay.server.peer.ConfigurationPoller;
import org.clementinequay.server.peer.DutyPreference;
import org.clementinequay.server.peer.HeartbeatContent;
import org.clementinequay.server.peer.PeerIdentity;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.RevisionDistributor;
import org.clementinequay.server.peer.TcpPeerNetwork;
import org.clementinequay.server.settings.Settings;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;

/** An entry host: creates its components, starts them, and stops them gracefully. */
public final class EntryHost implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Hosts in the largest present deployment; the bound on false stops is divided by this. */
  private static final int ASSUMED_HOST_COUNT = 9;

  private static final int MAX_CALLER_THREADS = 64;
  private static final int MAX_OPERATOR_THREADS = 16;
  private static final Duration DRAIN_POLL_INTERVAL = Duration.ofMillis(20);

  /** Time for load balancers to notice that the host is not ready before it refuses requests. */
  private static final Duration NOT_READY_PERIOD = Duration.ofMillis(500);

  private final Settings settings;
  private final RuntimeClock clock = new SystemClock();
  private final Incarnation incarnation = Incarnation.random(new SecureRandom());
  private final RouterMetrics metrics = new RouterMetrics();
  private final PlatformClients platform;
  private final TcpPeerNetwork peers;
  private final RevisionDistributor distributor;
  private final CurrentRevision currentRevision;
  private final LocalConfigurationSource configuration;
  private final ConfigurationPoller configurationPoller;
  private final BillingComponents billing;
  private final ControlComponents control;
  private final PolicyCounterExchange counterExchange;
  private final LimiterMembershipUpdater membershipUpdater;
  private final RevisionConfirmations confirmations;
  private final RevisionConfirmer revisionConfirmer;
  private final RequestComponents requests;
  private final Server callerServer;
  private final Server operatorServer;
  private volatile boolean leaving;

  /**
   * Creates the components and binds the listener for peers; nothing is started yet.
   *
   * @throws IOException if the peers' address cannot be bound
   */
  public EntryHost(Settings settings) throws IOException {
    this(settings, new SplittableRandom());
  }

  /**
   * Creates the components with a given source of the random numbers by which versions and
   * upstreams are selected, so that tests are repeatable.
   *
   * @throws IOException if the peers' address cannot be bound
   */
  public EntryHost(Settings settings, SplittableRandom random) throws IOException {
    this.settings = settings;
    this.platform = new PlatformClients(settings);
    this.peers = createPeerNetwork();
    HostContext host = new HostContext(settings, incarnation, clock, platform, peers);
    this.distributor = new RevisionDistributor(peers, EntryHost::parseDocument, clock);
    this.currentRevision = distributor.currentRevision();
    LocalRolloutMonitor rolloutMonitor = new LocalRolloutMonitor(ASSUMED_HOST_COUNT);
    RolloutEvidence evidence = new RolloutEvidence(rolloutMonitor, this::broadcastVersionStop);
    this.configuration = new LocalConfigurationSource(currentRevision, rolloutMonitor, clock);
    currentRevision.addListener(revision -> evidence.applyConfiguration(revision.configuration()));
    ConfigurationPublisher publisher =
        new ConfigurationPublisher(platform.table, platform.objects, clock);
    this.configurationPoller =
        new ConfigurationPoller(
            new ConfigurationReader(
                publisher,
                currentRevision,
                EntryHost::parseDocument,
                distributor::requestFromPeers,
                clock),
            clock,
            random.split());
    this.billing = new BillingComponents(host, new BillingCounters(metrics));
    this.requests = new RequestComponents(host, random, configuration, billing, evidence, metrics);
    this.control =
        new ControlComponents(
            host,
            new DutyPreference(peerIdentity(), peers),
            configuration,
            currentRevision,
            evidence,
            requests.claimService);
    this.confirmations = new RevisionConfirmations(platform.table, platform.directory);
    this.revisionConfirmer =
        new RevisionConfirmer(settings.name(), confirmations, currentRevision, clock);
    this.membershipUpdater =
        new LimiterMembershipUpdater(
            settings.name(), platform.directory, peers, requests.limiter, clock);
    this.counterExchange = new PolicyCounterExchange(peers, requests, evidence, clock);
    peers.addListener(
        new PeerMessageListener(requests, rolloutMonitor, evidence, settings.domain()));
    this.callerServer =
        createServer(
            "caller", settings.listeners().callers(), MAX_CALLER_THREADS, requests.handler);
    this.operatorServer =
        createServer(
            "operator",
            settings.listeners().operators(),
            MAX_OPERATOR_THREADS,
            createOperatorHandler(publisher));
    registerGauges();
  }

  private Server createServer(String name, String address, int threads, Handler handler) {
    Duration idle = Duration.ofMillis(settings.timeouts().callerIdleMillis());
    return JettyFactory.createServer(name, address, threads, idle, handler);
  }

  private PeerIdentity peerIdentity() {
    return new PeerIdentity(
        incarnation, settings.name(), settings.domain(), settings.region(), settings.weight());
  }

  private TcpPeerNetwork createPeerNetwork() throws IOException {
    return TcpPeerNetwork.builder(peerIdentity())
        .listen(JettyFactory.parseAddress(settings.listeners().peers()))
        .directory(platform.directory)
        .clock(clock)
        .heartbeat(this::heartbeatContent)
        .build();
  }

  private Handler createOperatorHandler(ConfigurationPublisher publisher) {
    OperatorAuthenticator authenticator = new OperatorAuthenticator(settings.operators());
    ConfigurationService configurationService =
        new ConfigurationService(publisher, this::activateAccepted);
    EntryHostView view = new EntryHostView(this);
    OperatorHandler api =
        new OperatorHandler(
            authenticator,
            configurationService,
            view,
            new StoredBillSource(platform),
            metrics::scrape);
    return new Handler.Sequence(
        new ConsoleHandler(authenticator, configurationService, view, clock), api);
  }

  private void registerGauges() {
    metrics.registerGauge("clementinequay_open_requests", requests.handler::openRequests);
    metrics.registerGauge("clementinequay_revision", currentRevision::number);
    metrics.registerGauge("clementinequay_peers", () -> peers.peers().size());
    metrics.registerGauge(
        "clementinequay_heap_used_bytes",
        () -> Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
  }

  /** Tells the peers to stop a version that the rollout monitor of this host stopped. */
  private void broadcastVersionStop(ModelVersion version, String evidence) {
    logger.atWarning().log("stopped version %s: %s", version, evidence);
    peers.broadcast(new PeerMessage.VersionStopped(version.toString(), evidence));
  }

  private HeartbeatContent heartbeatContent() {
    long openRequests = requests.handler.openRequests();
    return new HeartbeatContent(
        currentRevision.number(), leaving, openRequests, openRequests / settings.weight());
  }

  /** Starts all components, the HTTP listeners for callers and operators last. */
  public void start() throws Exception {
    platform.start();
    requests.start();
    peers.start();
    distributor.start();
    billing.start();
    configurationPoller.start();
    control.start();
    revisionConfirmer.start();
    membershipUpdater.start();
    counterExchange.start();
    callerServer.start();
    operatorServer.start();
    logger.atInfo().log(
        "entry host %s started, incarnation %s, callers on port %d, operators on port %d",
        settings.name(), incarnation, callerPort(), operatorPort());
  }

  public String name() {
    return settings.name();
  }

  public String domain() {
    return settings.domain();
  }

  /** Returns the local port of the listener for callers. */
  public int callerPort() {
    return JettyFactory.localPort(callerServer);
  }

  /** Returns the local port of the listener for operators. */
  public int operatorPort() {
    return JettyFactory.localPort(operatorServer);
  }

  /** Returns the local port of the listener for peers. */
  public int peerPort() {
    return peers.address().getPort();
  }

  /** Returns whether callers may be sent here: it has a configuration and is not shutting down. */
  public boolean ready() {
    return !leaving && configuration.current().isPresent();
  }

  Settings settings() {
    return settings;
  }

  Incarnation incarnation() {
    return incarnation;
  }

  boolean leaving() {
    return leaving;
  }

  CurrentRevision currentRevision() {
    return currentRevision;
  }

  LocalConfigurationSource configuration() {
    return configuration;
  }

  RevisionConfirmations confirmations() {
    return confirmations;
  }

  RequestComponents requests() {
    return requests;
  }

  TcpPeerNetwork peers() {
    return peers;
  }

  RuntimeClock clock() {
    return clock;
  }

  private static Optional<RouterConfiguration> parseDocument(String text) {
    return DocumentParser.parseAccepted(text);
  }

  /** Activates a revision submitted on this host at once, without waiting for the next poll. */
  private void activateAccepted(RevisionRecord record, String text) {
    parseDocument(text)
        .ifPresent(
            parsed ->
                currentRevision.activateIfNewer(
                    new RevisionedConfiguration(record.revision(), record.hash(), text, parsed)));
  }

  /**
   * Stops gracefully: the host becomes not ready, then refuses new requests and waits for open ones
   * to finish, records claims and bills, and closes its listeners.
   */
  @Override
  public void close() throws Exception {
    leaving = true;
    clock.sleep(NOT_READY_PERIOD);
    requests.handler.drain();
    long deadline = clock.nanoTime() + Duration.ofSeconds(settings.drainSeconds()).toNanos();
    while (requests.handler.openRequests() > 0 && clock.nanoTime() < deadline) {
      clock.sleep(DRAIN_POLL_INTERVAL);
    }
    long abortedRequests = requests.handler.openRequests();
    if (abortedRequests > 0) {
      logger.atSevere().log(
          "shutdown aborts %d open requests after the drain timeout", abortedRequests);
    }
    callerServer.stop();
    control.close();
    revisionConfirmer.close();
    membershipUpdater.close();
    counterExchange.close();
    configurationPoller.close();
    requests.close();
    billing.close();
    distributor.close();
    peers.close();
    operatorServer.stop();
    platform.close();
    logger.atInfo().log("entry host %s stopped", settings.name());
  }
}
