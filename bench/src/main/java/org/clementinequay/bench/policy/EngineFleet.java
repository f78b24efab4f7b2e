package org.clementinequay.bench.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import org.clementinequay.core.placement.EngineSelector;
import org.clementinequay.core.placement.EngineWork;
import org.clementinequay.core.placement.PromptPrefix;

/**
 * Plays requests of many hosts on engines with continuous batching, in virtual time. An engine
 * repeats steps; in each it generates a token for every run and reads a chunk of one prompt.
 */
final class EngineFleet {
  static final double SECONDS = 40;
  private static final double WARM_UP_MILLIS = 5000;
  private static final int SLOTS = 32;
  private static final double STEP_MILLIS = 3.88;
  private static final double STEP_MILLIS_PER_RUN = 0.0276;
  private static final double PROMPT_TOKENS_PER_MILLI = 66.2;
  private static final int CHUNK_TOKENS = 2048;
  private static final int FIRST_EVENT_TOKENS = 7;
  static final int MEMORY_TOKENS = 584_111;
  private static final double LARGE_MODEL_SHARE = 0.35;
  private static final double SHORT_READ_MILLIS = 300;

  /** Kinds of requests. */
  private enum Kind {
    LONG(0.23, 6610, 512, 4870, 384, 802, 3000),
    SHORT(0.385, 628, 119, 79, 291, 1351, 3000),
    TAG(0.385, 1800, 341, 227, 23, 899, 4000);

    private final double share;
    private final int uniqueTokens;
    private final int commonTokens;
    private final int subjectTokens;
    private final int outputTokens;
    private final int subjects;
    private final double objectiveMillis;

    Kind(double share, int unique, int common, int subject, int output, int subjects, double ms) {
      this.share = share;
      this.uniqueTokens = unique;
      this.commonTokens = common;
      this.subjectTokens = subject;
      this.outputTokens = output;
      this.subjects = subjects;
      this.objectiveMillis = ms;
    }

    private double meanMillis() {
      double prompt = (uniqueTokens + commonTokens + subjectTokens) / PROMPT_TOKENS_PER_MILLI;
      return prompt + outputTokens * (STEP_MILLIS + SLOTS * STEP_MILLIS_PER_RUN) / SLOTS;
    }
  }

  /** A request of a host. */
  static final class Request {
    final int host;
    final EngineWork work;
    final PromptPrefix prefix;
    final double arrivedMillis;
    private final Kind kind;
    private final double pace;
    private double promptLeft;
    private double outputLeft;
    private boolean begun;
    EngineSelector.Choice choice;

    private Request(
        int host, Kind kind, double pace, PromptPrefix prefix, int[] tokens, double at) {
      this.host = host;
      this.kind = kind;
      this.pace = pace;
      this.prefix = prefix;
      this.work = new EngineWork(prefix.tokens() + tokens[0], tokens[1], pace, MEMORY_TOKENS);
      this.arrivedMillis = at;
      this.outputLeft = tokens[1];
    }
  }

  /** Decides for the hosts. */
  interface Router {
    EngineSelector.Choice choose(Request request, List<String> engines, double nowMillis);

    default void ended(Request request, double millisPerToken) {}

    default void tick(double nowMillis) {}
  }

  /**
   * Figures of one run; times to the first event in milliseconds.
   *
   * @param shortP99 of the prompts that an engine reads within {@value #SHORT_READ_MILLIS} ms
   */
  record Result(double p50, double p99, double shortP99, double lateShare, double rereadShare) {}

  private record Event(double at, long number, Runnable action) {}

