package org.clementinequay.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.clementinequay.core.time.RuntimeClock;
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

  private static final Duration DRAIN_POLL = Duration.ofMillis(50);

  private final GatewaySettings settings;
  private final RuntimeClock clock;
  private final LineLog log;
  private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
  private final HttpClient client = GatewayHttp.client("upstreams");
  private final HttpClient onceClient = GatewayHttp.client("upstreams-once");
  private final Gateway gateway;
  private final GatewayHandler handler;
  private final ReadyHandler ready;
  private final CallerConnector connector;
  private final Server server;
  private final Server readyServer;
  private final List<Duty> duties = new ArrayList<>();

  /** Creates the parts; nothing runs yet. */
  public GatewayHost(
      GatewaySettings settings,
      RuntimeClock clock,
      LineLog log,
      GatewayProtocol protocol,
      PlatformView platform) {
    this.settings = settings;
    this.clock = clock;
    this.log = log;
    this.gateway =
        new Gateway(
            settings.name(),
            clock,
            protocol,
            new JettySender(client, onceClient),
            timers,
            log,
            new SplittableRandom(),
            settings.retriesPerRequest() * RETRY_SHARE,
            settings.retryBurst() * RETRY_SHARE / ASSUMED_HOSTS);
    this.handler = new GatewayHandler(gateway);
    this.ready = new ReadyHandler(gateway);
    this.server = GatewayHttp.server("callers", settings.callers(), handler, true);
    this.connector = (CallerConnector) server.getConnectors()[0];
    this.readyServer = GatewayHttp.server("ready", settings.ready(), ready, false);
    duty("operator", new OperatorDuty(gateway, platform)::step);
    duty("instances", new InstanceDuty(gateway, platform)::step);
    duty("rollouts", new ShiftDuty(gateway, platform)::step);
  }

  private void duty(String name, Duty.Step step) {
    duties.add(new Duty(name, clock, step));
  }

  /** Starts all listeners and duties. */
  public void start() throws Exception {
    client.start();
    onceClient.start();
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
    long limit =
        start
            + Duration.ofMillis((long) (settings.stopSeconds() * 1000))
                .minus(STOP_MARGIN)
                .toNanos();
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
    timers.shutdownNow();
    log.close();
  }
}
