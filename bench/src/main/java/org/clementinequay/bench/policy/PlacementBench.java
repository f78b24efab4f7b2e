package org.clementinequay.bench.policy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import org.clementinequay.core.placement.EstimatedCompletionPolicy;
import org.clementinequay.core.placement.Placement;
import org.clementinequay.core.placement.PlacementPolicy;
import org.clementinequay.core.placement.PlacementRequest;
import org.clementinequay.core.placement.TwoChoicesPolicy;
import org.clementinequay.core.placement.UpstreamView;

/** Compares the latency of placement policies in each deployment at several loads. */
final class PlacementBench {
  private static final double[] LOADS = {0.5, 0.8, 0.95, 1.2};
  private final Results results;

  PlacementBench(Results results) {
    this.results = results;
  }

  void run() throws IOException {
    for (Deployment deployment : Deployment.values()) {
      List<List<Object>> rows = new ArrayList<>();
      SvgPlot plot =
          new SvgPlot("Sheets, 95th percentile, " + deployment.label, "load", "milliseconds", true);
      addSeries(rows, plot, deployment, "random", true, PlacementBench::random);
      addSeries(rows, plot, deployment, "least reported load", true, r -> leastReported());
      addSeries(rows, plot, deployment, "two choices", true, TwoChoicesPolicy::new);
      addSeries(
          rows,
          plot,
          deployment,
          "estimated completion",
          true,
          r -> new EstimatedCompletionPolicy());
      addSeries(
          rows,
          plot,
          deployment,
          "estimated, strict class order",
          false,
          r -> new EstimatedCompletionPolicy());
      addSeries(
          rows,
          plot,
          deployment,
          "estimated, no affinity",
          true,
          r -> withoutAffinity(new EstimatedCompletionPolicy()));
      results.table(
          deployment.label + ": latency in milliseconds by class",
          List.of(
              "policy",
              "load",
              "sheet p50",
              "sheet p95",
              "sheet p99",
              "flag p50",
              "flag p95",
              "flag p99",
              "flag late",
              "tag p50",
              "tag p95",
              "tag p99",
              "cache hits",
              "other domain"),
          rows);
      results.plot("placement-" + deployment.label, plot);
    }
  }

  private void addSeries(
      List<List<Object>> rows,
      SvgPlot plot,
      Deployment deployment,
      String name,
      boolean urgentFirst,
      Function<RandomGenerator, PlacementPolicy> policy) {
    double[] p95 = new double[LOADS.length];
    for (int i = 0; i < LOADS.length; i++) {
      PlacementSimulation simulation =
          new PlacementSimulation(
              deployment,
              LOADS[i],
              policy.apply(results.random(7)),
              urgentFirst,
              results.random(i));
      simulation.run();
      rows.add(simulation.row(name));
      p95[i] = simulation.percentile(0, 95);
    }
    plot.addLine(name, LOADS, p95);
  }

  private static PlacementPolicy random(RandomGenerator random) {
    return (request, views) ->
        Optional.of(Placement.withoutEstimate(views.get(random.nextInt(views.size())).name()));
  }

  private static PlacementPolicy leastReported() {
    return (request, views) -> {
      UpstreamView best = views.get(0);
      for (UpstreamView view : views) {
        if (reported(view) < reported(best)) {
          best = view;
        }
      }
      return Optional.of(Placement.withoutEstimate(best.name()));
    };
  }

  private static double reported(UpstreamView view) {
    return view.report().map(r -> r.outstanding() / (double) view.slots()).orElse(0.0);
  }

  private static PlacementPolicy withoutAffinity(PlacementPolicy policy) {
    return (request, views) ->
        policy.choose(
            new PlacementRequest(
                request.nowNanos(),
                request.priority(),
                request.remainingMillis(),
                request.promptTokens(),
                request.completionTokens(),
                OptionalLong.empty()),
            views);
  }
}
