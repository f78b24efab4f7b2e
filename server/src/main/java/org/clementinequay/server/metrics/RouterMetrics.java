package org.clementinequay.server.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.clementinequay.server.pipeline.Exchange;

/**
 * Metrics of requests by client account and class, in the form of Prometheus. Labels come only from
 * the configuration, and at most {@value #MAX_LABEL_SETS} pairs are kept, so that callers cannot
 * grow the set of series.
 */
public final class RouterMetrics {
  /** Most pairs of account and class with histograms of their own; further ones share one. */
  public static final int MAX_LABEL_SETS = 500;

  private static final String OTHER = "other";
  private static final Duration SHORTEST = Duration.ofMillis(1);
  private static final Duration LONGEST = Duration.ofMinutes(5);
  private static final double MAX_COST_MICROS = 1e9;

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Map<Labels, Meters> meters = new ConcurrentHashMap<>();
  private final Map<String, Counter> counters = new ConcurrentHashMap<>();
  private final Map<String, Timer> timers = new ConcurrentHashMap<>();

  /** Records a finished request. */
  public void recordRequest(Exchange exchange, long nowNanos) {
    if (exchange.account() == null) {
      increment("clementinequay_unauthenticated_total", 1);
      return;
    }
    Labels labels = new Labels(exchange.account().name(), exchange.requestClassName());
    meters(labels).finished(exchange, nowNanos);
    String reason = exchange.failure().map(f -> f.reason().code()).orElse("none");
    registry
        .counter(
            "clementinequay_requests_total",
            Tags.of("outcome", exchange.outcome().label(), "reason", reason))
        .increment();
  }

  /**
   * Records a finished request of a route.
   *
   * @param status HTTP status, or 0 if the connection was closed without a whole answer
   * @param firstNanos time to the first event, or 0 if there was none
   */
  public void recordRouteRequest(
      String account, String route, int status, String reason, long firstNanos, long totalNanos) {
    Meters found = meters(new Labels(account, route));
    found.total.record(totalNanos, TimeUnit.NANOSECONDS);
    if (firstNanos > 0) {
      found.firstToken.record(firstNanos, TimeUnit.NANOSECONDS);
    }
    registry
        .counter(
            "clementinequay_routed_total",
            Tags.of("status", Integer.toString(status), "reason", reason))
        .increment();
  }

  /** Records the time between two parts of a stream. */
  public void recordStreamGap(Exchange exchange, long nanos) {
    meters(new Labels(exchange.account().name(), exchange.requestClassName()))
        .gap
        .record(nanos, TimeUnit.NANOSECONDS);
  }

  /** Adds to a counter without labels. */
  public void increment(String name, long amount) {
    counters.computeIfAbsent(name, registry::counter).increment(amount);
  }

  /** Records a time in a histogram without labels. */
  public void recordTime(String name, long nanos) {
    timers
        .computeIfAbsent(name, key -> timer(key, Tags.empty()))
        .record(nanos, TimeUnit.NANOSECONDS);
  }

  /** Registers a value that is read when the metrics are read. */
  public void registerGauge(String name, DoubleSupplier value) {
    io.micrometer.core.instrument.Gauge.builder(name, value::getAsDouble).register(registry);
  }

  /** Returns all metrics in the text form of Prometheus. */
  public String scrape() {
    return registry.scrape();
  }

  private Meters meters(Labels labels) {
    Meters known = meters.get(labels);
    if (known != null) {
      return known;
    }
    Labels kept = meters.size() < MAX_LABEL_SETS ? labels : new Labels(OTHER, OTHER);
    return meters.computeIfAbsent(kept, this::register);
  }

  private Meters register(Labels labels) {
    Tags tags = Tags.of("account", labels.account, "class", labels.requestClass);
    return new Meters(
        timer("clementinequay_first_token_seconds", tags),
        timer("clementinequay_token_gap_seconds", tags),
        timer("clementinequay_total_seconds", tags),
        DistributionSummary.builder("clementinequay_cost_micros")
            .tags(tags)
            .publishPercentileHistogram()
            .minimumExpectedValue(1.0)
            .maximumExpectedValue(MAX_COST_MICROS)
            .register(registry));
  }

  private Timer timer(String name, Tags tags) {
    return Timer.builder(name)
        .tags(tags)
        .publishPercentileHistogram()
        .minimumExpectedValue(SHORTEST)
        .maximumExpectedValue(LONGEST)
        .register(registry);
  }

  private record Labels(String account, String requestClass) {}

  private record Meters(Timer firstToken, Timer gap, Timer total, DistributionSummary cost) {
    private void finished(Exchange exchange, long nowNanos) {
      total.record(nowNanos - exchange.receivedNanos(), TimeUnit.NANOSECONDS);
      exchange
          .timeToFirstTokenNanos()
          .ifPresent(nanos -> firstToken.record(nanos, TimeUnit.NANOSECONDS));
      cost.record(exchange.costMicros());
    }
  }
}
