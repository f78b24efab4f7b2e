package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.clementinequay.core.forward.UpstreamInstance;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against parts of prompts that crash upstreams for too long and against sound parts that
 * are kept from them, with random sizes, loads, crashes of many upstreams and lost connections. A
 * longer run has more seeds: {@code -Dcrash.guard.seeds=200}.
 */
public class CrashGuardSoakTest {
  private static final int DEFAULT_SEEDS = 8;
  private static final String BAD = "bad";
  private static final long STEP_MILLIS = 50;
  private static final long WARM_UP_MILLIS = 4000;
  private static final long DURATION_MILLIS = 40_000;
  private static final long STABLE_WINDOW_MILLIS = 3000;
  private static final int KNOWN_AFTER_CRASHES = 5;
  private static final int MAX_LATE_ARRIVALS = 3;
  private static final int MAX_ATTEMPTS = 3;

  /** Requests of a first part below which its share of begun answers says little. */
  private static final int MIN_REQUESTS = 20;

  @DataProvider
  public Object[][] seeds() {
    int count = Integer.getInteger("crash.guard.seeds", DEFAULT_SEEDS);
    Object[][] seeds = new Object[count][];
    for (int i = 0; i < count; i++) {
      seeds[i] = new Object[] {(long) i};
    }
    return seeds;
  }

  @Test(dataProvider = "seeds")
  public void crashingPartIsContainedAndSoundPartsAreServed(long seed) {
    Simulation simulation = new Simulation(seed);
    simulation.run();
    simulation.check();
  }

  // A sound part that happens to be in the queue of every engine that crashes is kept as well.
  @Test(groups = "known-red")
  public void soundPartBesideEveryCrashIsServed() {
    crashingPartIsContainedAndSoundPartsAreServed(403);
  }

  /** One attempt of a request at an engine. */
  private record Attempt(
      Call call, CrashGuardCluster.Host host, long sentMillis, long beginMillis) {}

  /** Engine slot whose process starts again under a new id after a crash. */
  private static final class Engine {
    private UpstreamInstance process;
    private long restartMillis = -1;
    private final List<Attempt> pending = new ArrayList<>();
  }

  private static final class Call {
    private final List<String> parts;
    private final long sentMillis;
    private int attempts;

    private Call(List<String> parts, long sentMillis) {
      this.parts = parts;
      this.sentMillis = sentMillis;
    }

    private boolean bad() {
      return parts.contains(BAD);
    }
  }

  private static final class Share {
    private int sent;
    private int begun;

    private double value() {
      return begun / (double) sent;
    }
  }

  private static final class Simulation {
    private final long seed;
    private final SplittableRandom random;
    private final CrashGuardCluster cluster;
    private final List<Engine> engines = new ArrayList<>();
    private final double soundPerStep;
    private final double badPerStep;
    private final int subjects;
    private final double waveChance;
    private final double resetChance;
    private final boolean badFirst;
    private final List<Long> crashMillis = new ArrayList<>();
    private final List<Long> badArrivalMillis = new ArrayList<>();
    private final Map<Call, Boolean> soundCalls = new LinkedHashMap<>();
    private long nowMillis;

    private Simulation(long seed) {
      this.seed = seed;
      this.random = new SplittableRandom(seed);
      this.cluster = new CrashGuardCluster(3 + random.nextInt(40), 3);
      int engineCount = 6 + random.nextInt(40);
      for (int i = 0; i < engineCount; i++) {
        Engine engine = new Engine();
        engine.process = cluster.newUpstream(false);
        engines.add(engine);
      }
      this.soundPerStep = 0.5 + random.nextDouble() * engineCount / 4;
      this.badPerStep = 0.02 + random.nextDouble() * 0.3;
      this.subjects = 10 + random.nextInt(300);
      this.waveChance = random.nextDouble() * 0.01;
      this.resetChance = random.nextDouble() * 0.2;
      this.badFirst = random.nextInt(3) == 0;
    }

    private void run() {
      while (nowMillis < DURATION_MILLIS) {
        restartEngines();
        arrive();
        crashMany();
        progress();
        cluster.run(STEP_MILLIS);
        nowMillis += STEP_MILLIS;
      }
    }

    private void restartEngines() {
      for (Engine engine : engines) {
        if (engine.restartMillis >= 0 && nowMillis >= engine.restartMillis) {
          engine.process = cluster.newUpstream(false);
          engine.restartMillis = -1;
        }
      }
    }

    private int draw(double mean) {
      return (int) mean + (random.nextDouble() < mean - (int) mean ? 1 : 0);
    }

