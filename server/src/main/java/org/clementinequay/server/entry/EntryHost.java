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
import org.clementinequay.server.operator.ConfigurationDesk;
import org.clementinequay.server.operator.OperatorHandler;
import org.clementinequay.server.operator.OperatorLogins;
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

/** One entry host: wires its parts together, starts them, and stops them gracefully. */
public final class EntryHost implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Hosts among which the bound on false stops is divided: the largest deployment of today. */
  private static final int ASSUMED_HOSTS = 9;

  private static final int CALLER_THREADS = 64;
  private static final int OPERATOR_THREADS = 16;
  private static final Duration DRAIN_POLL = Duration.ofMillis(20);

  /** Time between "not ready" and the end of new work, in which the balancer notices. */
  private static final Duration NOT_READY_LEAD = Duration.ofMillis(500);

  private final Settings settings;
  private final RuntimeClock clock = new SystemClock();
  private final Incarnation incarnation = Incarnation.random(new SecureRandom());
  private final RouterMetrics metrics = new RouterMetrics();
  private final PlatformClients platform;
  private final TcpPeerNetwork peers;
  private final RevisionDistributor spread;
  private final CurrentRevision keeper;
  private final ConfigurationState configuration;
  private final ConfigurationPoller configurationDuty;
  private final BillingParts billing;
  private final ControlParts control;
  private final PolicyExchange exchange;
  private final AccountMembers members;
  private final RevisionConfirmations confirmations;
  private final ConfirmationDuty confirmationDuty;
  private final RequestPath path;
  private final Server callers;
  private final Server operators;
  private volatile boolean leaving;

  /**
   * Creates the parts and binds the peers' listener; nothing runs yet.
   *
   * @throws IOException if the peers' address cannot be bound
   */
  public EntryHost(Settings settings) throws IOException {
    this(settings, new SplittableRandom());
  }

  /**
   * Creates the parts with a given source of the random numbers that choose versions and upstreams,
   * so that tests are repeatable.
   *
   * @throws IOException if the peers' address cannot be bound
   */
  public EntryHost(Settings settings, SplittableRandom random) throws IOException {
    this.settings = settings;
    this.platform = new PlatformClients(settings);
    this.peers = network();
    HostContext host = new HostContext(settings, incarnation, clock, platform, peers);
    this.spread = new RevisionDistributor(peers, EntryHost::parse, clock);
    this.keeper = spread.currentRevision();
    LocalRolloutMonitor brake = new LocalRolloutMonitor(ASSUMED_HOSTS);
    RolloutEvidence evidence = new RolloutEvidence(brake, this::stopped);
    this.configuration = new ConfigurationState(keeper, brake, clock);
    keeper.addListener(revision -> evidence.applyConfiguration(revision.configuration()));
    ConfigurationPublisher publisher =
        new ConfigurationPublisher(platform.table, platform.objects, clock);
    this.configurationDuty =
        new ConfigurationPoller(
            new ConfigurationReader(
                publisher, keeper, EntryHost::parse, spread::requestFromPeers, clock),
            clock,
            random.split());
    this.billing = new BillingParts(host, new BillingCounters(metrics));
    this.path = new RequestPath(host, random, configuration, billing, evidence, metrics);
    this.control =
        new ControlParts(
            host,
            new DutyPreference(identity(), peers),
            configuration,
            keeper,
            evidence,
            path.claimService);
    this.confirmations = new RevisionConfirmations(platform.table, platform.directory);
    this.confirmationDuty = new ConfirmationDuty(settings.name(), confirmations, keeper, clock);
    this.members =
        new AccountMembers(settings.name(), platform.directory, peers, path.limiter, clock);
    this.exchange = new PolicyExchange(peers, path, evidence, clock);
    peers.addListener(new PeerEvents(path, brake, evidence, settings.domain()));
    this.callers = server("caller", settings.listeners().callers(), CALLER_THREADS, path.handler);
    this.operators =
        server(
            "operator", settings.listeners().operators(), OPERATOR_THREADS, operators(publisher));
    registerGauges();
  }

  private Server server(String name, String address, int threads, Handler handler) {
    Duration idle = Duration.ofMillis(settings.timeouts().callerIdleMillis());
    return HttpParts.server(name, address, threads, idle, handler);
  }

  private PeerIdentity identity() {
    return new PeerIdentity(
        incarnation, settings.name(), settings.domain(), settings.region(), settings.weight());
  }

  private TcpPeerNetwork network() throws IOException {
    return TcpPeerNetwork.builder(identity())
        .listen(HttpParts.parse(settings.listeners().peers()))
        .directory(platform.directory)
        .clock(clock)
        .heartbeat(this::heartbeat)
        .build();
  }

  private Handler operators(ConfigurationPublisher publisher) {
    OperatorLogins logins = new OperatorLogins(settings.operators());
    ConfigurationDesk desk = new ConfigurationDesk(publisher, this::accepted);
    EntryView view = new EntryView(this);
    OperatorHandler api =
        new OperatorHandler(logins, desk, view, new TableBills(platform), metrics::scrape);
    return new Handler.Sequence(new ConsoleHandler(logins, desk, view, clock), api);
  }

  private void registerGauges() {
    metrics.registerGauge("clementinequay_open_requests", path.handler::openRequests);
    metrics.registerGauge("clementinequay_revision", keeper::number);
    metrics.registerGauge("clementinequay_peers", () -> peers.peers().size());
    metrics.registerGauge(
        "clementinequay_heap_used_bytes",
        () -> Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory());
  }

  /** This host's brake stopped a version: the peers stop it too. */
  private void stopped(ModelVersion version, String evidence) {
    logger.atWarning().log("stopped version %s: %s", version, evidence);
    peers.broadcast(new PeerMessage.VersionStopped(version.toString(), evidence));
  }

  private HeartbeatContent heartbeat() {
    long open = path.handler.openRequests();
    return new HeartbeatContent(keeper.number(), leaving, open, open / settings.weight());
  }

  /** Starts all listeners and duties. */
  public void start() throws Exception {
    platform.start();
    path.start();
    peers.start();
    spread.start();
    billing.start();
    configurationDuty.start();
    control.start();
    confirmationDuty.start();
    members.start();
    exchange.start();
    callers.start();
    operators.start();
    logger.atInfo().log(
        "entry host %s started, incarnation %s, callers on port %d, operators on port %d",
        settings.name(), incarnation, callerPort(), operatorPort());
  }

  /** Returns the name of the host. */
  public String name() {
    return settings.name();
  }

  /** Returns the failure domain of the host. */
  public String domain() {
    return settings.domain();
  }

  /** Returns the port of the callers' listener. */
  public int callerPort() {
    return HttpParts.port(callers);
  }

  /** Returns the port of the operators' listener. */
  public int operatorPort() {
    return HttpParts.port(operators);
  }

  /** Returns the port of the peers' listener. */
  public int peerPort() {
    return peers.address().getPort();
  }

  /** Returns whether callers may be sent here: a configuration is in force, and it is staying. */
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

  CurrentRevision keeper() {
    return keeper;
  }

  ConfigurationState configuration() {
    return configuration;
  }

  RevisionConfirmations confirmations() {
    return confirmations;
  }

  RequestPath path() {
    return path;
  }

  TcpPeerNetwork peers() {
    return peers;
  }

  RuntimeClock clock() {
    return clock;
  }

  private static Optional<RouterConfiguration> parse(String text) {
    return DocumentParser.parseAccepted(text);
  }

  /** Puts a revision in force that an operator submitted here, without waiting for its reader. */
  private void accepted(RevisionRecord record, String text) {
    parse(text)
        .ifPresent(
            parsed ->
                keeper.activateIfNewer(
                    new RevisionedConfiguration(record.revision(), record.hash(), text, parsed)));
  }

  /**
   * Stops gracefully: not ready first, then no new requests, open ones finish, claims and bills are
   * handed over, then the listeners close.
   */
  @Override
  public void close() throws Exception {
    leaving = true;
    clock.sleep(NOT_READY_LEAD);
    path.handler.drain();
    long deadline = clock.nanoTime() + Duration.ofSeconds(settings.drainSeconds()).toNanos();
    while (path.handler.openRequests() > 0 && clock.nanoTime() < deadline) {
      clock.sleep(DRAIN_POLL);
    }
    long cut = path.handler.openRequests();
    if (cut > 0) {
      logger.atSevere().log("shutdown cuts %d requests after the drain timeout", cut);
    }
    callers.stop();
    control.close();
    confirmationDuty.close();
    members.close();
    exchange.close();
    configurationDuty.close();
    path.close();
    billing.close();
    spread.close();
    peers.close();
    operators.stop();
    platform.close();
    logger.atInfo().log("entry host %s stopped", settings.name());
  }
}
