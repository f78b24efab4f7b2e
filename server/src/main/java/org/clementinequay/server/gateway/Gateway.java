package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.clementinequay.core.dispatch.RetryWindow;
import org.clementinequay.core.dispatch.UpstreamTable;
import org.clementinequay.core.forward.ForwardingConfiguration;
import org.clementinequay.core.forward.InstanceDirectory;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.placement.EngineLedger;
import org.clementinequay.core.rollout.ShiftOrder;
import org.clementinequay.core.rollout.SlowAnswerDetector;
import org.clementinequay.core.rollout.TrafficShift;
import org.clementinequay.core.session.SessionVersions;
import org.clementinequay.core.time.RuntimeClock;

/** What the requests of a host share: configuration, upstreams, their health and load, budgets. */
public final class Gateway {
  /** Longest pause before an ejected upstream is tried again; faults of links last seconds. */
  private static final Duration MAX_PROBE_AFTER = Duration.ofSeconds(3);

  final RuntimeClock clock;
  final GatewayProtocol protocol;
  final UpstreamSender sender;
  final DecisionLog log;
  final RequestObserver observer;

  final UpstreamTable health;
  final Set<GatewayRun> active = ConcurrentHashMap.newKeySet();
  final EngineLedger engines = new EngineLedger();
  final SessionVersions sessions;
  final SlowAnswerDetector slowAnswers = new SlowAnswerDetector();
  final RandomGenerator random;
  final String hostName;
  final String domain;
  private final InstanceDirectory directory = new InstanceDirectory();
  private final Map<String, TrafficShift> shifts = new ConcurrentHashMap<>();
  private final Map<String, RetryWindow> budgets = new ConcurrentHashMap<>();
  private final double retriesPerRequest;
  private final double retryBalance;
  private final Duration budgetWindow;
  private volatile ForwardingConfiguration configuration;
  private volatile Map<String, List<UpstreamInstance>> available = Map.of();

  /**
   * Creates the shared state.
   *
   * @param retriesPerRequest retries and second sizes allowed for each request of a service
   * @param retryBalance retries allowed in a burst, for this host's share of the deployment
   * @param budgetWindow time over which requests and retries are counted
   * @param sessionIdleTime time without a request after which a session has ended
   */
  public Gateway(
      String hostName,
      String domain,
      RuntimeClock clock,
      GatewayProtocol protocol,
      UpstreamSender sender,
      DecisionLog log,
      RequestObserver observer,
      RandomGenerator random,
      double retriesPerRequest,
      double retryBalance,
      Duration budgetWindow,
      Duration sessionIdleTime) {
    this.hostName = hostName;
    this.domain = domain;
    this.clock = clock;
    this.protocol = protocol;
    this.sender = sender;
    this.log = log;
    this.observer = observer;
    this.random = random;
    this.health = new UpstreamTable(clock, MAX_PROBE_AFTER);
    this.retriesPerRequest = retriesPerRequest;
    this.retryBalance = retryBalance;
    this.budgetWindow = budgetWindow;
    this.sessions = new SessionVersions(sessionIdleTime);
  }

  /** Returns the configuration in force, if one is known. */
  public Optional<ForwardingConfiguration> configuration() {
    return Optional.ofNullable(configuration);
  }

  /** Puts a configuration in force unless a later one is; returns whether it did. */
  public synchronized boolean configure(ForwardingConfiguration newer) {
    if (configuration != null && newer.version() <= configuration.version()) {
      return false;
    }
    log.record(
        "configuration",
        "version",
        newer.version(),
        "before",
        configuration == null ? 0 : configuration.version(),
        "routes",
        newer.routes().routes().size());
    configuration = newer;
    return true;
  }

  /** Takes up a reading of the list of upstreams. */
  public synchronized void listed(List<UpstreamInstance> instances) {
    InstanceDirectory.Changes changes = directory.update(instances, clock.nanoTime());
    if (changes.added().isEmpty() && changes.removed().isEmpty()) {
      return;
    }
    available = directory.available();
    engines.retain(directory.ids());
    health.retain(directory.ids());
    for (UpstreamInstance instance : changes.added()) {
      log.record(
          "upstream",
          "id",
          instance.id(),
          "service",
          instance.service(),
          "version",
          instance.version(),
          "leaving",
          instance.leaving());
    }
    for (UpstreamInstance instance : changes.removed()) {
      log.record("upstream_gone", "id", instance.id(), "service", instance.service());
    }
  }

  /** Returns the age of the last reading of the list of upstreams in nanoseconds, or -1. */
  public synchronized long directoryAgeNanos() {
    return directory.ageNanos(clock.nanoTime());
  }

  /** Returns the upstreams of a service that take new work. */
  public List<UpstreamInstance> available(String service) {
    return available.getOrDefault(service, List.of());
  }

  /** Returns the move of a service's traffic, if one was ordered. */
  public Optional<TrafficShift> shift(String service) {
    return Optional.ofNullable(shifts.get(service));
  }

  /** Returns all moves of traffic. */
  public List<TrafficShift> shifts() {
    return List.copyOf(shifts.values());
  }

  /** Takes up an order; returns the move, new or known. */
  public TrafficShift ordered(ShiftOrder order) {
    return shifts.compute(
        order.service(),
        (service, known) -> {
          if (known != null && known.order().revision() >= order.revision()) {
            return known;
          }
          log.record(
              "rollout_order",
              "service",
              service,
              "target",
              order.target(),
              "duration_ms",
              order.duration().toMillis(),
              "revision",
              order.revision());
          return new TrafficShift(order, clock.nanoTime());
        });
  }

  /** Counts a request of a service. */
  void requested(String service) {
    budget(service).recordRequest(clock.nanoTime());
  }

  /** Takes a repeat of a service's budget; returns false if none is left. */
  boolean tryRepeat(String service) {
    return budget(service).tryRepeat(clock.nanoTime());
  }

  private RetryWindow budget(String service) {
    return budgets.computeIfAbsent(
        service, s -> new RetryWindow(budgetWindow, retriesPerRequest, retryBalance));
  }
}
