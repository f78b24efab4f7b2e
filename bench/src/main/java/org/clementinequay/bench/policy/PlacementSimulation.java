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

/** Drives a placement policy on every entry host against modelled engines on a virtual clock. */
final class PlacementSimulation {
  private static final double SECONDS = 300;
  private static final double WARM_UP = 60;
  private static final double GOSSIP_SECONDS = 0.2;
  private static final double REPORT_SECONDS = 1;
  private static final double REPORT_LAG_SECONDS = 1;
  private static final double[] CLASS_PARTS = {0.15, 0.30, 0.55};
  private static final int[] TOKENS = {800, 40, 120};
  private static final double[] DEADLINES = {60, 4, 10};
  private static final int PREFIXES_PER_CLASS = 10;

  private final Deployment deployment;
  private final double load;
  private final PlacementPolicy policy;
  private final boolean promoted;
  private final RandomGenerator random;
  private final List<EngineModel> engines = new ArrayList<>();
  private final UpstreamTracker[] trackers = new UpstreamTracker[Deployment.HOST_SIZES.length];
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::time).thenComparingLong(Event::number));
  private final Histogram[] latency = {new Histogram(3), new Histogram(3), new Histogram(3)};
  private final int[] late = new int[3];
  private long eventNumber;
  private long jobs;
  private long elsewhere;
  private double ratePerSecond;

  PlacementSimulation(
      Deployment deployment,
      double load,
      PlacementPolicy policy,
      boolean promoted,
      RandomGenerator random) {
    this.deployment = deployment;
    this.load = load;
    this.policy = policy;
    this.promoted = promoted;
    this.random = random;
    double mean = 0;
    for (int c = 0; c < TOKENS.length; c++) {
      mean += CLASS_PARTS[c] * TOKENS[c];
    }
    for (int i = 0; i < deployment.slots.length; i++) {
      EngineModel engine =
          new EngineModel(
              "engine-" + i,
              "domain-" + i % Deployment.DOMAINS,
              deployment.millisPerToken[i],
              deployment.slots[i]);
      engines.add(engine);
      ratePerSecond += load * engine.slots * 1000 / engine.meanMillis(mean);
    }
    for (int h = 0; h < trackers.length; h++) {
      trackers[h] = new UpstreamTracker();
      for (int d = 0; d < Deployment.DOMAINS; d++) {
        double millis = d == h % Deployment.DOMAINS ? 0.1 : deployment.domainMillis;
        trackers[h].recordRoundTrip("domain-" + d, (long) (millis * 1e6));
      }
    }
  }

  void run() {
    at(0, this::arrive);
    at(0, this::gossip);
    at(0, this::report);
    while (!events.isEmpty() && events.peek().time <= SECONDS) {
      Event event = events.poll();
      event.action.accept(event.time);
    }
    // Work still waiting at the end counts with the time that it has waited so far.
    for (EngineModel engine : engines) {
      engine.queue.forEach(job -> record(job, SECONDS));
    }
  }

  private void arrive(double now) {
    at(now + random.nextExponential() / ratePerSecond, this::arrive);
    Job job = new Job();
    job.number = ++jobs;
    job.type = pick(CLASS_PARTS);
    job.host = pick(Deployment.HOST_SIZES);
    job.expectedTokens = TOKENS[job.type];
    job.tokens =
        (int) Math.max(1, TOKENS[job.type] * Math.exp(0.3 * random.nextGaussian() - 0.045));
    job.prefix = job.type * 100L + pick(CascadeWorkload.ACCOUNT_WEIGHTS) % PREFIXES_PER_CLASS;
    job.arrived = now;
    job.deadline = now + DEADLINES[job.type];
    long millis = (long) (1000 * DEADLINES[job.type]);
    job.priority = promoted ? DispatchPriority.of(job.type, millis) : job.type;
    List<UpstreamView> views = new ArrayList<>();
    for (EngineModel e : engines) {
      views.add(trackers[job.host].view(e.name, e.domain, e.slots, nanos(now)));
    }
    PlacementRequest request =
        new PlacementRequest(
            nanos(now),
            job.type,
            millis,
            EngineModel.PROMPT_TOKENS,
            job.expectedTokens,
            OptionalLong.of(job.prefix));
    String chosen = policy.choose(request, views).orElseThrow().upstream();
    job.engine = engines.stream().filter(e -> e.name.equals(chosen)).findFirst().orElseThrow();
    boolean local = job.engine.domain.equals("domain-" + job.host % Deployment.DOMAINS);
    elsewhere += local ? 0 : 1;
    job.distance = (deployment.clientMillis + (local ? 0.1 : deployment.domainMillis)) / 1000;
    trackers[job.host].recordStart(chosen, job.expectedTokens);
    at(now + job.distance / 2, t -> enqueue(job, t));
  }

  private void enqueue(Job job, double now) {
    job.engine.queue.add(job);
    startNext(job.engine, now);
  }

  private void startNext(EngineModel engine, double now) {
    while (engine.running < engine.slots && !engine.queue.isEmpty()) {
      Job job = engine.queue.poll();
      double millis = engine.start(job);
      at(now + millis / 1000, t -> finish(job, t));
    }
  }

  private void finish(Job job, double now) {
    EngineModel engine = job.engine;
    engine.running--;
    trackers[job.host].recordEnd(engine.name, job.expectedTokens);
    trackers[job.host].recordSpeed(
        engine.name, job.tokens, (long) (job.tokens * engine.millisPerToken * 1e6));
    record(job, now + job.distance / 2);
    startNext(engine, now);
  }

  private void record(Job job, double now) {
    if (job.arrived >= WARM_UP) {
      latency[job.type].recordValue(Math.max(0, Math.round((now - job.arrived) * 1000)));
      late[job.type] += now > job.deadline ? 1 : 0;
    }
  }

  private void gossip(double now) {
    at(now + GOSSIP_SECONDS, this::gossip);
    for (int from = 0; from < trackers.length; from++) {
      Incarnation peer = new Incarnation(String.format("%032x", from + 1));
      int sender = from;
      trackers[from]
          .ownOutstanding()
          .forEach(
              (upstream, count) -> {
                for (int to = 0; to < trackers.length; to++) {
                  if (to != sender) {
                    trackers[to].recordPeerOutstanding(peer, upstream, count, nanos(now));
                  }
                }
              });
    }
  }

  private void report(double now) {
    at(now + REPORT_SECONDS, this::report);
    for (EngineModel engine : engines) {
      LoadReport report = new LoadReport(engine.running, engine.queue.size(), 0, nanos(now) + 1);
      at(
          now + REPORT_LAG_SECONDS,
          t -> {
            for (UpstreamTracker tracker : trackers) {
              tracker.recordLoadReport(engine.name, report);
            }
          });
    }
  }

  double percentile(int type, double percent) {
    return latency[type].getValueAtPercentile(percent);
  }

  List<Object> row(String name) {
    List<Object> row = new ArrayList<>(List.of(name, load));
    for (int type = 0; type < TOKENS.length; type++) {
      row.add(latency[type].getValueAtPercentile(50));
      row.add(latency[type].getValueAtPercentile(95));
      row.add(latency[type].getValueAtPercentile(99));
      if (type == 1) {
        row.add(Results.round(late[1] / (double) latency[1].getTotalCount(), 4));
      }
    }
    double hits = engines.stream().mapToInt(e -> e.hits).sum();
    row.add(Results.round(hits / engines.stream().mapToInt(e -> e.started).sum(), 3));
    row.add(Results.round(elsewhere / (double) jobs, 3));
    return row;
  }

  private int pick(double[] weights) {
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

  private void at(double time, DoubleConsumer action) {
    events.add(new Event(time, ++eventNumber, action));
  }

  private static long nanos(double seconds) {
    return (long) (seconds * 1e9);
  }

  private record Event(double time, long number, DoubleConsumer action) {}
}
