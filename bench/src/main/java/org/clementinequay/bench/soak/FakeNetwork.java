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
 * Simulated links between the hosts of a run. Messages on a link keep their order. A link whose
 * ends cannot reach each other drops its messages; after {@link #FAILURE_DETECTION_TIME} both ends
 * are told that it is down. A new link is established once they can reach each other again.
 */
final class FakeNetwork {
  private static final Duration FAILURE_DETECTION_TIME = Duration.ofSeconds(3);
  private static final Duration CHECK_INTERVAL = Duration.ofMillis(200);
  private static final Duration MAX_USUAL_DELAY = Duration.ofMillis(5);
  private static final Duration MAX_SLOW_DELAY = Duration.ofMillis(400);
  private static final Duration MAX_IDLE_WAIT = Duration.ofHours(1);

  /** During faults, one of this many messages is slow and delays the messages behind it. */
  private static final int SLOW_MESSAGE_ODDS = 50;

  /** During faults, one of this many checks makes a healthy link drop its messages. */
  private static final int SILENT_LINK_ODDS = 1_000;

  private final SoakRun run;
  private final List<Endpoint> endpoints = new ArrayList<>();
  private final Map<Set<Endpoint>, Link> links = new HashMap<>();
  private long deliveries;

  FakeNetwork(SoakRun run) {
    this.run = run;
    run.scheduler().process("network").start("detector", this::checkLinks);
  }

  /** Adds a host; its links are established by the next check. */
  Endpoint join(VirtualScheduler.Process process, Incarnation incarnation, String domain) {
    Endpoint endpoint = new Endpoint(process, incarnation, domain);
    endpoints.add(endpoint);
    process.start("peer reader", endpoint::deliverInbox);
    return endpoint;
  }

  private static final class Link {
    boolean up;
    boolean silent;
    long generation;
    long brokenSinceNanos = -1;
    final Map<Endpoint, Long> lastDueNanos = new HashMap<>();
  }

  /**
   * A message or a link state change in an inbox. The link of a state change is null, so that the
   * change is never dropped. The sequence orders deliveries that are due at the same time.
   */
  private record Delivery(
      long dueNanos, long sequence, Link link, long generation, Runnable action) {}

  private Link link(Endpoint first, Endpoint second) {
    return links.computeIfAbsent(Set.of(first, second), pair -> new Link());
  }

  private void checkLinks() {
    while (true) {
      run.scheduler().sleep(CHECK_INTERVAL);
      for (int i = 0; i < endpoints.size(); i++) {
        for (int j = i + 1; j < endpoints.size(); j++) {
          checkLink(endpoints.get(i), endpoints.get(j));
        }
      }
      endpoints.removeIf(endpoint -> endpoint.process.killed() && endpoint.isolated());
    }
  }

  private void checkLink(Endpoint first, Endpoint second) {
    Link link = link(first, second);
    long now = run.scheduler().nowNanos();
    link.silent |= !run.faultsEnded() && run.random().nextInt(SILENT_LINK_ODDS) == 0;
    boolean broken = link.silent || first.unreachable() || second.unreachable();
    if (!broken) {
      link.brokenSinceNanos = -1;
    } else if (link.brokenSinceNanos < 0) {
      link.brokenSinceNanos = now;
    }
    if (link.up && broken && now - link.brokenSinceNanos > FAILURE_DETECTION_TIME.toNanos()) {
      link.up = false;
      link.silent = false;
      link.generation++;
      first.notifyListeners(listener -> listener.unlinked(second.peer()));
      second.notifyListeners(listener -> listener.unlinked(first.peer()));
    } else if (!link.up && !first.unreachable() && !second.unreachable()) {
      link.up = true;
      link.silent = false;
      link.brokenSinceNanos = -1;
      first.notifyListeners(listener -> listener.linked(second.peer()));
      second.notifyListeners(listener -> listener.linked(first.peer()));
    }
  }

  /** The links of one host. */
  final class Endpoint implements PeerNetwork {
    private final VirtualScheduler.Process process;
    private final Incarnation incarnation;
    private final String domain;
    private final Set<Listener> listeners = new HashSet<>();
    private final ArrayDeque<Listener> orderedListeners = new ArrayDeque<>();
    private final PriorityQueue<Delivery> inbox =
        new PriorityQueue<>(
            Comparator.comparingLong(Delivery::dueNanos).thenComparing(Delivery::sequence));
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
          transmit(other, message);
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
        orderedListeners.add(listener);
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

    private void transmit(Endpoint to, PeerMessage message) {
      boolean announcement = message instanceof PeerMessage.RevisionAnnounced;
      if (announcement && run.hasMutant(Mutant.REVISION_NOT_ANNOUNCED)) {
        return;
      }
      Link link = link(this, to);
      boolean slow = !run.faultsEnded() && run.random().nextInt(SLOW_MESSAGE_ODDS) == 0;
      long maxDelayNanos = (slow ? MAX_SLOW_DELAY : MAX_USUAL_DELAY).toNanos();
      long earliestNanos = run.scheduler().nowNanos() + run.random().nextLong(maxDelayNanos);
      long dueNanos = Math.max(earliestNanos, link.lastDueNanos.getOrDefault(to, 0L));
      link.lastDueNanos.put(to, dueNanos);
      to.enqueue(dueNanos, link, () -> to.receive(this, message));
    }

    private void receive(Endpoint from, PeerMessage message) {
      if (message instanceof PeerMessage.Heartbeat heartbeat) {
        from.revision = Math.max(from.revision, heartbeat.revision());
      }
      orderedListeners.forEach(listener -> listener.received(from.peer(), message));
    }

    private void notifyListeners(Consumer<Listener> change) {
      enqueue(run.scheduler().nowNanos(), null, () -> orderedListeners.forEach(change));
    }

    private void enqueue(long dueNanos, Link link, Runnable action) {
      deliveries++;
      inbox.add(
          new Delivery(dueNanos, deliveries, link, link == null ? 0 : link.generation, action));
    }

    private void deliverInbox() {
      while (true) {
        run.scheduler().await(() -> !inbox.isEmpty(), MAX_IDLE_WAIT);
        long wait = inbox.isEmpty() ? 0 : inbox.peek().dueNanos() - run.scheduler().nowNanos();
        if (wait > 0) {
          run.scheduler().sleep(Duration.ofNanos(wait));
        }
        Delivery next = inbox.poll();
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
