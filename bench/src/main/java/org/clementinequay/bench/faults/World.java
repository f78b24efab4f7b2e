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

/** Virtual time, the hosts and the faults of one run. */
final class World {
  /** Time after which the load balancer stops sending to a dead host, in milliseconds. */
  private static final long BALANCER_LAG = 2_000;

  private static final long RESTART_DELAY = 10_000;
  private static final String[] DOMAINS = {"a", "b", "c", "a", "b", "c"};

  private record Event(long at, long order, Runnable action) {}

  final FaultScenario scenario;
  final SplittableRandom random;
  final ManualClock clock = new ManualClock(Instant.parse("2026-12-04T12:00:00Z"));
  final InMemoryTableService table = new InMemoryTableService(CallHook.NONE);
  final InMemoryObjectStore objects = new InMemoryObjectStore(CallHook.NONE);
  final List<SimulatedHost> hosts = new ArrayList<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  private long order;

  World(FaultScenario scenario, long seed) {
    this.scenario = scenario;
    this.random = new SplittableRandom(seed);
    for (String domain : DOMAINS) {
      hosts.add(new SimulatedHost(this, domain));
    }
    for (int kill = 0; kill < scenario.kills(); kill++) {
      int index = kill % DOMAINS.length;
      long spacing = scenario.windowMillis() / scenario.kills();
      // In the middle of its part of the window, so that requests in flight are counted.
      at(FaultScenario.FAULT_START + kill * spacing + spacing / 2, () -> kill(index));
    }
  }

  private void kill(int index) {
    hosts.get(index).kill();
    after(RESTART_DELAY, () -> hosts.set(index, new SimulatedHost(this, DOMAINS[index])));
  }

  long now() {
    return clock.nanoTime() / 1_000_000;
  }

  void at(long time, Runnable action) {
    order++;
    events.add(new Event(Math.max(time, now()), order, action));
  }

  void after(long delay, Runnable action) {
    at(now() + delay, action);
  }

  void run() {
    while (!events.isEmpty()) {
      Event event = events.remove();
      clock.advance(Duration.ofMillis(event.at() - now()));
      event.action().run();
    }
  }

  /** Returns the host that the load balancer picks; it may have died a moment ago. */
  SimulatedHost pick() {
    while (true) {
      SimulatedHost host = hosts.get(random.nextInt(hosts.size()));
      if (host.alive() || now() - host.diedAt() < BALANCER_LAG) {
        return host;
      }
    }
  }

  Optional<SimulatedHost> linkedIssuer(SimulatedHost from, Incarnation issuer) {
    return hosts.stream()
        .filter(host -> host.alive() && host.incarnation().equals(issuer))
        .filter(host -> host == from || linked(from.domain(), host.domain()))
        .findAny();
  }

  private boolean linked(String one, String other) {
    boolean cut = scenario.cut(one, now()) || scenario.cut(other, now());
    return one.equals(other) || !cut;
  }
}
