package org.clementinequay.server.gateway;

import java.util.Locale;
import org.clementinequay.core.forward.ServiceProfile;
import org.clementinequay.core.ingress.IngressBudget;
import org.clementinequay.core.ingress.TurnAway;
import org.clementinequay.core.placement.EngineSelector;
import org.clementinequay.server.metrics.RouterMetrics;

/** Registers the gauges by which an operator sees the state of a host. */
final class GatewayGauges {
  private GatewayGauges() {}

  /** Registers what a host knows, and what it decided by that. */
  static void registerState(RouterMetrics metrics, Gateway gateway) {
    metrics.registerGauge("clementinequay_waiting_requests", gateway.waiting::size);
    metrics.registerGauge(
        "clementinequay_configuration_version",
        () -> gateway.configuration().map(c -> (double) c.version()).orElse(0.0));
    metrics.registerGauge(
        "clementinequay_upstream_list_age_seconds", () -> gateway.instanceListAgeNanos() / 1e9);
    metrics.registerGauge(
        "clementinequay_cold_upstreams",
        () -> gateway.coldStarts.coldUpstreams(gateway.clock.nanoTime()));
    metrics.registerGauge(
        "clementinequay_cold_start_slots",
        () -> gateway.coldStarts.shares(gateway.clock.nanoTime()));
    metrics.registerGauge(
        "clementinequay_cold_start_held_back", () -> gateway.coldStarts.heldBack());
    metrics.registerGauge(
        "clementinequay_evacuated_domains", () -> gateway.evacuated.names().size());
    metrics.registerGauge(
        "clementinequay_longest_evacuation_seconds",
        () -> gateway.evacuated.longestMillis(gateway.clock.nanoTime()) / 1e3);
    metrics.registerGauge(
        "clementinequay_quarantined_prompt_parts",
        () -> gateway.crashGuard.quarantinedParts().size());
    metrics.registerGauge(
        "clementinequay_accounts_over_share",
        () -> gateway.accountShares.accountsOverShare(gateway.clock.nanoTime()));
    metrics.registerGauge(
        "clementinequay_engine_load_hosts_heard",
        () -> gateway.engineSelector.exchange().heardHosts(gateway.clock.nanoTime()));
    metrics.registerGauge("clementinequay_answer_bytes", gateway.answerBudget::bytes);
    metrics.registerGauge("clementinequay_answers_displaced", gateway.answerBudget::displaced);
    metrics.registerGauge("clementinequay_long_prompt_engines", () -> longPromptEngines(gateway));
    for (EngineSelector.Basis basis : EngineSelector.Basis.values()) {
      metrics.registerGauge(
          "clementinequay_placements_by_" + basis.name().toLowerCase(Locale.ROOT),
          () -> gateway.engineSelector.choices(basis));
    }
  }

  private static int longPromptEngines(Gateway gateway) {
    return gateway.configuration().stream()
        .flatMap(configuration -> configuration.services().stream())
        .filter(service -> service.engine().isPresent())
        .map(ServiceProfile::name)
        .mapToInt(name -> gateway.promptLanes.longEngines(name, gateway.available(name).size()))
        .sum();
  }

  /** Registers what callers hold of a host and how many were turned away. */
  static void registerCallers(RouterMetrics metrics, IngressBudget callers, IngressTask ingress) {
    metrics.registerGauge("clementinequay_caller_bytes", callers::bytes);
    metrics.registerGauge("clementinequay_caller_connections", callers::connections);
    for (TurnAway limit : TurnAway.values()) {
      metrics.registerGauge(
          "clementinequay_turned_away_" + limit.label(), () -> ingress.turnedAway(limit));
    }
  }
}
