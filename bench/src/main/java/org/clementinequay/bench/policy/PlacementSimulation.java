package org.clementinequay.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.function.DoubleConsumer;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;
import org.clementinequay.bench.policy.EngineModel.Job;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.placement.DispatchPriority;
import org.clementinequay.core.placement.LoadReport;
import org.clementinequay.core.placement.PlacementPolicy;
import org.clementinequay.core.placement.PlacementRequest;
import org.clementinequay.core.placement.UpstreamTracker;
import org.clementinequay.core.placement.UpstreamView;

/** Runs a placement policy on every entry host against simulated engines on a virtual clock. */
final class PlacementSimulation {
  private static final double DURATION_SECONDS = 300;
  private static final double WARM_UP_SECONDS = 60;
  private static final double GOSSIP_INTERVAL_SECONDS = 0.2;
  private static final double REPORT_INTERVAL_SECONDS = 1;
  private static final double REPORT_LAG_SECONDS = 1;
  private static final double[] CLASS_SHARES = {0.15, 0.30, 0.55};
  private static final int[] MEAN_TOKENS = {800, 40, 120};
  private static final double[] DEADLINE_SECONDS = {60, 4, 10};
  private static final int PREFIXES_PER_CLASS = 10;

  private final Deployment deployment;
  private final double load;
  private final PlacementPolicy policy;
  private final boolean urgentFirst;
  private final RandomGenerator random;
  private final List<EngineModel> engines = new ArrayList<>();
  private final UpstreamTracker[] trackers = new UpstreamTracker[Deployment.HOST_SIZES.length];
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::time).thenComparingLong(Event::number));
  private final Histogram[] latency = {new Histogram(3), new Histogram(3), new Histogram(3)};
  private final int[] lateJobs = new int[3];
  private long eventNumber;
  private long jobs;
  private long otherDomainJobs;
  private double arrivalsPerSecond;

  PlacementSimulation(
      Deployment deployment,
      double load,
      PlacementPolicy policy,
      boolean urgentFirst,
      RandomGenerator random) {
    this.deployment = deployment;
    this.load = load;
    this.policy = policy;
    this.urgentFirst = urgentFirst;
    this.random = random;
    double mean = 0;
    for (int c = 0; c < MEAN_TOKENS.length; c++) {
      mean += CLASS_SHARES[c] * MEAN_TOKENS[c];
    }
    for (int i = 0; i < deployment.slots.length; i++) {
      EngineModel engine =
          new EngineModel(
              "engine-" + i,
              "domain-" + i % Deployment.DOMAINS,
              deployment.millisPerToken[i],
              deployment.slots[i]);
      engines.add(engine);
      arrivalsPerSecond += load * engine.slots * 1000 / engine.meanMillis(mean);
    }
    for (int h = 0; h < trackers.length; h++) {
      trackers[h] = new UpstreamTracker();
      for (int d = 0; d < Deployment.DOMAINS; d++) {
        double millis = d == h % Deployment.DOMAINS ? 0.1 : deployment.domainRoundTripMillis;
        trackers[h].recordRoundTrip("domain-" + d, (long) (millis * 1e6));
      }
    }
  }

  void run() {
    schedule(0, this::arrive);
    schedule(0, this::gossip);
    schedule(0, this::reportLoad);
    while (!events.isEmpty() && events.peek().time <= DURATION_SECONDS) {
      Event event = events.poll();
      event.action.accept(event.time);
    }
    // Jobs still queued at the end count with the time they have waited so far.
    for (EngineModel engine : engines) {
      engine.queue.forEach(job -> record(job, DURATION_SECONDS));
    }
  }

  private void arrive(double now) {
    schedule(now + random.nextExponential() / arrivalsPerSecond, this::arrive);
    Job job = new Job();
    job.number = ++jobs;
    job.classIndex = weightedIndex(CLASS_SHARES);
    job.host = weightedIndex(Deployment.HOST_SIZES);
    job.expectedTokens = MEAN_TOKENS[job.classIndex];
    job.tokens =
        (int)
            Math.max(
                1, MEAN_TOKENS[job.classIndex] * Math.exp(0.3 * random.nextGaussian() - 0.045));
    job.prefix =
        job.classIndex * 100L + weightedIndex(CascadeWorkload.ACCOUNT_WEIGHTS) % PREFIXES_PER_CLASS;
    job.arrivedAt = now;
    job.deadline = now + DEADLINE_SECONDS[job.classIndex];
    long millis = (long) (1000 * DEADLINE_SECONDS[job.classIndex]);
    job.priority = urgentFirst ? DispatchPriority.of(job.classIndex, millis) : job.classIndex;
    List<UpstreamView> views = new ArrayList<>();
    for (EngineModel e : engines) {
      views.add(trackers[job.host].view(e.name, e.domain, e.slots, toNanos(now)));
    }
    PlacementRequest request =
        new PlacementRequest(
            toNanos(now),
            job.classIndex,
            millis,
            EngineModel.PROMPT_TOKENS,
            job.expectedTokens,
            OptionalLong.of(job.prefix));
    String chosen = policy.choose(request, views).orElseThrow().upstream();
    job.engine = engines.stream().filter(e -> e.name.equals(chosen)).findFirst().orElseThrow();
    boolean local = job.engine.domain.equals("domain-" + job.host % Deployment.DOMAINS);
    otherDomainJobs += local ? 0 : 1;
    job.roundTripSeconds =
        (deployment.clientRoundTripMillis + (local ? 0.1 : deployment.domainRoundTripMillis))
            / 1000;
    trackers[job.host].recordStart(chosen, job.expectedTokens);
    schedule(now + job.roundTripSeconds / 2, t -> enqueue(job, t));
  }

  private void enqueue(Job job, double now) {
    job.engine.queue.add(job);
    startNext(job.engine, now);
  }

  private void startNext(EngineModel engine, double now) {
    while (engine.runningJobs < engine.slots && !engine.queue.isEmpty()) {
      Job job = engine.queue.poll();
      double millis = engine.start(job);
      schedule(now + millis / 1000, t -> finish(job, t));
    }
  }

  private void finish(Job job, double now) {
    EngineModel engine = job.engine;
    engine.runningJobs--;
    trackers[job.host].recordEnd(engine.name, job.expectedTokens);
    trackers[job.host].recordSpeed(
        engine.name, job.tokens, (long) (job.tokens * engine.millisPerToken * 1e6));
    record(job, now + job.roundTripSeconds / 2);
    startNext(engine, now);
  }

  private void record(Job job, double now) {
    if (job.arrivedAt >= WARM_UP_SECONDS) {
      latency[job.classIndex].recordValue(Math.max(0, Math.round((now - job.arrivedAt) * 1000)));
      lateJobs[job.classIndex] += now > job.deadline ? 1 : 0;
    }
  }

  private void gossip(double now) {
    schedule(now + GOSSIP_INTERVAL_SECONDS, this::gossip);
    for (int from = 0; from < trackers.length; from++) {
      Incarnation peer = new Incarnation(String.format("%032x", from + 1));
      int sender = from;
      trackers[from]
          .ownOutstanding()
          .forEach(
              (upstream, count) -> {
                for (int to = 0; to < trackers.length; to++) {
                  if (to != sender) {
                    trackers[to].recordPeerOutstanding(peer, upstream, count, toNanos(now));
                  }
                }
              });
    }
  }

  private void reportLoad(double now) {
    schedule(now + REPORT_INTERVAL_SECONDS, this::reportLoad);
    for (EngineModel engine : engines) {
      LoadReport report =
          new LoadReport(engine.runningJobs, engine.queue.size(), 0, toNanos(now) + 1);
      schedule(
          now + REPORT_LAG_SECONDS,
          t -> {
            for (UpstreamTracker tracker : trackers) {
              tracker.recordLoadReport(engine.name, report);
            }
          });
    }
  }

  double percentile(int classIndex, double percent) {
    return latency[classIndex].getValueAtPercentile(percent);
  }

  List<Object> row(String name) {
    List<Object> row = new ArrayList<>(List.of(name, load));
    for (int classIndex = 0; classIndex < MEAN_TOKENS.length; classIndex++) {
      row.add(latency[classIndex].getValueAtPercentile(50));
      row.add(latency[classIndex].getValueAtPercentile(95));
      row.add(latency[classIndex].getValueAtPercentile(99));
      if (classIndex == 1) {
        row.add(Results.round(lateJobs[1] / (double) latency[1].getTotalCount(), 4));
      }
    }
    double totalHits = engines.stream().mapToInt(e -> e.cacheHits).sum();
    row.add(Results.round(totalHits / engines.stream().mapToInt(e -> e.startedJobs).sum(), 3));
    row.add(Results.round(otherDomainJobs / (double) jobs, 3));
    return row;
  }

  private int weightedIndex(double[] weights) {
    double sum = 0;
    for (double weight : weights) {
      sum += weight;
    }
    double draw = random.nextDouble() * sum;
    int index = 0;
    while (index < weights.length - 1 && draw >= weights[index]) {
      draw -= weights[index++];
    }
    return index;
  }

  private void schedule(double time, DoubleConsumer action) {
    events.add(new Event(time, ++eventNumber, action));
  }

  private static long toNanos(double seconds) {
    return (long) (seconds * 1e9);
  }

  private record Event(double time, long number, DoubleConsumer action) {}
}
