package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.clementinequay.core.admission.AccountShares;
import org.clementinequay.core.admission.FirstEventTimes;
import org.clementinequay.core.admission.FullUpstreams;
import org.clementinequay.core.admission.WaitingRequests;
import org.clementinequay.core.coldstart.ColdStartLimiter;
import org.clementinequay.core.dispatch.AnswerBudget;
import org.clementinequay.core.dispatch.RetryWindow;
import org.clementinequay.core.dispatch.UpstreamHealthTracker;
import org.clementinequay.core.evacuation.AllowedRegions;
import org.clementinequay.core.evacuation.EvacuatedDomains;
import org.clementinequay.core.evacuation.EvacuationReading;
import org.clementinequay.core.forward.ForwardingConfiguration;
import org.clementinequay.core.forward.InstanceDirectory;
import org.clementinequay.core.forward.Route;
import org.clementinequay.core.forward.ServiceProfile;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.placement.EngineSelector;
import org.clementinequay.core.placement.OutputLengths;
import org.clementinequay.core.placement.PromptLanes;
import org.clementinequay.core.rollout.ShiftOrder;
import org.clementinequay.core.rollout.SlowAnswerDetector;
import org.clementinequay.core.rollout.TrafficShift;
import org.clementinequay.core.session.SessionVersions;
import org.clementinequay.core.stop.RecentDurations;
import org.clementinequay.core.stop.StopAdmission;
import org.clementinequay.core.time.RuntimeClock;

/**
 * State that the requests of a host share: the configuration in force, the upstreams with their
 * health and load, traffic shifts, session versions and retry budgets.
 */
public final class Gateway {
  /** Longest delay before an ejected upstream is probed; link faults last seconds. */
  private static final Duration MAX_PROBE_DELAY = Duration.ofSeconds(3);

  /**
   * Time after the last received bytes during which an upstream counts as serving, in milliseconds;
   * about twice the interval between requests of one host to one upstream in a failure domain that
   * is cut off.
   */
  private static final long SERVING_WINDOW_MILLIS = 1000;

  /** Number of engines for each host below which the hosts share them. */
  private static final int ENGINES_PER_HOST = 2;

  /** Maximum number of stalled attempts that wait to be looked at; further ones are dropped. */
  private static final int MAX_PENDING_STALLED = 256;

  final RuntimeClock clock;
  final GatewayProtocol protocol;
  final UpstreamSender sender;
  final DecisionLog log;
  final RequestObserver observer;

  final UpstreamHealthTracker health;
  final Set<RequestForwarder> activeRequests = ConcurrentHashMap.newKeySet();
  final EngineSelector engineSelector;

  /** Engines of their own for long prompts; off unless the settings say so. */
  final PromptLanes promptLanes;

  final OutputLengths outputLengths = new OutputLengths();

  /** Whether cached beginnings of prompts count when an engine is chosen. */
  final boolean promptCache;

  final SessionVersions sessions;
  final SlowAnswerDetector slowAnswers = new SlowAnswerDetector();

  /** Times from the start of the first attempt to the end of a successful answer, by route. */
  final RecentDurations durations = new RecentDurations();

  /** Limits the requests to upstreams that have just started. */
  final ColdStartLimiter coldStarts;

  /** Failure domains whose upstreams get no new requests. */
  final EvacuatedDomains evacuated = new EvacuatedDomains();

  final FirstEventTimes firstEventTimes = new FirstEventTimes();

  final FullUpstreams fullUpstreams = new FullUpstreams();

  /** Demand of client accounts here and at the other hosts; off unless the settings say so. */
  final AccountShares accountShares = new AccountShares();

  /** Requests that wait for room; none does unless the settings allow it. */
  final WaitingRequests<RequestForwarder> waiting;

  /** Probes of silent upstreams; without them silence alone moves a request. */
  final Optional<UpstreamReachability> reachability;

  private final IntSupplier listedHosts;
  final CrashGuard crashGuard;
  final AnswerBudget answerBudget = AnswerBudget.ofHeap(Runtime.getRuntime().maxMemory());
  final RandomGenerator random;
  final String hostName;
  final String domain;
  private final BlockingQueue<StalledAttempt> stalled =
      new ArrayBlockingQueue<>(MAX_PENDING_STALLED);
  private final Map<String, String> regionByDomain;
  private final Map<String, Long> startById = new HashMap<>();
  private final InstanceDirectory directory = new InstanceDirectory();
  private final Map<String, TrafficShift> shifts = new ConcurrentHashMap<>();
  private final Map<String, RetryWindow> retryBudgets = new ConcurrentHashMap<>();
  private final Supplier<RetryWindow> budgetFactory;
  private volatile ForwardingConfiguration configuration;
  private volatile Map<String, List<UpstreamInstance>> available = Map.of();
  private volatile StopAdmission stopAdmission;

