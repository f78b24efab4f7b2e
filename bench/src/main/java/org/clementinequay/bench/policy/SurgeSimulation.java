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
 * One pool of slots under a surge. An attempt that has not started after half of its time is sent
 * again by the router, and the first one stays in the queue as on a silent connection; a refused
 * caller comes back once, after the hint.
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

  private static final int SECONDS = 240;
  private static final int SURGE_FROM = 60;
  private static final int SURGE_TO = 120;
  private static final int SLOTS = 40;
  private static final double SERVICE_SECONDS = 0.8;
  private static final double RATE = 35;
  private static final double SURGE_FACTOR = 2.5;
  private static final double SNAPSHOT_SECONDS = 0.5;
  private static final int MOST_ATTEMPTS = 3;
  private static final String[] NAMES = {"sheet", "flag", "tag"};
  private static final double[] PARTS = {0.15, 0.30, 0.55};
  private static final double[] DEADLINES = {20, 4, 10};

  private final boolean shed;
  private final boolean budgeted;
  private final RandomGenerator random;
  private final LoadShedder shedder = new LoadShedder();
  private final RetryBudget budget = new RetryBudget();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::time).thenComparingLong(Event::number));
  private final PriorityQueue<Attempt> queue =
      new PriorityQueue<>(
          Comparator.<Attempt>comparingInt(a -> a.request.priority)
              .thenComparingLong(a -> a.number));
  private final int[][] good = new int[3][SECONDS];
  private final int[][] offered = new int[3][SECONDS];
  private final int[] notRun = new int[3];
  private final int[] seen = new int[3];
  private final double[] waitMillis = new double[3];
  private long numbers;
  private long requests;
  private long retries;
  private int running;

  SurgeSimulation(boolean shed, boolean budgeted, RandomGenerator random) {
    this.shed = shed;
    this.budgeted = budgeted;
    this.random = random;
  }

  void run() {
    at(0, this::arrive);
    at(0, this::snapshot);
    while (!events.isEmpty() && events.peek().time < SECONDS) {
      Event event = events.poll();
      event.action.accept(event.time);
    }
  }

  private void arrive(double now) {
    boolean surge = now >= SURGE_FROM && now < SURGE_TO;
    at(now + random.nextExponential() / (RATE * (surge ? SURGE_FACTOR : 1)), this::arrive);
    double draw = random.nextDouble();
    int type = draw < PARTS[0] ? 0 : draw < PARTS[0] + PARTS[1] ? 1 : 2;
    Request request = new Request();
    request.type = type;
    request.deadline = now + DEADLINES[type];
    request.priority = DispatchPriority.of(type, (long) (1000 * DEADLINES[type]));
    offered[type][(int) now]++;
    seen[type]++;
    admit(request, now, false);
  }

  private void admit(Request request, double now, boolean second) {
    long remaining = (long) (1000 * (request.deadline - now));
    double wait = waitMillis[request.priority];
    Admission admission =
        shed
            ? shedder.admit(request.type, remaining, wait, (long) (now * 1e9))
            : Admission.ADMITTED;
    if (!admission.admitted()) {
      double again = now + admission.retryAfter().toMillis() / 1e3;
      if (!second && again < request.deadline) {
        at(again, t -> admit(request, t, true));
      } else {
        notRun[request.type]++;
      }
      return;
    }
    requests++;
    request.estimate = wait;
    request.admitted = now;
    budget.recordRequest();
    send(request, now, 1);
  }

  private void send(Request request, double now, int attempt) {
    queue.add(new Attempt(request, ++numbers));
    startNext(now);
    double patience = (request.deadline - now) / 2;
    at(
        now + patience,
        t -> {
          boolean useful = !request.started && attempt < MOST_ATTEMPTS && t < request.deadline;
          if (useful && (!budgeted || budget.tryRetry())) {
            retries++;
            send(request, t, attempt + 1);
          }
        });
  }

  private void startNext(double now) {
    while (running < SLOTS && !queue.isEmpty()) {
      Attempt attempt = queue.poll();
      note(attempt.request, now);
      running++;
      double service = SERVICE_SECONDS * Math.exp(0.5 * random.nextGaussian() - 0.125);
      at(now + service, t -> finish(attempt.request, t));
    }
  }

  private void note(Request request, double now) {
    if (!request.started) {
      request.started = true;
      double millis = 1000 * (now - request.admitted);
      shedder.recordWait(request.type, request.estimate, millis, (long) (now * 1e9));
    }
  }

  private void finish(Request request, double now) {
    running--;
    if (!request.answered && now <= request.deadline) {
      request.answered = true;
      good[request.type][(int) now]++;
    }
    startNext(now);
  }

  /** The entry hosts learn the queue from load reports, so that their estimate lags. */
  private void snapshot(double now) {
    at(now + SNAPSHOT_SECONDS, this::snapshot);
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
    Object recovered = recoveredAfter();
    for (int type = 0; type < 3; type++) {
      int total = 0;
      for (int value : good[type]) {
        total += value;
      }
      rows.add(
          List.of(
              name,
              NAMES[type],
              mean(offered[type], SURGE_FROM, SURGE_TO),
              mean(good[type], 20, SURGE_FROM),
              mean(good[type], SURGE_FROM, SURGE_TO),
              mean(good[type], SURGE_TO, 150),
              mean(good[type], 150, SECONDS),
              notRun[type],
              seen[type] - total - notRun[type],
              Results.round(retries / (double) requests, 4),
              recovered));
    }
    return rows;
  }

  /** Seconds after the surge until five seconds together reach 95% of the normal goodput. */
  private Object recoveredAfter() {
    double[] all = goodput();
    double normal = 0;
    for (int t = 20; t < SURGE_FROM; t++) {
      normal += all[t] / (SURGE_FROM - 20);
    }
    for (int t = SURGE_TO; t + 5 <= SECONDS; t++) {
      double sum = 0;
      for (int i = 0; i < 5; i++) {
        sum += all[t + i] / 5;
      }
      if (sum >= 0.95 * normal) {
        return t - SURGE_TO;
      }
    }
    return "never";
  }

  double[] goodput() {
    double[] sum = new double[SECONDS];
    for (int[] perClass : good) {
      for (int t = 0; t < SECONDS; t++) {
        sum[t] += perClass[t];
      }
    }
    return sum;
  }

  double[] seconds() {
    double[] result = new double[SECONDS];
    for (int t = 0; t < SECONDS; t++) {
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

  private void at(double time, DoubleConsumer action) {
    events.add(new Event(time, ++numbers, action));
  }

  private static final class Request {
    private int type;
    private int priority;
    private double deadline;
    private double estimate;
    private double admitted;
    private boolean started;
    private boolean answered;
  }

  private record Attempt(Request request, long number) {}

  private record Event(double time, long number, DoubleConsumer action) {}
}
