package org.clementinequay.server.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.clementinequay.core.evacuation.AllowedRegions;
import org.clementinequay.core.forward.AccountKeys;
import org.clementinequay.core.forward.EngineProfile;
import org.clementinequay.core.forward.Route;
import org.clementinequay.core.forward.ServiceProfile;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.placement.EngineSelector;
import org.clementinequay.core.placement.EngineWork;
import org.clementinequay.core.placement.PromptLanes;
import org.clementinequay.core.placement.PromptPrefix;
import org.clementinequay.core.rollout.TrafficShift;

/** Chooses the upstream and the model for each attempt of one request. */
final class AttemptPlacement {
  /** Cost of the reference model, to which {@link EngineWork} refers. */
  private static final double REFERENCE_COST = 0.1;

  private final Gateway gateway;
  private final GatewayRequest request;
  private final Route route;
  private final String service;
  private final AllowedRegions regions;
  private int modelIndex;
  private boolean failedOnTarget;
  private PromptLanes.Lane lane = PromptLanes.Lane.ANY;

  /** Selected upstream with the estimates on which the selection is based. */
  record Selection(UpstreamInstance instance, EngineSelector.Choice choice) {}

  AttemptPlacement(
      Gateway gateway,
      GatewayRequest request,
      Route route,
      Optional<AccountKeys> account,
      String service) {
    this.gateway = gateway;
    this.request = request;
    this.route = route;
    this.service = service;
    this.regions =
        new AllowedRegions(
            route.allowedRegions(), account.map(AccountKeys::allowedRegions).orElse(Set.of()));
  }

  /** Returns the model that the router chose; empty if the caller chose it. */
  Optional<String> model() {
    return route.modelsBySize().isEmpty()
        ? Optional.empty()
        : Optional.of(route.modelsBySize().get(modelIndex));
  }

  /** Returns whether the route has a larger model than the current one. */
  boolean hasLargerModel() {
    return modelIndex + 1 < route.modelsBySize().size();
  }

  /** Makes all further attempts use the largest model of the route. */
  void useLargestModel() {
    modelIndex = route.modelsBySize().size() - 1;
  }

  /** Returns the engine time of the model relative to the reference model. */
  double weight() {
    return weight(model().orElse(""));
  }

  private double weight(String model) {
    return engineProfile().map(profile -> profile.cost(model) / REFERENCE_COST).orElse(1.0);
  }

  /**
   * Returns the time in which the largest model reads the whole prompt on an engine of mean speed.
   */
  double largestModelPromptMillis() {
    String largest = route.modelsBySize().get(route.modelsBySize().size() - 1);
    return engineWork(weight(largest)).prefillMillis(0);
  }

  /** Returns the number of tokens per event of a stream; 1 if the service has no engine profile. */
  int tokensPerEvent() {
    return engineProfile().map(EngineProfile::tokensPerEvent).orElse(1);
  }

  private PromptPrefix prefix() {
    if (!gateway.promptCache) {
      return PromptPrefix.none();
    }
    List<PromptPrefix.Part> parts =
        request.promptParts().stream()
            .limit(Math.max(0, request.promptParts().size() - 1))
            .map(part -> new PromptPrefix.Part(part.id(), part.tokens()))
            .toList();
    return new PromptPrefix(model().orElse(""), parts);
  }

  /** Records that the request is sent to the engine of a choice. */
  void recordStart(EngineSelector.Choice choice) {
    gateway.engineSelector.recordStart(choice, prefix(), engineMemoryTokens());
    if (engineProfile().isPresent()) {
      gateway.promptLanes.record(service, engineWork(weight()), route.eventGapObjectiveMillis());
    }
  }

  /** Returns the lane of the engines from which the last one was selected. */
  PromptLanes.Lane lane() {
    return lane;
  }

  /** Returns the estimated work of the request in engine milliseconds, if nothing is cached. */
  double workMillis() {
    return engineWork(weight()).millis(0);
  }

  /** Returns whether the prompt is larger than the memory of an engine, so that none can run it. */
  boolean exceedsEngineMemory() {
    return engineWork(1).exceedsMemory();
  }