  private Gateway(Builder builder) {
    this.hostName = Objects.requireNonNull(builder.hostName);
    this.domain = Objects.requireNonNull(builder.domain);
    this.clock = Objects.requireNonNull(builder.clock);
    this.protocol = Objects.requireNonNull(builder.protocol);
    this.sender = Objects.requireNonNull(builder.sender);
    this.log = Objects.requireNonNull(builder.log);
    this.observer = Objects.requireNonNull(builder.observer);
    this.random = Objects.requireNonNull(builder.random);
    this.engineSelector = new EngineSelector(random);
    this.promptLanes = new PromptLanes(builder.promptLaneEngines);
    this.promptCache = builder.promptCache;
    this.budgetFactory = Objects.requireNonNull(builder.budgetFactory);
    this.sessions = new SessionVersions(builder.sessionIdleTime);
    this.health = new UpstreamHealthTracker(clock, MAX_PROBE_DELAY);
    this.crashGuard = new CrashGuard(clock);
    this.regionByDomain = Map.copyOf(builder.regionByDomain);
    this.coldStarts =
        builder.coldStarts.orElseGet(() -> new ColdStartLimiter(hostName, Optional.empty()));
    this.waiting = new WaitingRequests<>(builder.maxWaitingRequests);
    this.reachability = Optional.ofNullable(builder.reachability);
    this.listedHosts = builder.listedHosts;
  }

  public static Builder builder() {
    return new Builder();
  }

  /** Returns the configuration in force; empty until the first one was applied. */
  public Optional<ForwardingConfiguration> configuration() {
    return Optional.ofNullable(configuration);
  }

