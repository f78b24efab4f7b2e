package org.clementinequay.bench.soak;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import org.clementinequay.core.Incarnation;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;

/**
 * Links between the hosts of a run. Messages of a link keep their order. A link whose ends cannot
 * reach each other goes silent: its messages are lost, and after a few seconds both ends are told
 * that it is down; a new one comes up when they reach each other again.
 */
final class FakeNetwork {
  private static final Duration DETECTION = Duration.ofSeconds(3);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);
  private static final Duration USUAL_DELAY = Duration.ofMillis(5);
  private static final Duration SLOW_DELAY = Duration.ofMillis(400);
  private static final Duration IDLE = Duration.ofHours(1);

  /** One message in this number is slow while there are faults; those behind it wait. */
  private static final int SLOW_ODDS = 50;

  /** One check in this number makes a healthy link silent while there are faults. */
  private static final int SILENCE_ODDS = 1_000;

  private final SoakRun run;
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final Map<Set<Endpoint>, Link> links = new HashMap<>();
  private long messages;

  FakeNetwork(SoakRun run) {
    this.run = run;
    run.scheduler().process("network").start("detector", this::detect);
  }

  /** Adds a host, whose links come up with the next check. */
  Endpoint join(VirtualScheduler.Process process, Incarnation incarnation, String domain) {
    Endpoint endpoint = new Endpoint(process, incarnation, domain);
    endpoints.add(endpoint);
    process.start("peer reader", endpoint::read);
    return endpoint;
  }

  private static final class Link {
    boolean up;
    boolean silent;
    long generation;
    long troubleSince = -1;
    final Map<Endpoint, Long> lastDue = new HashMap<>();
  }

  /** A message or change of a link; link changes have no link here and are never dropped. */
  private record Arrival(long due, long order, Link link, long generation, Runnable action) {}

  private Link link(Endpoint one, Endpoint other) {
    return links.computeIfAbsent(Set.of(one, other), pair -> new Link());
  }

  private void detect() {
    while (true) {
      run.scheduler().sleep(CHECK_INTERVAL);
      for (int i = 0; i < endpoints.size(); i++) {
        for (int j = i + 1; j < endpoints.size(); j++) {
          check(endpoints.get(i), endpoints.get(j));
        }
      }
      endpoints.removeIf(endpoint -> endpoint.process.killed() && endpoint.isolated());
    }
  }

  private void check(Endpoint one, Endpoint other) {
    Link link = link(one, other);
    long now = run.scheduler().nowNanos();
    link.silent |= !run.quiet() && run.random().nextInt(SILENCE_ODDS) == 0;
    boolean trouble = link.silent || one.unreachable() || other.unreachable();
    if (!trouble) {
      link.troubleSince = -1;
    } else if (link.troubleSince < 0) {
      link.troubleSince = now;
    }
    if (link.up && trouble && now - link.troubleSince > DETECTION.toNanos()) {
      link.up = false;
      link.silent = false;
      link.generation++;
      one.changed(listener -> listener.unlinked(other.peer()));
      other.changed(listener -> listener.unlinked(one.peer()));
    } else if (!link.up && !one.unreachable() && !other.unreachable()) {
      link.up = true;
      link.silent = false;
      link.troubleSince = -1;
      one.changed(listener -> listener.linked(other.peer()));
      other.changed(listener -> listener.linked(one.peer()));
    }
  }

  /** The links of one host. */
  final class Endpoint implements PeerNetwork {
    private final VirtualScheduler.Process process;
    private final Incarnation incarnation;
    private final String domain;
    private final Set<Listener> listeners = new HashSet<>();
    private final ArrayDeque<Listener> order = new ArrayDeque<>();
    private final PriorityQueue<Arrival> inbox =
        new PriorityQueue<>(Comparator.comparingLong(Arrival::due).thenComparing(Arrival::order));
    private long revision;

    private Endpoint(VirtualScheduler.Process process, Incarnation incarnation, String domain) {
      this.process = process;
      this.incarnation = incarnation;
      this.domain = domain;
    }

    @Override
    public List<Peer> peers() {
      return endpoints.stream()
          .filter(other -> other != this && link(this, other).up)
          .map(Endpoint::peer)
          .toList();
    }

    @Override
    public boolean send(Incarnation to, PeerMessage message) {
      for (Endpoint other : endpoints) {
        if (other.incarnation.equals(to) && other != this && link(this, other).up) {
          post(other, message);
          return true;
        }
      }
      return false;
    }

    @Override
    public void broadcast(PeerMessage message) {
      peers().forEach(peer -> send(peer.incarnation(), message));
    }

    @Override
    public void addListener(Listener listener) {
      if (listeners.add(listener)) {
        order.add(listener);
      }
    }

    private Peer peer() {
      return new Peer(incarnation, process.name(), domain, "region", 1, 1_000_000, revision, false);
    }

    private boolean unreachable() {
      return process.killed() || process.paused() || process.partitioned();
    }

    private boolean isolated() {
      return endpoints.stream().noneMatch(other -> other != this && link(this, other).up);
    }

    private void post(Endpoint to, PeerMessage message) {
      boolean revision = message instanceof PeerMessage.RevisionAnnounced;
      if (revision && run.mutated(Mutant.REVISION_NOT_ANNOUNCED)) {
        return;
      }
      Link link = link(this, to);
      boolean slow = !run.quiet() && run.random().nextInt(SLOW_ODDS) == 0;
      long longest = (slow ? SLOW_DELAY : USUAL_DELAY).toNanos();
      long earliest = run.scheduler().nowNanos() + run.random().nextLong(longest);
      long due = Math.max(earliest, link.lastDue.getOrDefault(to, 0L));
      link.lastDue.put(to, due);
      to.arrive(due, link, () -> to.receive(this, message));
    }

    private void receive(Endpoint from, PeerMessage message) {
      if (message instanceof PeerMessage.Heartbeat heartbeat) {
        from.revision = Math.max(from.revision, heartbeat.revision());
      }
      order.forEach(listener -> listener.received(from.peer(), message));
    }

    private void changed(Consumer<Listener> change) {
      arrive(run.scheduler().nowNanos(), null, () -> order.forEach(change));
    }

    private void arrive(long due, Link link, Runnable action) {
      messages++;
      inbox.add(new Arrival(due, messages, link, link == null ? 0 : link.generation, action));
    }

    private void read() {
      while (true) {
        run.scheduler().await(() -> !inbox.isEmpty(), IDLE);
        long wait = inbox.isEmpty() ? 0 : inbox.peek().due() - run.scheduler().nowNanos();
        if (wait > 0) {
          run.scheduler().sleep(Duration.ofNanos(wait));
        }
        Arrival next = inbox.poll();
        if (next == null) {
          continue;
        }
        Link link = next.link();
        if (link == null) {
          next.action().run();
        } else if (process.partitioned() || link.silent) {
          link.silent = true;
        } else if (link.generation == next.generation()) {
          next.action().run();
        }
      }
    }
  }
}