  /** Returns whether there is a candidate that was not tried. */
  boolean hasCandidate(Set<String> triedIds) {
    return !candidates(triedIds).isEmpty();
  }

  /**
   * Selects an upstream that was not tried and counts the attempt in its health state; empty if
   * there is no candidate.
   */
  Optional<Selection> select(Set<String> triedIds) {
    return select(candidates(triedIds));
  }

  /**
   * Selects one of the given upstreams although it was tried, and even if it is ejected; empty if
   * none of them accepts requests.
   */
  Optional<Selection> selectAgain(Set<String> ids) {
    return select(candidatesAgain(ids));
  }

  /** Returns whether {@link #selectAgain} would select an upstream. */
  boolean hasAgain(Set<String> ids) {
    return !candidatesAgain(ids).isEmpty();
  }

  private List<UpstreamInstance> candidatesAgain(Set<String> ids) {
    List<UpstreamInstance> candidates = new ArrayList<>();
    for (UpstreamInstance instance : admitting()) {
      if (ids.contains(instance.id()) && !isStoppedTarget(instance)) {
        candidates.add(instance);
      }
    }
    return candidates;
  }

  private Optional<Selection> select(List<UpstreamInstance> candidates) {
    while (!candidates.isEmpty()) {
      EngineSelector.Choice choice = choose(candidates);
      UpstreamInstance instance = findById(candidates, choice.engine());
      if (gateway.health.tryStart(instance.id()) || candidates.size() == 1) {
        return Optional.of(new Selection(instance, choice));
      }
      candidates.remove(instance);
    }
    return Optional.empty();
  }

  private List<UpstreamInstance> candidates(Set<String> triedIds) {
    Optional<TrafficShift> shift = gateway.shift(service);
    boolean target = shift.isPresent() && routesToTarget(shift.get());
    List<UpstreamInstance> result = untriedOfVersion(triedIds, shift, target);
    if (result.isEmpty() && shift.isPresent() && !shift.get().state().ended()) {
      result = untriedOfVersion(triedIds, shift, !target && shift.get().reason().isEmpty());
    }
    if (result.isEmpty()) {
      result = untriedInOwnDomain(triedIds);
    }
    shuffle(result);
    return result;
  }

  /**
   * Returns whether the next attempt goes to the target version of a traffic shift. A request that
   * failed on the target version is retried on the old one, unless its session is bound to the
   * target or all traffic goes there.
   */
  private boolean routesToTarget(TrafficShift shift) {
    long now = gateway.clock.nanoTime();
    Optional<String> lastVersion = request.session().flatMap(s -> gateway.sessions.version(s, now));
    boolean target =
        request
            .session()
            .map(session -> shift.routesSessionToTarget(session, lastVersion, now))
            .orElseGet(() -> shift.routesToTarget(request.id().orElse(""), lastVersion, now));
    boolean sessionOnTarget =
        lastVersion.isPresent() && lastVersion.get().equals(shift.order().target());
    return target && (!failedOnTarget || sessionOnTarget || shift.share(now) >= 1);
  }

  /** Records a failed attempt; after one on the target version the next prefers the old version. */
  void recordFailure(UpstreamInstance instance) {
    failedOnTarget |=
        gateway
            .shift(service)
            .map(shift -> shift.order().target().equals(instance.version()))
            .orElse(false);
  }

  private List<UpstreamInstance> untriedOfVersion(
      Set<String> triedIds, Optional<TrafficShift> shift, boolean target) {
    List<UpstreamInstance> result = new ArrayList<>();
    for (UpstreamInstance instance : admitting()) {
      boolean allowed =
          shift.isEmpty() || instance.version().equals(shift.get().order().target()) == target;
      if (allowed && !triedIds.contains(instance.id()) && gateway.health.available(instance.id())) {
        result.add(instance);
      }
    }
    return result;
  }

