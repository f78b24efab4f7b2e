package org.clementinequay.bench.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.DoubleConsumer;
import java.util.random.RandomGenerator;
import org.clementinequay.core.dispatch.RetryBudget;
import org.clementinequay.core.limit.Admission;
import org.clementinequay.core.limit.LoadShedder;
import org.clementinequay.core.placement.DispatchPriority;

/**
 * Simulates one pool of slots during a load surge. If a request has not started after half of its
 * remaining time, the router sends another attempt, and the earlier one stays in the queue as it
 * would on a silent connection. A refused caller tries again once, after the retry hint.
 */
final class SurgeSimulation {
  static final List<String> HEADER =
      List.of(
          "policy",
          "class",
          "offered/s in surge",
          "in time before",
          "during",
          "120-150",
          "after 150",
          "not run",
          "late or lost",
          "retries/request",
          "recovered after s");

  private static final int DURATION_SECONDS = 240;
  private static final int SURGE_START_SECOND = 60;
  private static final int SURGE_END_SECOND = 120;
  private static final int SLOTS = 40;
  private static final double SERVICE_SECONDS = 0.8;
  private static final double REQUESTS_PER_SECOND = 35;
  private static final double SURGE_FACTOR = 2.5;
  private static final double SNAPSHOT_INTERVAL_SECONDS = 0.5;
  private static final int MAX_ATTEMPTS = 3;
  private static final String[] CLASS_NAMES = {"sheet", "flag", "tag"};
  private static final double[] CLASS_SHARES = {0.15, 0.30, 0.55};
  private static final double[] DEADLINE_SECONDS = {20, 4, 10};

