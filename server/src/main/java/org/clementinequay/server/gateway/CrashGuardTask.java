package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Predicate;
import org.clementinequay.core.quarantine.CrashReport;
import org.clementinequay.core.quarantine.PartQuarantine;
import org.clementinequay.core.quarantine.SharedPart;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;

/**
 * Tells crashed upstreams from lost connections, exchanges what is known about crashes with the
 * peers, and puts parts of prompts in quarantine. The load that it answers is a part that comes at
 * any host: a single host sees too few of the crashes. What a host has seen goes to all its links;
 * what comes from another failure domain is passed on within the own one, so that each host hears
 * of it over at most two links.
 */
final class CrashGuardTask implements PeerNetwork.Listener {
  private static final Duration INTERVAL = Duration.ofMillis(50);

  /** Time between messages with all quarantined parts, for links that lost a message. */
  private static final long REPEAT_NANOS = 2_000_000_000L;

  private static final double NANOS_PER_MILLI = 1e6;

  private final Gateway gateway;
  private final CrashGuard guard;
  private final PeerBroadcast links;
  private final UpstreamProbe probe;
  private final ConcurrentLinkedQueue<CrashReport> reportsToPassOn = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<SharedPart> clearedToPassOn = new ConcurrentLinkedQueue<>();
  private long lastRepeatNanos;

  CrashGuardTask(Gateway gateway, PeerBroadcast links, UpstreamProbe probe) {
    this.gateway = gateway;
    this.guard = gateway.crashGuard;
    this.links = links;
    this.probe = probe;
    this.lastRepeatNanos = gateway.clock.nanoTime();
  }

  Duration step() {
    guard.endExpired();
    List<CrashReport> crashes = confirmCrashes(guard.takeBroken());
    crashes.forEach(guard::recordCrash);
    List<SharedPart> added = guard.quarantineNamed();
    added.forEach(this::logAndEndRequests);
    send(crashes, guard.takeCleared(), quarantinesToSend(!added.isEmpty()), peer -> true);
    send(drain(reportsToPassOn), drain(clearedToPassOn), List.of(), this::isNear);
    return INTERVAL;
  }

  /** Returns the reports on upstreams whose processes have ended. */
  private List<CrashReport> confirmCrashes(List<CrashGuard.BrokenAttempt> broken) {
    if (broken.isEmpty()) {
      return List.of();
    }
    Map<String, UpstreamProbe.Result> results =
        probe.probeAll(broken.stream().map(CrashGuard.BrokenAttempt::address).toList());
    List<CrashReport> confirmed = new ArrayList<>();
    for (CrashGuard.BrokenAttempt attempt : broken) {
      if (results.get(attempt.address()) == UpstreamProbe.Result.REFUSED) {
        confirmed.add(attempt.report());
        gateway.log.record(
            "upstream_crashed",
            "id",
            attempt.report().upstream(),
            "service",
            attempt.report().service(),
            "prompt",
            attempt.report().partIds());
      }
    }
    return confirmed;
  }

  private void logAndEndRequests(SharedPart part) {
    gateway.log.record("prompt_part_quarantined", "service", part.service(), "part", part.id());
    gateway.activeRequests.forEach(RequestForwarder::endIfQuarantined);
  }

  private List<PartQuarantine.Entry> quarantinesToSend(boolean changed) {
    long now = gateway.clock.nanoTime();
    if (!changed && now - lastRepeatNanos < REPEAT_NANOS) {
      return List.of();
    }
    lastRepeatNanos = now;
    return guard.quarantinedParts();
  }

  private static <T> List<T> drain(ConcurrentLinkedQueue<T> queue) {
    List<T> drained = new ArrayList<>();
    for (T next = queue.poll(); next != null; next = queue.poll()) {
      drained.add(next);
    }
    return drained;
  }

  private boolean isNear(PeerNetwork.Peer peer) {
    return peer.domain().equals(gateway.domain);
  }

  private void send(
      List<CrashReport> crashes,
      List<SharedPart> cleared,
      List<PartQuarantine.Entry> quarantined,
      Predicate<PeerNetwork.Peer> receivers) {
    if (crashes.isEmpty() && cleared.isEmpty() && quarantined.isEmpty()) {
      return;
    }
    long now = gateway.clock.nanoTime();
    links.broadcast(
        new PeerMessage.CrashNews(
            crashes.stream().map(report -> encode(report, now)).toList(),
            cleared.stream().map(p -> new PeerMessage.PromptPartName(p.service(), p.id())).toList(),
            quarantined.stream()
                .map(
                    entry ->
                        new PeerMessage.QuarantinedPart(
                            entry.part().service(),
                            entry.part().id(),
                            entry.remaining().toMillis()))
                .toList()),
        receivers);
  }

  private static PeerMessage.UpstreamCrash encode(CrashReport report, long now) {
    return new PeerMessage.UpstreamCrash(
        report.service(),
        report.upstream(),
        (now - report.startNanos()) / NANOS_PER_MILLI,
        (now - report.crashNanos()) / NANOS_PER_MILLI,
        report.partIds());
  }

  private static CrashReport decode(PeerMessage.UpstreamCrash crash, long now) {
    return new CrashReport(
        crash.service(),
        crash.upstream(),
        now - (long) (crash.startAgeMillis() * NANOS_PER_MILLI),
        now - (long) (crash.crashAgeMillis() * NANOS_PER_MILLI),
        crash.parts());
  }

  @Override
  public void received(PeerNetwork.Peer from, PeerMessage message) {
    if (!(message instanceof PeerMessage.CrashNews news)) {
      return;
    }
    boolean passOn = !isNear(from);
    long now = gateway.clock.nanoTime();
    for (PeerMessage.UpstreamCrash crash : news.crashes()) {
      CrashReport report = decode(crash, now);
      if (guard.recordCrash(report) && passOn) {
        reportsToPassOn.add(report);
      }
    }
    for (PeerMessage.PromptPartName name : news.cleared()) {
      SharedPart part = new SharedPart(name.service(), name.id());
      if (guard.clear(part) && passOn) {
        clearedToPassOn.add(part);
      }
    }
    for (PeerMessage.QuarantinedPart entry : news.quarantined()) {
      SharedPart part = new SharedPart(entry.service(), entry.id());
      if (guard.quarantine(part, Duration.ofMillis(entry.remainingMillis()))) {
        logAndEndRequests(part);
      }
    }
  }

  /**
   * Tells a host that has just been linked, for instance after its start, all quarantined parts.
   */
  @Override
  public void linked(PeerNetwork.Peer peer) {
    send(
        List.of(),
        List.of(),
        guard.quarantinedParts(),
        other -> other.incarnation().equals(peer.incarnation()));
  }
}