  /**
   * Returns the untried upstreams of this host's failure domain, also ejected ones, except those of
   * a target version that receives no traffic. They are the last resort: in a failure domain that
   * is cut off all remote upstreams are unreachable, and a local one that was ejected for being
   * slow is better than a refusal.
   */
  private List<UpstreamInstance> untriedInOwnDomain(Set<String> triedIds) {
    List<UpstreamInstance> result = new ArrayList<>();
    for (UpstreamInstance instance : admitting()) {
      if (!isStoppedTarget(instance)
          && !triedIds.contains(instance.id())
          && instance.domain().equals(gateway.domain)) {
        result.add(instance);
      }
    }
    return result;
  }

  /** Returns whether a request may be sent now, as the last step before that. */
  boolean admits(UpstreamInstance instance) {
    return gateway.accepts(instance, regions) && gateway.tryAdmit(instance);
  }

  /** Returns the upstreams to which this host may send the request now. */
  private List<UpstreamInstance> admitting() {
    long now = gateway.clock.nanoTime();
    return gateway.available(service, regions).stream()
        .filter(instance -> gateway.coldStarts.available(instance.id(), now))
        .toList();
  }

  /** Returns whether an upstream has the target version of a shift that sends it no traffic. */
  private boolean isStoppedTarget(UpstreamInstance instance) {
    return gateway
        .shift(service)
        .filter(shift -> shift.share(gateway.clock.nanoTime()) <= 0)
        .map(shift -> shift.order().target().equals(instance.version()))
        .orElse(false);
  }

  /**
   * Without shuffling, hosts with the same knowledge would all choose the same of equal upstreams.
   */
  private void shuffle(List<UpstreamInstance> instances) {
    for (int i = instances.size() - 1; i > 0; i--) {
      Collections.swap(instances, i, gateway.random.nextInt(i + 1));
    }
  }

  private EngineSelector.Choice choose(List<UpstreamInstance> candidates) {
    List<String> ids = new ArrayList<>(candidates.size());
    candidates.forEach(candidate -> ids.add(candidate.id()));
    EngineWork work = engineWork(weight());
    lane = PromptLanes.Lane.ANY;
    return gateway.engineSelector.choose(
        engineProfile().isPresent() && !comparesVersions() ? inLane(ids, work) : ids,
        work,
        prefix(),
        gateway.clock.nanoTime());
  }

  /**
   * Returns whether traffic moves between versions of the service. Their answers are compared then,
   * so the choice of an engine must not depend on how many engines a version has.
   */
  boolean comparesVersions() {
    return gateway.shift(service).filter(shift -> !shift.state().ended()).isPresent();
  }

  private List<String> inLane(List<String> engines, EngineWork work) {
    PromptLanes.Assignment assignment =
        gateway.promptLanes.assign(service, engines, work, route.eventGapObjectiveMillis());
    lane = assignment.lane();
    return assignment.engines();
  }

  private EngineWork engineWork(double weight) {
    return new EngineWork(
        Math.max(request.sharedTokens(), request.promptTokens()),
        outputTokens(),
        weight,
        engineMemoryTokens());
  }

  private int outputTokens() {
    int expected = request.outputTokens();
    if (!gateway.engineSelector.sharesLoad()) {
      return expected;
    }
    int estimate = gateway.outputLengths.estimate(route.name(), expected);
    int limit = request.maxOutputTokens();
    return limit > 0 ? Math.min(estimate, limit) : estimate;
  }

  /** Records the length of a complete answer. */
  void recordOutput(long events) {
    gateway.outputLengths.record(route.name(), request.outputTokens(), events * tokensPerEvent());
  }

  /** Returns the memory of an engine in tokens; without an engine profile it has no bound. */
  private long engineMemoryTokens() {
    return engineProfile()
        .map(EngineProfile::cacheCapacityTokens)
        .filter(tokens -> tokens > 0)
        .orElse(Long.MAX_VALUE);
  }

  private Optional<EngineProfile> engineProfile() {
    return gateway
        .configuration()
        .flatMap(configuration -> configuration.service(service))
        .flatMap(ServiceProfile::engine);
  }

  private static UpstreamInstance findById(List<UpstreamInstance> candidates, String id) {
    for (UpstreamInstance candidate : candidates) {
      if (candidate.id().equals(id)) {
        return candidate;
      }
    }
    throw new IllegalStateException("selected engine is not a candidate: " + id);
  }
}