  private final boolean shedding;
  private final boolean retriesBudgeted;
  private final RandomGenerator random;
  private final LoadShedder shedder = new LoadShedder();
  private final RetryBudget retryBudget = new RetryBudget();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::time).thenComparingLong(Event::number));
  private final PriorityQueue<Attempt> queue =
      new PriorityQueue<>(
          Comparator.<Attempt>comparingInt(a -> a.request.priority)
              .thenComparingLong(a -> a.number));
  private final int[][] answeredInTime = new int[3][DURATION_SECONDS];
  private final int[][] offered = new int[3][DURATION_SECONDS];
  private final int[] notRun = new int[3];
  private final int[] arrivals = new int[3];
  private final double[] waitMillis = new double[3];
  private long lastNumber;
  private long requests;
  private long retries;
  private int running;

  SurgeSimulation(boolean shedding, boolean retriesBudgeted, RandomGenerator random) {
    this.shedding = shedding;
    this.retriesBudgeted = retriesBudgeted;
    this.random = random;
  }

  void run() {
    schedule(0, this::arrive);
    schedule(0, this::updateWaitEstimates);
    while (!events.isEmpty() && events.peek().time < DURATION_SECONDS) {
      Event event = events.poll();
      event.action.accept(event.time);
    }
  }

  private void arrive(double now) {
    boolean surge = now >= SURGE_START_SECOND && now < SURGE_END_SECOND;
    schedule(
        now + random.nextExponential() / (REQUESTS_PER_SECOND * (surge ? SURGE_FACTOR : 1)),
        this::arrive);
    double draw = random.nextDouble();
    int classIndex = draw < CLASS_SHARES[0] ? 0 : draw < CLASS_SHARES[0] + CLASS_SHARES[1] ? 1 : 2;
    Request request = new Request();
    request.classIndex = classIndex;
    request.deadline = now + DEADLINE_SECONDS[classIndex];
    request.priority =
        DispatchPriority.of(classIndex, (long) (1000 * DEADLINE_SECONDS[classIndex]));
    offered[classIndex][(int) now]++;
    arrivals[classIndex]++;
    admit(request, now, false);
  }

  private void admit(Request request, double now, boolean returning) {
    long remainingMillis = (long) (1000 * (request.deadline - now));
    double estimatedWaitMillis = waitMillis[request.priority];
    Admission admission =
        shedding
            ? shedder.admit(
                request.classIndex, remainingMillis, estimatedWaitMillis, (long) (now * 1e9))
            : Admission.ADMITTED;
    if (!admission.admitted()) {
      double retryAt = now + admission.retryAfter().toMillis() / 1e3;
      if (!returning && retryAt < request.deadline) {
        schedule(retryAt, t -> admit(request, t, true));
      } else {
        notRun[request.classIndex]++;
      }
      return;
    }
    requests++;
    request.estimatedWaitMillis = estimatedWaitMillis;
    request.admittedAt = now;
    retryBudget.recordRequest();
    send(request, now, 1);
  }

  private void send(Request request, double now, int attempt) {
    queue.add(new Attempt(request, ++lastNumber));
    startNext(now);
    double resendDelay = (request.deadline - now) / 2;
    schedule(
        now + resendDelay,
        t -> {
          boolean resend = !request.started && attempt < MAX_ATTEMPTS && t < request.deadline;
          if (resend && (!retriesBudgeted || retryBudget.tryRetry())) {
            retries++;
            send(request, t, attempt + 1);
          }
        });
  }

  private void startNext(double now) {
    while (running < SLOTS && !queue.isEmpty()) {
      Attempt attempt = queue.poll();
      recordStart(attempt.request, now);
      running++;
      double serviceSeconds = SERVICE_SECONDS * Math.exp(0.5 * random.nextGaussian() - 0.125);
      schedule(now + serviceSeconds, t -> finish(attempt.request, t));
    }
  }

  private void recordStart(Request request, double now) {
    if (!request.started) {
      request.started = true;
      double millis = 1000 * (now - request.admittedAt);
      shedder.recordWait(
          request.classIndex, request.estimatedWaitMillis, millis, (long) (now * 1e9));
    }
  }

  private void finish(Request request, double now) {
    running--;
    if (!request.answered && now <= request.deadline) {
      request.answered = true;
      answeredInTime[request.classIndex][(int) now]++;
    }
    startNext(now);
  }

  /**
   * Updates the wait estimates from the queue. The interval models the delay of the load reports
   * from which the entry hosts learn the length of the queue.
   */
  private void updateWaitEstimates(double now) {
    schedule(now + SNAPSHOT_INTERVAL_SECONDS, this::updateWaitEstimates);
    int[] ahead = new int[3];
    for (Attempt attempt : queue) {
      for (int p = attempt.request.priority; p < 3; p++) {
        ahead[p]++;
      }
    }
    for (int p = 0; p < 3; p++) {
      waitMillis[p] = ahead[p] * SERVICE_SECONDS * 1000 / SLOTS;
    }
  }

  List<List<Object>> rows(String name) {
    List<List<Object>> rows = new ArrayList<>();
    Object recoverySeconds = recoverySeconds();
    for (int classIndex = 0; classIndex < 3; classIndex++) {
      int total = 0;
      for (int value : answeredInTime[classIndex]) {
        total += value;
      }
      rows.add(
          List.of(
              name,
              CLASS_NAMES[classIndex],
              mean(offered[classIndex], SURGE_START_SECOND, SURGE_END_SECOND),
              mean(answeredInTime[classIndex], 20, SURGE_START_SECOND),
              mean(answeredInTime[classIndex], SURGE_START_SECOND, SURGE_END_SECOND),
              mean(answeredInTime[classIndex], SURGE_END_SECOND, 150),
              mean(answeredInTime[classIndex], 150, DURATION_SECONDS),
              notRun[classIndex],
              arrivals[classIndex] - total - notRun[classIndex],
              Results.round(retries / (double) requests, 4),
              recoverySeconds));
    }
    return rows;
  }

  /**
   * Returns the seconds from the end of the surge to the first five seconds with a mean goodput of
   * at least 95% of the mean before the surge, or {@code "never"}.
   */
  private Object recoverySeconds() {
    double[] perSecond = goodput();
    double normal = 0;
    for (int t = 20; t < SURGE_START_SECOND; t++) {
      normal += perSecond[t] / (SURGE_START_SECOND - 20);
    }
    for (int t = SURGE_END_SECOND; t + 5 <= DURATION_SECONDS; t++) {
      double sum = 0;
      for (int i = 0; i < 5; i++) {
        sum += perSecond[t + i] / 5;
      }
      if (sum >= 0.95 * normal) {
        return t - SURGE_END_SECOND;
      }
    }
    return "never";
  }

  double[] goodput() {
    double[] sum = new double[DURATION_SECONDS];
    for (int[] classCounts : answeredInTime) {
      for (int t = 0; t < DURATION_SECONDS; t++) {
        sum[t] += classCounts[t];
      }
    }
    return sum;
  }

  double[] seconds() {
    double[] result = new double[DURATION_SECONDS];
    for (int t = 0; t < DURATION_SECONDS; t++) {
      result[t] = t;
    }
    return result;
  }

  private static double mean(int[] values, int from, int to) {
    double sum = 0;
    for (int t = from; t < to; t++) {
      sum += values[t];
    }
    return Results.round(sum / (to - from), 1);
  }

  private void schedule(double time, DoubleConsumer action) {
    events.add(new Event(time, ++lastNumber, action));
  }

  private static final class Request {
    private int classIndex;
    private int priority;
    private double deadline;
    private double estimatedWaitMillis;
    private double admittedAt;
    private boolean started;
    private boolean answered;
  }

  private record Attempt(Request request, long number) {}

  private record Event(double time, long number, DoubleConsumer action) {}
}
