package org.clementinequay.server.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.clementinequay.core.forward.EngineProfile;
import org.clementinequay.core.forward.Route;
import org.clementinequay.core.forward.ServiceProfile;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.placement.EngineSelector;
import org.clementinequay.core.placement.EngineWork;
import org.clementinequay.core.rollout.TrafficShift;

/** Chooses the upstream of each attempt of one request. */
final class AttemptPlacement {
  /** Cost of the model that the estimates of work refer to. */
  private static final double REFERENCE_COST = 0.1;

  private final Gateway gateway;
  private final GatewayRequest request;
  private final Route route;
  private final String service;
  private int modelIndex;
  private boolean failedOnTarget;

  /** Chosen upstream and what the choice is based on. */
  record Selection(UpstreamInstance instance, EngineSelector.Choice choice) {}

  AttemptPlacement(Gateway gateway, GatewayRequest request, Route route, String service) {
    this.gateway = gateway;
    this.request = request;
    this.route = route;
    this.service = service;
  }

  /** Returns the model that the router chose; empty if the caller named it. */
  Optional<String> model() {
    return route.modelsBySize().isEmpty()
        ? Optional.empty()
        : Optional.of(route.modelsBySize().get(modelIndex));
  }

  /** Returns whether a larger model could be asked. */
  boolean hasLargerModel() {
    return modelIndex + 1 < route.modelsBySize().size();
  }

  /** Further attempts use the largest model. */
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

  /** Returns the time for the largest model to read the whole prompt on an engine of mean speed. */
  double largestModelPromptMillis() {
    String largest = route.modelsBySize().get(route.modelsBySize().size() - 1);
    return engineWork(weight(largest)).prefillMillis(false);
  }

  /** Returns the tokens in an event of a stream. */
  int tokensPerEvent() {
    return engineProfile().map(EngineProfile::tokensPerEvent).orElse(1);
  }

  /** Returns the last shared part of the prompt together with the model, or null. */
  String sharedPart() {
    return request.lastSharedPart().map(part -> model().orElse("") + '/' + part.id()).orElse(null);
  }

  /** Returns whether an upstream that was not tried could take an attempt. */
  boolean hasCandidate(Set<String> tried) {
    return !candidates(tried).isEmpty();
  }

  /** Chooses an upstream that was not tried and counts the attempt in its health. */
  Optional<Selection> select(Set<String> tried) {
    List<UpstreamInstance> candidates = candidates(tried);
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

  private List<UpstreamInstance> candidates(Set<String> tried) {
    Optional<TrafficShift> shift = gateway.shift(service);
    boolean target = shift.isPresent() && routesToTarget(shift.get());
    List<UpstreamInstance> result = untriedOfVersion(tried, shift, target);
    if (result.isEmpty() && shift.isPresent() && !shift.get().state().ended()) {
      result = untriedOfVersion(tried, shift, !target && shift.get().reason().isEmpty());
    }
    if (result.isEmpty()) {
      result = ejectedInOwnDomain(tried, shift);
    }
    shuffle(result);
    return result;
  }

  /**
   * A request that failed on the new version goes on with the old one, unless its session may not.
   */
  private boolean routesToTarget(TrafficShift shift) {
    long now = gateway.clock.nanoTime();
    Optional<String> lastVersion = request.session().flatMap(s -> gateway.sessions.version(s, now));
    String id = request.session().or(request::id).orElse("");
    boolean target = shift.routesToTarget(id, lastVersion, now);
    boolean sessionOnTarget =
        lastVersion.isPresent() && lastVersion.get().equals(shift.order().target());
    return target && (!failedOnTarget || sessionOnTarget || shift.share(now) >= 1);
  }

  /** An attempt failed; the next one prefers the other version if this was the new one. */
  void recordFailure(UpstreamInstance instance) {
    failedOnTarget |=
        gateway
            .shift(service)
            .map(shift -> shift.order().target().equals(instance.version()))
            .orElse(false);
  }

  private List<UpstreamInstance> untriedOfVersion(
      Set<String> tried, Optional<TrafficShift> shift, boolean target) {
    List<UpstreamInstance> result = new ArrayList<>();
    for (UpstreamInstance instance : gateway.available(service)) {
      boolean allowed =
          shift.isEmpty() || instance.version().equals(shift.get().order().target()) == target;
      if (allowed && !tried.contains(instance.id()) && gateway.health.available(instance.id())) {
        result.add(instance);
      }
    }
    return result;
  }

  /**
   * Returns ejected upstreams of this host's failure domain where no other is left. In a cut domain
   * all the far ones are unreachable, and a near one that only was slow is better than a refusal.
   */
  private List<UpstreamInstance> ejectedInOwnDomain(
      Set<String> tried, Optional<TrafficShift> shift) {
    List<UpstreamInstance> result = new ArrayList<>();
    for (UpstreamInstance instance : gateway.available(service)) {
      boolean stopped =
          shift.isPresent()
              && shift.get().share(gateway.clock.nanoTime()) <= 0
              && instance.version().equals(shift.get().order().target());
      if (!stopped && !tried.contains(instance.id()) && instance.domain().equals(gateway.domain)) {
        result.add(instance);
      }
    }
    return result;
  }

  /** Hosts that know the same would otherwise all choose the first of equal upstreams. */
  private void shuffle(List<UpstreamInstance> instances) {
    for (int i = instances.size() - 1; i > 0; i--) {
      Collections.swap(instances, i, gateway.random.nextInt(i + 1));
    }
  }

  private EngineSelector.Choice choose(List<UpstreamInstance> candidates) {
    List<String> ids = new ArrayList<>(candidates.size());
    candidates.forEach(candidate -> ids.add(candidate.id()));
    return gateway.engines.choose(ids, engineWork(weight()), sharedPart());
  }

  private EngineWork engineWork(double weight) {
    int shared = request.sharedTokens();
    return new EngineWork(
        shared, Math.max(0, request.promptTokens() - shared), request.outputTokens(), weight);
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
    throw new IllegalStateException("not a candidate: " + id);
  }
}
