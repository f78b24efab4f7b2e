package org.clementinequay.server.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.dispatch.RetryWindow;
import org.clementinequay.core.platform.HostEntry;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.metrics.RouterMetrics;
import org.clementinequay.server.peer.PeerIdentity;
import org.clementinequay.server.peer.PeerTimings;
import org.clementinequay.server.peer.TcpPeerNetwork;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;

/** One host that serves routes: wires its parts together, starts them, stops them gracefully. */
public final class GatewayHost implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Share of the allowed retries that the hosts use together, against counting differences. */
  private static final double RETRY_SHARE = 0.8;

  /** Hosts among which the burst of retries is divided. */
  private static final double ASSUMED_HOSTS = 9;

  /** Time after the signal to stop in which the balancer's last connections are still taken. */
  private static final Duration ACCEPT_AFTER_STOP = Duration.ofMillis(2800);

  /** Time before the end of the grace period at which open requests are given up. */
  private static final Duration STOP_MARGIN = Duration.ofMillis(700);

  private static final double MIN_WEIGHT = 0.01;

  /** As in production, but the host list is read rarely: each reading of the store is priced. */
  private static final PeerTimings TIMINGS =
      new PeerTimings(
          PeerTimings.PRODUCTION.heartbeatInterval(),
          PeerTimings.PRODUCTION.progressTimeout(),
          PeerTimings.PRODUCTION.handshakeTimeout(),
          PeerTimings.PRODUCTION.initialBackOff(),
          PeerTimings.PRODUCTION.maxBackOff(),
          PeerTimings.PRODUCTION.secondDialDelay(),
          Duration.ofSeconds(10));

  private static final Duration DRAIN_POLL = Duration.ofMillis(50);

  private final GatewaySettings settings;
  private final RuntimeClock clock;
  private final LineLog log;
  private final RouterMetrics metrics = new RouterMetrics();
  private final HttpClient client = GatewayHttp.client("upstreams");
  private final HttpClient onceClient = GatewayHttp.client("upstreams-once");
  private final Gateway gateway;
  private final GatewayHandler handler;
  private final ReadyHandler ready;
  private final CallerConnector connector;
  private final Server server;
  private final Server readyServer;
  private final TcpPeerNetwork peers;
  private final List<Duty> duties = new ArrayList<>();

  /**
   * Creates the parts and binds the peers' listener; nothing runs yet.
   *
   * @throws IOException if the peers' address cannot be bound
   */
  public GatewayHost(
      GatewaySettings settings,
      RuntimeClock clock,
      LineLog log,
      GatewayProtocol protocol,
      PlatformView platform,
      HostRegistry registry)
      throws IOException {
    this.settings = settings;
    this.clock = clock;
    this.log = log;
    this.gateway =
        Gateway.builder()
            .host(settings.name(), settings.domain())
            .clock(clock)
            .protocol(protocol)
            .sender(new JettySender(client, onceClient))
            .log(log)
            .observer(metrics::routed)
            .repeats(() -> budget(settings))
            .sessionIdleTime(seconds(settings.sessionSeconds()))
            .build();
    this.handler = new GatewayHandler(gateway);
    this.ready = new ReadyHandler(gateway, metrics::scrape);
    this.server = GatewayHttp.server("callers", settings.callers(), handler, true);
    this.connector = (CallerConnector) server.getConnectors()[0];
    this.readyServer = GatewayHttp.server("ready", settings.ready(), ready, false);
    if (settings.metrics() > 0) {
      String host = HostAndPort.fromString(settings.ready()).getHost();
      GatewayHttp.listen(readyServer, host, settings.metrics());
    }
    metrics.gauge("clementinequay_open_requests", handler::openRequests);
    metrics.gauge("clementinequay_log_dropped", log::dropped);
    metrics.gauge(
        "clementinequay_configuration_version",
        () -> gateway.configuration().map(c -> (double) c.version()).orElse(0.0));
    metrics.gauge(
        "clementinequay_upstream_list_age_seconds", () -> gateway.directoryAgeNanos() / 1e9);
    duty("operator", new OperatorDuty(gateway, platform)::step);
    duty("instances", new InstanceDuty(gateway, platform)::step);
    duty("watch", new WatchDuty(gateway)::step);
    this.peers = network(registry);
    ShiftGossip gossip = new ShiftGossip(gateway, peers);
    duty("rollouts", new ShiftDuty(gateway, platform, gossip)::step);
    HostEntry self =
        new HostEntry(settings.name(), "entry", settings.domain(), settings.peers(), false);
    duty("registration", new RegistrationDuty(registry, self, log)::step);
  }

  /** Returns this host's part of the repeats that the deployment allows for a service. */
  private static RetryWindow budget(GatewaySettings settings) {
    return new RetryWindow(
        seconds(settings.retryWindowSeconds()),
        settings.retriesPerRequest() * RETRY_SHARE,
        settings.retryBurst() * RETRY_SHARE / ASSUMED_HOSTS);
  }

  private static Duration seconds(double value) {
    return Duration.ofMillis((long) (value * 1000));
  }

  private TcpPeerNetwork network(HostRegistry registry) throws IOException {
    PeerIdentity identity =
        new PeerIdentity(
            Incarnation.random(new SecureRandom()),
            settings.name(),
            settings.domain(),
            settings.region(),
            Math.max(MIN_WEIGHT, settings.processorShare()));
    HostAndPort address = HostAndPort.fromString(settings.peers());
    return TcpPeerNetwork.builder(identity)
        .listen(new InetSocketAddress(address.getHost(), address.getPort()))
        .directory(registry)
        .clock(clock)
        .timings(TIMINGS)
        .build();
  }

  private void duty(String name, Duty.Step step) {
    duties.add(new Duty(name, clock, step));
  }

  /** Starts all listeners and duties. */
  public void start() throws Exception {
    client.start();
    onceClient.start();
    peers.start();
    duties.forEach(Duty::start);
    server.start();
    readyServer.start();
    log.record("started", "domain", settings.domain(), "callers", settings.callers());
  }

  /**
   * Stops gracefully: not ready first, while the balancer's last connections are served; then idle
   * connections are closed and open requests finish.
   */
  @Override
  public void close() throws Exception {
    log.record("stopping", "open", handler.openRequests());
    long start = clock.nanoTime();
    ready.leave();
    handler.leave();
    clock.sleep(ACCEPT_AFTER_STOP);
    connector.close();
    long limit = start + seconds(settings.stopSeconds()).minus(STOP_MARGIN).toNanos();
    while (clock.nanoTime() < limit) {
      connector.closeIdle();
      if (handler.openRequests() == 0) {
        break;
      }
      clock.sleep(DRAIN_POLL);
    }
    if (handler.openRequests() > 0) {
      logger.atWarning().log("shutdown cuts %d requests", handler.openRequests());
    }
    log.record("stopped", "cut", handler.openRequests());
    duties.forEach(Duty::close);
    peers.close();
    log.close();
  }
}