    private void arrive() {
      for (int i = draw(soundPerStep); i > 0; i--) {
        String first = "first-" + random.nextInt(3);
        String subject = "subject-" + random.nextInt(subjects);
        Call call = new Call(List.of(first, subject), nowMillis);
        soundCalls.put(call, false);
        send(call, cluster.anyHost());
      }
      for (int i = nowMillis < WARM_UP_MILLIS ? 0 : draw(badPerStep); i > 0; i--) {
        send(new Call(badParts(), nowMillis), cluster.anyHost());
      }
    }

    /** Returns a prompt with the crashing part, which is the first or a later one. */
    private List<String> badParts() {
      return badFirst
          ? List.of(BAD, "subject-" + random.nextInt(subjects))
          : List.of("first-0", BAD);
    }

    private void send(Call call, CrashGuardCluster.Host host) {
      List<Engine> alive = engines.stream().filter(e -> e.restartMillis < 0).toList();
      if (call.attempts >= MAX_ATTEMPTS
          || alive.isEmpty()
          || call.parts.stream().anyMatch(host::keeps)) {
        return;
      }
      call.attempts++;
      Engine engine = alive.get(random.nextInt(alive.size()));
      long begin = nowMillis + 50 + (long) (random.nextDouble() * 50 * engine.pending.size());
      engine.pending.add(new Attempt(call, host, nowMillis, begin));
      if (call.bad()) {
        badArrivalMillis.add(nowMillis);
      }
    }

    private void crashMany() {
      if (random.nextDouble() < waveChance) {
        double share = 0.1 + 0.3 * random.nextDouble();
        engines.stream()
            .filter(e -> e.restartMillis < 0 && random.nextDouble() < share)
            .toList()
            .forEach(this::crash);
      }
    }

    private void progress() {
      for (Engine engine : engines) {
        for (Attempt attempt : List.copyOf(engine.pending)) {
          if (engine.pending.contains(attempt) && nowMillis >= attempt.beginMillis()) {
            begin(engine, attempt);
          }
        }
      }
    }

    private void begin(Engine engine, Attempt attempt) {
      if (attempt.call().bad()) {
        crashMillis.add(nowMillis);
        crash(engine);
        return;
      }
      engine.pending.remove(attempt);
      if (random.nextDouble() < resetChance) {
        breakOff(engine, attempt);
      } else {
        soundCalls.put(attempt.call(), true);
        attempt.host().gateway.crashGuard.answerBegun("s", attempt.call().parts);
      }
    }

    private void crash(Engine engine) {
      cluster.refusing.add(engine.process.address());
      engine.restartMillis = nowMillis + 1000 + random.nextInt(2000);
      List<Attempt> broken = List.copyOf(engine.pending);
      engine.pending.clear();
      broken.forEach(attempt -> breakOff(engine, attempt));
    }

    private void breakOff(Engine engine, Attempt attempt) {
      attempt
          .host()
          .breakAttempt(engine.process, nowMillis - attempt.sentMillis(), attempt.call().parts);
      send(attempt.call(), attempt.host());
    }

    private void check() {
      for (CrashGuardCluster.Host host : cluster.hosts.values()) {
        host.gateway.crashGuard.quarantinedParts().stream()
            .map(entry -> entry.part().id())
            .forEach(id -> assertEquals(id, BAD, "seed " + seed));
      }
      assertTrue(!crashMillis.isEmpty(), "seed " + seed + ": no crash");
      long known = crashMillis.get(Math.min(KNOWN_AFTER_CRASHES, crashMillis.size()) - 1);
      if (crashMillis.size() >= KNOWN_AFTER_CRASHES) {
        long late =
            badArrivalMillis.stream().filter(at -> at > known + STABLE_WINDOW_MILLIS).count();
        assertTrue(late <= MAX_LATE_ARRIVALS, "seed " + seed + ": " + late + " late arrivals");
      }
      for (int first = 0; first < 3; first++) {
        Share before = share("first-" + first, 0, WARM_UP_MILLIS);
        Share after =
            share("first-" + first, known + 2 * STABLE_WINDOW_MILLIS, DURATION_MILLIS - 2000);
        if (before.sent >= MIN_REQUESTS && after.sent >= MIN_REQUESTS) {
          assertTrue(
              after.value() >= before.value() / 2,
              "seed " + seed + ": " + after.value() + " begun, before " + before.value());
        }
      }
    }

    private Share share(String first, long fromMillis, long toMillis) {
      Share share = new Share();
      soundCalls.forEach(
          (call, begun) -> {
            boolean inSpan = call.sentMillis >= fromMillis && call.sentMillis < toMillis;
            if (inSpan && call.parts.contains(first)) {
              share.sent++;
              share.begun += begun ? 1 : 0;
            }
          });
      return share;
    }
  }
}
