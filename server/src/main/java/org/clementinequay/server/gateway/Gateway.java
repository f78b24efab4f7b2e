package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.clementinequay.core.dispatch.RetryWindow;
import org.clementinequay.core.dispatch.UpstreamHealthTracker;
import org.clementinequay.core.forward.ForwardingConfiguration;
import org.clementinequay.core.forward.InstanceDirectory;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.placement.EngineSelector;
import org.clementinequay.core.rollout.ShiftOrder;
import org.clementinequay.core.rollout.SlowAnswerDetector;
import org.clementinequay.core.rollout.TrafficShift;
import org.clementinequay.core.session.SessionVersions;
import org.clementinequay.core.time.RuntimeClock;

/** What the requests of a host share: configuration, upstreams, their health and load, budgets. */
public final class Gateway {
  /** Longest pause before an ejected upstream is tried again; faults of links last seconds. */
  private static final Duration MAX_PROBE_AFTER = Duration.ofSeconds(3);

  /**
   * Time since the last bytes from an upstream in which it counts as serving, in milliseconds;
   * about two times the pause between requests of one host to one upstream in a cut failure domain.
   */
  private static final long SERVING_WINDOW_MILLIS = 1000;

  final RuntimeClock clock;
  final GatewayProtocol protocol;
  final UpstreamSender sender;
  final DecisionLog log;
  final RequestObserver observer;

  final UpstreamHealthTracker health;
  final Set<RequestForwarder> activeRequests = ConcurrentHashMap.newKeySet();
  final EngineSelector engines = new EngineSelector();
  final SessionVersions sessions;
  final SlowAnswerDetector slowAnswers = new SlowAnswerDetector();
  final RandomGenerator random;
  final String hostName;
  final String domain;
  private final InstanceDirectory directory = new InstanceDirectory();
  private final Map<String, TrafficShift> shifts = new ConcurrentHashMap<>();
  private final Map<String, RetryWindow> retryBudgets = new ConcurrentHashMap<>();
  private final Supplier<RetryWindow> budgetFactory;
  private volatile ForwardingConfiguration configuration;
  private volatile Map<String, List<UpstreamInstance>> available = Map.of();

  private Gateway(Builder builder) {
    this.hostName = Objects.requireNonNull(builder.hostName);
    this.domain = Objects.requireNonNull(builder.domain);
    this.clock = Objects.requireNonNull(builder.clock);
    this.protocol = Objects.requireNonNull(builder.protocol);
    this.sender = Objects.requireNonNull(builder.sender);
    this.log = Objects.requireNonNull(builder.log);
    this.observer = Objects.requireNonNull(builder.observer);
    this.random = Objects.requireNonNull(builder.random);
    this.budgetFactory = Objects.requireNonNull(builder.budgetFactory);
    this.sessions = new SessionVersions(builder.sessionIdleTime);
    this.health = new UpstreamHealthTracker(clock, MAX_PROBE_AFTER);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
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
  public synchronized void updateInstances(List<UpstreamInstance> instances) {
    long now = clock.nanoTime();
    InstanceDirectory.Changes changes = directory.update(instances, id -> isServing(id, now), now);
    if (changes.afterOutage()) {
      log.record("list_regained", "readmitted", health.readmitEjected());
    }
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

  private boolean isServing(String upstream, long nowNanos) {
    return engines.silenceMillis(upstream, nowNanos) <= SERVING_WINDOW_MILLIS;
  }

  /** Returns the age of the last reading of the list of upstreams in nanoseconds, or -1. */
  public synchronized long instanceListAgeNanos() {
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
  public TrafficShift applyOrder(ShiftOrder order) {
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
  void recordRequest(String service) {
    retryBudget(service).recordRequest(clock.nanoTime());
  }

  /** Takes a repeat of a service's budget; returns false if none is left. */
  boolean tryRetry(String service) {
    return retryBudget(service).tryRetry(clock.nanoTime());
  }

  private RetryWindow retryBudget(String service) {
    return retryBudgets.computeIfAbsent(service, s -> budgetFactory.get());
  }

  /** Collects the parts. */
  public static final class Builder {
    private String hostName;
    private String domain;
    private RuntimeClock clock;
    private GatewayProtocol protocol;
    private UpstreamSender sender;
    private DecisionLog log;
    private RequestObserver observer = (account, route, status, reason, first, total) -> {};
    private RandomGenerator random = new SplittableRandom();
    private Supplier<RetryWindow> budgetFactory;
    private Duration sessionIdleTime;

    private Builder() {}

    /** Sets name and failure domain of the host. */
    public Builder host(String name, String failureDomain) {
      hostName = name;
      domain = failureDomain;
      return this;
    }

    /** Sets the clock. */
    public Builder clock(RuntimeClock value) {
      clock = value;
      return this;
    }

    /** Sets the names and formats of callers and upstreams. */
    public Builder protocol(GatewayProtocol value) {
      protocol = value;
      return this;
    }

    /** Sets the sender of attempts. */
    public Builder sender(UpstreamSender value) {
      sender = value;
      return this;
    }

    /** Sets the log of decisions. */
    public Builder log(DecisionLog value) {
      log = value;
      return this;
    }

    /** Sets who is told of finished requests; nobody by default. */
    public Builder observer(RequestObserver value) {
      observer = value;
      return this;
    }

    /** Sets the source of random choices. */
    public Builder random(RandomGenerator value) {
      random = value;
      return this;
    }

    /** Sets what makes the budget of repeats of each service. */
    public Builder retryBudgets(Supplier<RetryWindow> value) {
      budgetFactory = value;
      return this;
    }

    /** Sets the time without a request after which a session has ended. */
    public Builder sessionIdleTime(Duration value) {
      sessionIdleTime = value;
      return this;
    }

    /** Returns the gateway. */
    public Gateway build() {
      return new Gateway(this);
    }
  }
}
