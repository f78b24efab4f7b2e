package org.clementinequay.server.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.clementinequay.server.pipeline.Exchange;

/**
 * Prometheus metrics of requests by client account and request class. Label values come only from
 * the configuration, and at most {@value #MAX_LABEL_SETS} pairs are kept, so that callers cannot
 * increase the number of time series without limit.
 */
public final class RouterMetrics {
  /** Maximum number of pairs with their own histograms; all further pairs share one set. */
  public static final int MAX_LABEL_SETS = 500;

  private static final String OTHER_LABEL = "other";
  private static final Duration MIN_EXPECTED_TIME = Duration.ofMillis(1);
  private static final Duration MAX_EXPECTED_TIME = Duration.ofMinutes(5);
  private static final double MAX_EXPECTED_COST_MICROS = 1e9;

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<Labels, Meters> meters = new ConcurrentHashMap<>();
  private final Map<String, Counter> counters = new ConcurrentHashMap<>();
  private final Map<String, Timer> timers = new ConcurrentHashMap<>();

  /** Records a finished request; without an account, it only counts as unauthenticated. */
  public void recordRequest(Exchange exchange, long nowNanos) {
    if (exchange.account() == null) {
      increment("clementinequay_unauthenticated_total", 1);
      return;
    }
    Labels labels = new Labels(exchange.account().name(), exchange.requestClassName());
    metersFor(labels).recordRequest(exchange, nowNanos);
    String reason = exchange.failure().map(f -> f.reason().code()).orElse("none");
    registry
        .counter(
            "clementinequay_requests_total",
            Tags.of("outcome", exchange.outcome().label(), "reason", reason))
        .increment();
  }

  /**
   * Records a finished request of a route, whose name becomes the value of the label {@code class}.
   *
   * @param status HTTP status, or 0 if the connection was closed without a complete answer
   * @param firstEventNanos time to the first event in nanoseconds, or 0 if there was none
   */
  public void recordRouteRequest(
      String account,
      String route,
      int status,
      String reason,
      long firstEventNanos,
      long totalNanos) {
    Meters routeMeters = metersFor(new Labels(account, route));
    routeMeters.total.record(totalNanos, TimeUnit.NANOSECONDS);
    if (firstEventNanos > 0) {
      routeMeters.firstToken.record(firstEventNanos, TimeUnit.NANOSECONDS);
    }
    registry
        .counter(
            "clementinequay_routed_total",
            Tags.of("status", Integer.toString(status), "reason", reason))
        .increment();
  }

  /** Records the time between two consecutive parts of a streamed answer. */
  public void recordStreamGap(Exchange exchange, long nanos) {
    metersFor(new Labels(exchange.account().name(), exchange.requestClassName()))
        .tokenGap
        .record(nanos, TimeUnit.NANOSECONDS);
  }

  /** Adds to a counter without labels. */
  public void increment(String name, long amount) {
    counters.computeIfAbsent(name, registry::counter).increment(amount);
  }

  /** Records a time in a histogram without labels. */
  public void recordTime(String name, long nanos) {
    timers
        .computeIfAbsent(name, key -> registerTimer(key, Tags.empty()))
        .record(nanos, TimeUnit.NANOSECONDS);
  }

  /** Registers a gauge whose value is read at each scrape. */
  public void registerGauge(String name, DoubleSupplier value) {
    io.micrometer.core.instrument.Gauge.builder(name, value::getAsDouble).register(registry);
  }

  /** Returns all metrics in the Prometheus text format. */
  public String scrape() {
    return registry.scrape();
  }

  /** Writes all metrics in the Prometheus text format. */
  public void scrape(OutputStream out) throws IOException {
    registry.scrape(out);
  }

  private Meters metersFor(Labels labels) {
    Meters existing = meters.get(labels);
    if (existing != null) {
      return existing;
    }
    Labels effectiveLabels =
        meters.size() < MAX_LABEL_SETS ? labels : new Labels(OTHER_LABEL, OTHER_LABEL);
    return meters.computeIfAbsent(effectiveLabels, this::registerMeters);
  }

  private Meters registerMeters(Labels labels) {
    Tags tags = Tags.of("account", labels.account, "class", labels.requestClass);
    return new Meters(
        registerTimer("clementinequay_first_token_seconds", tags),
        registerTimer("clementinequay_token_gap_seconds", tags),
        registerTimer("clementinequay_total_seconds", tags),
        DistributionSummary.builder("clementinequay_cost_micros")
            .tags(tags)
            .publishPercentileHistogram()
            .minimumExpectedValue(1.0)
            .maximumExpectedValue(MAX_EXPECTED_COST_MICROS)
            .register(registry));
  }

  private Timer registerTimer(String name, Tags tags) {
    return Timer.builder(name)
        .tags(tags)
        .publishPercentileHistogram()
        .minimumExpectedValue(MIN_EXPECTED_TIME)
        .maximumExpectedValue(MAX_EXPECTED_TIME)
        .register(registry);
  }

  private record Labels(String account, String requestClass) {}

  private record Meters(Timer firstToken, Timer tokenGap, Timer total, DistributionSummary cost) {
    private void recordRequest(Exchange exchange, long nowNanos) {
      total.record(nowNanos - exchange.receivedNanos(), TimeUnit.NANOSECONDS);
      exchange
          .timeToFirstTokenNanos()
          .ifPresent(nanos -> firstToken.record(nanos, TimeUnit.NANOSECONDS));
      cost.record(exchange.costMicros());
    }
  }
}
