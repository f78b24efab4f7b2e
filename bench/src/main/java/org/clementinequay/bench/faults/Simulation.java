package org.clementinequay.bench.faults;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryObjectStore;
import org.clementinequay.core.platform.memory.InMemoryTableService;
import org.clementinequay.core.time.ManualClock;

/** Discrete-event simulation of one run: virtual time, entry hosts, platform and faults. */
final class Simulation {
  /** Time until the load balancer stops sending requests to a killed host, in milliseconds. */
  private static final long BALANCER_DETECTION_MILLIS = 2_000;

  private static final long RESTART_DELAY_MILLIS = 10_000;
  private static final String[] HOST_DOMAINS = {"a", "b", "c", "a", "b", "c"};

  private record Event(long timeMillis, long sequence, Runnable action) {}

  final FaultScenario scenario;
  final SplittableRandom random;
  final ManualClock clock = new ManualClock(Instant.parse("2026-12-04T12:00:00Z"));
  final InMemoryTableService table = new InMemoryTableService(CallHook.NONE);
  final InMemoryObjectStore objects = new InMemoryObjectStore(CallHook.NONE);
  final List<SimulatedHost> hosts = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::timeMillis).thenComparingLong(Event::sequence));
  private long lastSequence;

  Simulation(FaultScenario scenario, long seed) {
    this.scenario = scenario;
    this.random = new SplittableRandom(seed);
    for (String domain : HOST_DOMAINS) {
      hosts.add(new SimulatedHost(this, domain));
    }
    for (int killNumber = 0; killNumber < scenario.kills(); killNumber++) {
      int index = killNumber % HOST_DOMAINS.length;
      long killIntervalMillis = scenario.windowMillis() / scenario.kills();
      // Kills in the middle of each interval, so that requests in flight are counted.
      scheduleAt(
          FaultScenario.FAULT_START_MILLIS
              + killNumber * killIntervalMillis
              + killIntervalMillis / 2,
          () -> kill(index));
    }
  }

  private void kill(int index) {
    hosts.get(index).kill();
    scheduleAfter(
        RESTART_DELAY_MILLIS, () -> hosts.set(index, new SimulatedHost(this, HOST_DOMAINS[index])));
  }

  long nowMillis() {
    return clock.nanoTime() / 1_000_000;
  }

  void scheduleAt(long timeMillis, Runnable action) {
    lastSequence++;
    events.add(new Event(Math.max(timeMillis, nowMillis()), lastSequence, action));
  }

  void scheduleAfter(long delayMillis, Runnable action) {
    scheduleAt(nowMillis() + delayMillis, action);
  }

  void run() {
    while (!events.isEmpty()) {
      Event event = events.remove();
      clock.advance(Duration.ofMillis(event.timeMillis() - nowMillis()));
      event.action().run();
    }
  }

  /** Returns a random host, which may be one that was killed less than the detection time ago. */
  SimulatedHost pickHost() {
    while (true) {
      SimulatedHost host = hosts.get(random.nextInt(hosts.size()));
      if (host.isAlive() || nowMillis() - host.killedAtMillis() < BALANCER_DETECTION_MILLIS) {
        return host;
      }
    }
  }

  Optional<SimulatedHost> findLinkedIssuer(SimulatedHost from, Incarnation issuer) {
    return hosts.stream()
        .filter(host -> host.isAlive() && host.incarnation().equals(issuer))
        .filter(host -> host == from || isLinked(from.domain(), host.domain()))
        .findAny();
  }

  private boolean isLinked(String first, String second) {
    boolean partitioned =
        scenario.isPartitioned(first, nowMillis()) || scenario.isPartitioned(second, nowMillis());
    return first.equals(second) || !partitioned;
  }
}
