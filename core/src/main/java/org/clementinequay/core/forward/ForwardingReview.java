package org.clementinequay.core.forward;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.clementinequay.core.config.Finding;
import org.clementinequay.core.forward.Route.WeightedTarget;

/**
 * Reviews a configuration before it is sent: errors, entries that can never match, and limits that
 * contradict each other. The pointers of the findings have the names of entries in place of their
 * indices.
 */
public final class ForwardingReview {
  /** Largest request head that a host takes, in bytes. */
  private static final int MAX_HEAD_BYTES = 65_536;

  private final ForwardingConfiguration configuration;
  private final List<Finding> findings = new ArrayList<>();

  private ForwardingReview(ForwardingConfiguration configuration) {
    this.configuration = configuration;
  }

  /** Returns all findings, or an empty list for a configuration without any. */
  public static List<Finding> review(ForwardingConfiguration configuration) {
    ForwardingReview review = new ForwardingReview(configuration);
    review.reviewMatches();
    configuration.routes().routes().forEach(review::reviewRoute);
    review.reviewServices();
    review.reviewAccounts();
    review.reviewLimits(configuration.limits());
    return List.copyOf(review.findings);
  }

  private void reviewMatches() {
    Map<String, Route> byMatch = new HashMap<>();
    for (Route route : configuration.routes().routes()) {
      String match = route.host().toLowerCase(Locale.ROOT) + ' ' + route.pathPrefix();
      Route hidden = byMatch.put(match, route);
      if (hidden != null) {
        warning(
            pointer(hidden),
            "never matches: route \"" + route.name() + "\" has the same host and path");
      }
    }
  }

  private void reviewRoute(Route route) {
    String pointer = pointer(route);
    if (!route.pathPrefix().startsWith("/") || !route.pathPrefix().endsWith("/")) {
      error(pointer, "never matches: the path must begin and end with a slash");
    }
    for (WeightedTarget target : route.targets()) {
      if (configuration.service(target.service()).isEmpty()) {
        error(pointer, "service \"" + target.service() + "\" is not defined");
      }
      if (!(target.weight() > 0)) {
        warning(
            pointer, "sends nothing to \"" + target.service() + "\": its weight is not above 0");
      }
    }
    reviewTimes(route, pointer);
    reviewAttempts(route, pointer);
    reviewModels(route, pointer);
  }

  private void reviewTimes(Route route, String pointer) {
    if (route.timeoutMillis() <= 0) {
      error(pointer, "the time limit must be above 0 ms: " + route.timeoutMillis());
    } else if (route.timeoutMillis() < route.latencyObjectiveMillis()) {
      warning(
          pointer,
          String.format(
              Locale.ROOT,
              "the time limit of %d ms ends before the objective of %d ms",
              route.timeoutMillis(),
              route.latencyObjectiveMillis()));
    }
    if (route.eventGapObjectiveMillis() > 0 && !route.kind().streaming()) {
      warning(pointer, "the objective for pauses has no effect: the answers are no streams");
    }
  }

  private void reviewAttempts(Route route, String pointer) {
    if (route.modelsBySize().size() > 1 && route.maxAttempts() < 2) {
      warning(pointer, "no larger model is ever asked: one attempt is allowed");
    }
  }

  private void reviewModels(Route route, String pointer) {
    for (WeightedTarget target : route.targets()) {
      Optional<Set<String>> known =
          configuration
              .service(target.service())
              .flatMap(ServiceProfile::engine)
              .map(ForwardingReview::modelNames);
      for (String model : route.modelsBySize()) {
        if (known.isPresent() && !known.get().contains(model)) {
          error(pointer, "service \"" + target.service() + "\" has no model \"" + model + "\"");
        }
      }
    }
  }

  private static Set<String> modelNames(EngineProfile engine) {
    return engine.models().stream().map(EngineProfile.Model::name).collect(Collectors.toSet());
  }

  private void reviewServices() {
    Set<String> used = new HashSet<>();
    for (Route route : configuration.routes().routes()) {
      route.targets().forEach(target -> used.add(target.service()));
    }
    configuration.services().stream()
        .map(ServiceProfile::name)
        .filter(name -> !used.contains(name))
        .sorted()
        .forEach(name -> warning("/services/" + name, "no route leads to it"));
  }

  private void reviewAccounts() {
    Map<String, String> accountByKey = new HashMap<>();
    for (AccountKeys account : configuration.accounts()) {
      String pointer = "/accounts/" + account.name();
      if (account.apiKeys().isEmpty()) {
        warning(pointer, "has no API key, so no request is its own");
      }
      for (String key : account.apiKeys()) {
        String other = accountByKey.put(key, account.name());
        if (other != null) {
          error(pointer, "has an API key that account \"" + other + "\" has too");
        }
      }
      for (Route route : configuration.routes().routes()) {
        if (!route.allowedRegions().isEmpty()
            && !account.allowedRegions().isEmpty()
            && Collections.disjoint(route.allowedRegions(), account.allowedRegions())) {
          warning(
              pointer,
              "cannot use route \"" + route.name() + "\": they have no allowed region in common");
        }
      }
    }
  }

  private void reviewLimits(CallerLimits limits) {
    if (limits.maxHeaderBytes() <= 0 || limits.maxBodyBytes() < 0) {
      error("/limits", "no request fits: heads and bodies need room");
    }
    if (limits.maxHeaderBytes() > MAX_HEAD_BYTES) {
      warning("/limits", "no host takes a head above " + MAX_HEAD_BYTES + " bytes");
    }
    if (limits.headerTimeoutMillis() <= 0 || limits.idleTimeoutMillis() <= 0) {
      error("/limits", "the times for a head and for an idle connection must be above 0 ms");
    }
  }

  private static String pointer(Route route) {
    return "/routes/" + route.name();
  }

  private void error(String pointer, String message) {
    findings.add(Finding.error(pointer, message));
  }

  private void warning(String pointer, String message) {
    findings.add(Finding.warning(pointer, message));
  }
}