  /** Applies a configuration; returns false if the one in force has the same or a later version. */
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
    // It was not known what upstreams of a service bear that was not configured.
    available.values().stream()
        .flatMap(List::stream)
        .filter(instance -> !isConfigured(instance.service()))
        .forEach(instance -> recordColdEntry(instance, newer));
    configuration = newer;
    return true;
  }

  /**
   * Applies a newly read list of upstreams. If the list had not been readable for a while, ejected
   * upstreams are readmitted. An upstream that is missing but served this host recently may stay.
   */
  public synchronized void updateInstances(List<UpstreamInstance> instances) {
    long now = clock.nanoTime();
    InstanceDirectory.Changes changes = directory.update(instances, id -> isServing(id, now), now);
    if (changes.afterOutage()) {
      log.record("list_regained", "readmitted", health.readmitEjected());
    }
    if (changes.added().isEmpty() && changes.removed().isEmpty()) {
      return;
    }
    // Before requests can see them: no request may reach an upstream that is not known to be cold.
    changes.added().forEach(this::recordStart);
    refreshAvailable();
    engineSelector.retain(directory.ids());
    coldStarts.retain(directory.ids());
    startById.keySet().retainAll(directory.ids());
    health.retain(directory.ids());
    fullUpstreams.retain(directory.ids());
    for (UpstreamInstance instance : changes.added()) {
      engineSelector.recordProcess(instance.id(), instance.startMillis());
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

  /** Records that an upstream states in an answer that it is leaving; it gets no new requests. */
  synchronized void recordLeaving(UpstreamInstance instance) {
    if (directory.recordLeaving(instance)) {
      refreshAvailable();
      log.record(
          "upstream_leaves",
          "id",
          instance.id(),
          "service",
          instance.service(),
          "listed",
          directory.isListed(instance));
    }
  }

  /** Records an entry that is new or changed; an engine that restarted has nothing in its cache. */
  private void recordStart(UpstreamInstance instance) {
    Long before = startById.put(instance.id(), instance.startMillis());
    boolean started = before == null || before != instance.startMillis();
    if (started) {
      engineSelector.forgetPrefixes(instance.id());
    }
    if (started || instance.coldMillis() != UpstreamInstance.COLD_UNKNOWN) {
      configuration().ifPresent(known -> recordColdEntry(instance, known));
    }
  }

  private boolean isConfigured(String service) {
    return configuration != null && configuration.service(service).isPresent();
  }

  private void recordColdEntry(UpstreamInstance instance, ForwardingConfiguration known) {
    long millis = instance.coldMillis();
    markCold(
        instance,
        known,
        millis == UpstreamInstance.COLD_UNKNOWN ? Optional.empty() : Optional.of(millis),
        "its entry");
  }

  /** Limits the requests to an upstream for a time, or for its service's if that is empty. */
  private void markCold(
      UpstreamInstance instance,
      ForwardingConfiguration known,
      Optional<Long> millis,
      String reason) {
    Optional<ServiceProfile> service = known.service(instance.service());
    if (service.isEmpty()) {
      return;
    }
    long now = clock.nanoTime();
    long coldMillis = millis.orElse(service.get().coldStart().toMillis());
    double perSecond = service.get().coldRequestsPerSecond();
    if (coldStarts.markCold(instance.id(), perSecond, now + coldMillis * 1_000_000, now)) {
      engineSelector.forgetPrefixes(instance.id());
      log.record(
          "upstream_cold",
          "id",
          instance.id(),
          "service",
          instance.service(),
          "ms",
          coldMillis,
          "reason",
          reason,
          "share",
          coldStarts.share(instance.id(), now));
    }
  }

  /**
   * Applies what a reading says about evacuations. Upstreams of a domain that is taken back may be
   * cold without their entries telling it yet.
   *
   * @param storeMillis time of the reading by the store's clock, in milliseconds; 0 if unknown
   * @param learnedBy kind of the reading, for the log
   */
  synchronized void applyEvacuations(
      EvacuationReading reading, long storeMillis, String learnedBy) {
    EvacuatedDomains.Changes changes = evacuated.apply(reading, storeMillis, clock.nanoTime());
    if (changes.isEmpty()) {
      return;
    }
    for (String domain : changes.evacuated()) {
      log.record("evacuated", "domain", domain, "read", learnedBy);
    }
    for (String domain : changes.takenBack()) {
      log.record("evacuation_ended", "domain", domain, "read", learnedBy);
    }
    configuration().ifPresent(known -> markTakenBack(changes.takenBack(), known));
    refreshAvailable();
  }

  private void markTakenBack(List<String> domains, ForwardingConfiguration known) {
    directory.available().values().stream()
        .flatMap(List::stream)
        .filter(instance -> domains.contains(instance.domain()))
        .forEach(i -> markCold(i, known, Optional.empty(), "its domain was evacuated"));
  }

  private void refreshAvailable() {
    Map<String, List<UpstreamInstance>> next = directory.available();
    next.values().forEach(list -> list.removeIf(i -> evacuated.contains(i.domain())));
    available = next;
  }

  private boolean isServing(String upstream, long nowNanos) {
    return engineSelector.silenceMillis(upstream, nowNanos) <= SERVING_WINDOW_MILLIS;
  }

  /**
   * Returns the time since the list of upstreams was last read, in nanoseconds; negative if it was
   * never read.
   */
  public synchronized long instanceListAgeNanos() {
    return directory.ageNanos(clock.nanoTime());
  }

  /**
   * Returns the upstreams of a service that may get new requests: listed, not leaving and not in an
   * evacuated failure domain; empty for an unknown service.
   */
  public List<UpstreamInstance> available(String service) {
    return available.getOrDefault(service, List.of());
  }

  /**
   * Returns whether so many hosts share the engines of a service that one host seldom has more than
   * a request on an engine.
   */
  boolean sharesEngines(String service) {
    return reachability.isPresent()
        && ENGINES_PER_HOST * listedHosts.getAsInt() >= available(service).size();
  }

  /** Limits the requests that are passed on from now on to those that end before the host does. */
  void startStop(StopAdmission admission) {
    stopAdmission = admission;
  }

  /**
   * Returns whether an answer whose attempt begins now can be complete before this host ends.
   *
   * @param receivedNanos monotonic time at which the whole request was received
   * @param limit time within which the request ends in any case
   */
  boolean canFinish(Route route, long receivedNanos, Duration limit) {
    StopAdmission admission = stopAdmission;
    return admission == null
        || admission.admits(clock.nanoTime(), receivedNanos, limit, durations.usual(route.name()));
  }

  /** Returns the upstreams of a service that may get new requests and are in an allowed region. */
  List<UpstreamInstance> available(String service, AllowedRegions regions) {
    List<UpstreamInstance> all = available(service);
    return regions.isAny()
        ? all
        : all.stream().filter(instance -> regions.allow(regionOf(instance))).toList();
  }

  /** Returns whether an upstream may get new requests, as in {@link #available}. */
  boolean accepts(UpstreamInstance instance, AllowedRegions regions) {
    return available(instance.service(), regions).stream().anyMatch(instance::isSameProcess);
  }

  private String regionOf(UpstreamInstance instance) {
    return regionByDomain.getOrDefault(instance.domain(), "");
  }

  /** Takes the right to send a request to an upstream now; the last step before the send. */
  boolean tryAdmit(UpstreamInstance instance) {
    return coldStarts.tryAdmit(instance.id(), clock.nanoTime());
  }

  /** Lets the waiting requests start, in their order, as far as there is room. */
  void recheckWaiting() {
    if (waiting.size() > 0) {
      waiting.inOrder().forEach(RequestForwarder::checkRoom);
    }
  }

  /** Returns the traffic shift of a service; empty if none was ordered. */
  public Optional<TrafficShift> shift(String service) {
    return Optional.ofNullable(shifts.get(service));
  }

  /** Returns a snapshot of all traffic shifts, ended ones included. */
  public List<TrafficShift> shifts() {
    return List.copyOf(shifts.values());
  }

  /**
   * Starts the traffic shift of an order, unless it or a later one is known; returns the latest.
   */
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
          return newShift(order);
        });
  }

  private TrafficShift newShift(ShiftOrder order) {
    long now = clock.nanoTime();
    TrafficShift shift = new TrafficShift(order, now);
    sessions
        .inProgress(now)
        .forEach(
            (session, version) -> {
              if (!version.equals(order.target())) {
                shift.recordOldSession(session, now);
              }
            });
    return shift;
  }

  /** Counts a request towards the retry budget of its service. */
  void recordRequest(String service) {
    retryBudget(service).recordRequest(clock.nanoTime());
  }

  /** Takes one retry from a service's budget; returns false if none is left. */
  boolean tryRetry(String service) {
    return retryBudget(service).tryRetry(clock.nanoTime());
  }

  /** Records an attempt that was given up for silence, if that tells something about a version. */
  void recordStalled(StalledAttempt attempt) {
    if (shift(attempt.upstream().service()).filter(s -> !s.state().ended()).isPresent()) {
      stalled.offer(attempt);
    }
  }

  /** Returns the recorded attempts since the last call. */
  List<StalledAttempt> takeStalled() {
    List<StalledAttempt> taken = new ArrayList<>();
    stalled.drainTo(taken);
    return taken;
  }

  private RetryWindow retryBudget(String service) {
    return retryBudgets.computeIfAbsent(service, s -> budgetFactory.get());
  }

  /** Builds a {@link Gateway}. All parts are required unless a default is given. */
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
    private Map<String, String> regionByDomain = Map.of();
    private Optional<ColdStartLimiter> coldStarts = Optional.empty();
    private UpstreamReachability reachability;
    private int maxWaitingRequests;
    private IntSupplier listedHosts = () -> 1;
    private boolean promptCache = true;
    private int promptLaneEngines;

    private Builder() {}

    /** Sets the name and the failure domain of this host. */
    public Builder host(String name, String failureDomain) {
      hostName = name;
      domain = failureDomain;
      return this;
    }

    public Builder clock(RuntimeClock value) {
      clock = value;
      return this;
    }

    /** Sets the translation of HTTP headers of callers and upstreams. */
    public Builder protocol(GatewayProtocol value) {
      protocol = value;
      return this;
    }

    public Builder sender(UpstreamSender value) {
      sender = value;
      return this;
    }

    public Builder log(DecisionLog value) {
      log = value;
      return this;
    }

    /** Sets the observer of finished requests; by default there is none. */
    public Builder observer(RequestObserver value) {
      observer = value;
      return this;
    }

    /** Sets the source of random choices; by default a new {@link SplittableRandom}. */
    public Builder random(RandomGenerator value) {
      random = value;
      return this;
    }

    /** Sets the factory of retry budgets, called once for each service. */
    public Builder retryBudgets(Supplier<RetryWindow> value) {
      budgetFactory = value;
      return this;
    }

    /** Sets the time without a request after which a session ends. */
    public Builder sessionIdleTime(Duration value) {
      sessionIdleTime = value;
      return this;
    }

    /** Sets the regions of failure domains, by their names; by default none is known. */
    public Builder regions(Map<String, String> value) {
      regionByDomain = value;
      return this;
    }

    /** Sets the limit on requests to cold upstreams; by default there is none. */
    public Builder coldStarts(ColdStartLimiter value) {
      coldStarts = Optional.of(value);
      return this;
    }

    /** Sets how many requests may wait for room; by default none. */
    public Builder maxWaitingRequests(int value) {
      maxWaitingRequests = value;
      return this;
    }

    /**
     * Sets the probes of silent upstreams; by default there are none.
     *
     * @param hosts supplies the number of hosts of the deployment
     */
    Builder reachability(UpstreamReachability value, IntSupplier hosts) {
      reachability = value;
      listedHosts = hosts;
      return this;
    }

    /** Sets whether cached beginnings of prompts count; by default they do. */
    public Builder promptCache(boolean value) {
      promptCache = value;
      return this;
    }

    /**
     * Sets the number of engines of a service from which on long prompts have engines of their own;
     * by default never.
     */
    public Builder promptLaneEngines(int value) {
      promptLaneEngines = value;
      return this;
    }

    public Gateway build() {
      return new Gateway(this);
    }
  }
}