  private final int hosts;
  private final double load;
  private final Router router;
  private double hotShare;
  private final SplittableRandom random = new SplittableRandom(7);
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          (a, b) -> a.at == b.at ? Long.compare(a.number, b.number) : Double.compare(a.at, b.at));
  private final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();
  private final List<Double> firstEvents = new ArrayList<>();
  private final List<Double> shortFirstEvents = new ArrayList<>();
  private final Set<String> readSomewhere = new HashSet<>();
  private long number;
  private int late;
  private long readAgain;
  private long kept;
  private double now;

  EngineFleet(int hosts, int engineCount, double[] speeds, double load, Router router) {
    this.hosts = hosts;
    this.load = load;
    this.router = router;
    for (int i = 0; i < engineCount; i++) {
      engines.put("10.20.0." + i, new SimulatedEngine(speeds[i % speeds.length]));
    }
  }

  /** Makes a share of the requests of each kind ask for the same subject. */
  void setHotShare(double share) {
    hotShare = share;
  }

  Result run() {
    schedule(0, this::arrive);
    schedule(0, this::tick);
    while (!events.isEmpty() && events.peek().at < SECONDS * 1000) {
      Event event = events.poll();
      now = event.at;
      event.action.run();
    }
    for (SimulatedEngine engine : engines.values()) {
      engine.runs.forEach(this::countUnfinished);
      engine.queue.forEach(this::countUnfinished);
    }
    firstEvents.sort(null);
    shortFirstEvents.sort(null);
    return new Result(
        quantile(firstEvents, 0.5),
        quantile(firstEvents, 0.99),
        quantile(shortFirstEvents, 0.99),
        late / (double) firstEvents.size(),
        readAgain / (double) Math.max(1, readAgain + kept));
  }

  /** Returns the work in milliseconds that an engine has left, as only an oracle knows it. */
  double remainingMillis(String engine, Request request) {
    SimulatedEngine simulated = engines.get(engine);
    return (simulated.remainingMillis()
            + request.work.weight()
                * (request.work.promptTokens() - simulated.cachedTokens(request.prefix))
                / PROMPT_TOKENS_PER_MILLI)
        / simulated.speed;
  }

  private static double quantile(List<Double> sorted, double q) {
    return sorted.get((int) (q * (sorted.size() - 1)));
  }

  private void countUnfinished(Request request) {
    if (!request.begun) {
      recordFirstEvent(request);
    }
  }

  private void recordFirstEvent(Request request) {
    if (request.arrivedMillis >= WARM_UP_MILLIS) {
      double millis = now - request.arrivedMillis;
      firstEvents.add(millis);
      if (request.work.prefillMillis(0) < SHORT_READ_MILLIS) {
        shortFirstEvents.add(millis);
      }
      late += millis > request.kind.objectiveMillis ? 1 : 0;
    }
  }

  private void tick() {
    router.tick(now);
    schedule(now + 50, this::tick);
  }

  private void arrive() {
    double speed = engines.values().stream().mapToDouble(e -> e.speed).sum();
    double meanPace = 0.3 + LARGE_MODEL_SHARE * (3.0 - 0.3);
    double meanMillis = 0;
    for (Kind kind : Kind.values()) {
      meanMillis += kind.share * meanPace * kind.meanMillis();
    }
    schedule(now - Math.log(1 - random.nextDouble()) * meanMillis / speed / load, this::arrive);
    Request request = nextRequest();
    request.choice = router.choose(request, List.copyOf(engines.keySet()), now);
    engines.get(request.choice.engine()).accept(request);
  }

  private Request nextRequest() {
    double draw = random.nextDouble();
    Kind kind = draw < Kind.LONG.share ? Kind.LONG : draw < 0.615 ? Kind.SHORT : Kind.TAG;
    double pace = random.nextDouble() < LARGE_MODEL_SHARE ? 3.0 : 0.3;
    boolean hot = random.nextDouble() < hotShare;
    int subject = hot ? 0 : (int) (kind.subjects * Math.pow(random.nextDouble(), 1.4));
    PromptPrefix prefix =
        new PromptPrefix(
            "m" + pace,
            List.of(
                new PromptPrefix.Part(kind.name(), kind.commonTokens),
                new PromptPrefix.Part(kind.name() + subject, kind.subjectTokens)));
    int[] tokens = {spread(kind.uniqueTokens), spread(kind.outputTokens)};
    return new Request(random.nextInt(hosts), kind, pace, prefix, tokens, now);
  }

  private int spread(int mean) {
    return (int) Math.max(1, -Math.log(1 - random.nextDouble()) * mean);
  }

  private void schedule(double at, Runnable action) {
    events.add(new Event(at, number++, action));
  }

  private final class SimulatedEngine {
    private final double speed;
    private final List<Request> runs = new ArrayList<>();
    private final Queue<Request> queue = new ArrayDeque<>();
    private final Map<String, Integer> cache = new LinkedHashMap<>(16, 0.75f, true);
    private long cacheTokens;
    private boolean stepping;

    private SimulatedEngine(double speed) {
      this.speed = speed;
    }

    private void accept(Request request) {
      queue.add(request);
      if (!stepping) {
        stepping = true;
        step();
      }
    }

    private double remainingMillis() {
      double sum = 0;
      for (Request request : queue) {
        sum += request.work.millis(0);
      }
      for (Request request : runs) {
        double perToken = STEP_MILLIS / SLOTS;
        sum +=
            request.pace
                * (request.promptLeft / PROMPT_TOKENS_PER_MILLI + request.outputLeft * perToken);
      }
      return sum;
    }

    private void step() {
      while (runs.size() < SLOTS && !queue.isEmpty()) {
        admit(queue.poll());
      }
      if (runs.isEmpty()) {
        stepping = false;
        return;
      }
      double millis = STEP_MILLIS + runs.size() * STEP_MILLIS_PER_RUN;
      double chunk = CHUNK_TOKENS;
      for (Request run : runs) {
        double read = Math.min(chunk, run.promptLeft);
        run.promptLeft -= read;
        chunk -= read;
        millis += read * run.pace / PROMPT_TOKENS_PER_MILLI;
      }
      schedule(now + millis / speed, this::endStep);
    }

    private int cachedTokens(PromptPrefix prefix) {
      int cached = 0;
      StringBuilder key = new StringBuilder(prefix.model());
      for (PromptPrefix.Part part : prefix.parts()) {
        if (!cache.containsKey(key.append('/').append(part.id()).toString())) {
          break;
        }
        cached += part.tokens();
      }
      return cached;
    }

    private void admit(Request request) {
      int cached = cachedTokens(request.prefix);
      request.promptLeft = request.work.promptTokens() - cached;
      int known = 0;
      StringBuilder key = new StringBuilder(request.prefix.model());
      for (PromptPrefix.Part part : request.prefix.parts()) {
        key.append('/').append(part.id());
        known += readSomewhere.add(key.toString()) ? 0 : part.tokens();
        cacheTokens += cache.put(key.toString(), part.tokens()) == null ? part.tokens() : 0;
      }
      Iterator<Integer> eldest = cache.values().iterator();
      while (cacheTokens > MEMORY_TOKENS) {
        cacheTokens -= eldest.next();
        eldest.remove();
      }
      kept += cached;
      readAgain += Math.max(0, known - cached);
      runs.add(request);
    }

    private void endStep() {
      for (Request run : List.copyOf(runs)) {
        if (run.promptLeft > 0) {
          continue;
        }
        run.outputLeft -= 1 / run.pace;
        if (!run.begun && run.work.outputTokens() - run.outputLeft >= FIRST_EVENT_TOKENS
            || run.outputLeft <= 0) {
          if (!run.begun) {
            run.begun = true;
            recordFirstEvent(run);
          }
        }
        if (run.outputLeft <= 0) {
          runs.remove(run);
          router.ended(run, (STEP_MILLIS + runs.size() * STEP_MILLIS_PER_RUN) / speed);
        }
      }
      step();
    }
  }
}
