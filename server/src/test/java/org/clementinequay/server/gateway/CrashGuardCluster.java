package org.clementinequay.server.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.membership.Member;
import org.clementinequay.core.time.ManualClock;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;

/** Hosts that are linked as in production; messages arrive at once. */
final class CrashGuardCluster {
  private static final long STEP_MILLIS = 50;

  final ManualClock clock = new ManualClock(Instant.EPOCH);
  final Map<String, Host> hosts = new LinkedHashMap<>();
  final SplittableRandom random = new SplittableRandom(13);
  final Set<String> refusing = new HashSet<>();
  int upstreams;

  CrashGuardCluster(int hostCount, int domainCount) {
    List<Member> members = TestLinks.members(hostCount, domainCount);
    Map<String, Set<String>> linked = TestLinks.linked(members);
    members.forEach(
        member -> hosts.put(member.name(), new Host(this, member, linked.get(member.name()))));
  }

  Host host(int number) {
    return hosts.get("front-" + number);
  }

  Host anyHost() {
    return host(random.nextInt(hosts.size()));
  }

  void run(long millis) {
    for (long elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
      hosts.values().forEach(host -> host.task.step());
      clock.advance(Duration.ofMillis(STEP_MILLIS));
    }
  }

  UpstreamInstance newUpstream(boolean crashed) {
    String address = "10.0.0.1:" + ++upstreams;
    if (crashed) {
      refusing.add(address);
    }
    return new UpstreamInstance("u" + upstreams, "s", address, "d", "v1", 8, false, 1);
  }

  /** Lets an upstream crash that was sent requests with the prompts by hosts chosen at random. */
  @SafeVarargs
  final void crash(long attemptMillis, List<String>... prompts) {
    UpstreamInstance upstream = newUpstream(true);
    for (List<String> prompt : prompts) {
      anyHost().breakAttempt(upstream, attemptMillis, prompt);
    }
  }

  long hostsThatKeep(String part) {
    return hosts.values().stream().filter(host -> host.keeps(part)).count();
  }

  /** A host of the cluster. */
  static final class Host implements PeerBroadcast {
    final CrashGuardCluster cluster;
    final Member self;
    final Incarnation incarnation;
    final Set<String> linked;
    final Gateway gateway;
    final CrashGuardTask task;
    long sentBytes;

    Host(CrashGuardCluster cluster, Member self, Set<String> linked) {
      this.cluster = cluster;
      this.self = self;
      this.linked = linked;
      this.incarnation = Incarnation.random(cluster.random);
      this.gateway = GatewayFixture.idleGateway(self.name(), self.domain(), cluster.clock);
      this.task =
          new CrashGuardTask(
              gateway,
              this,
              address ->
                  cluster.refusing.contains(address)
                      ? UpstreamProbe.Result.REFUSED
                      : UpstreamProbe.Result.CONNECTED);
    }

    void breakAttempt(UpstreamInstance upstream, long attemptMillis, List<String> parts) {
      long start = cluster.clock.nanoTime() - Duration.ofMillis(attemptMillis).toNanos();
      gateway.crashGuard.attemptBroken(upstream, start, parts);
    }

    boolean keeps(String part) {
      return gateway.crashGuard.quarantined("s", List.of(part)).isPresent();
    }

    PeerNetwork.Peer peer() {
      return new PeerNetwork.Peer(incarnation, self.name(), self.domain(), "r", 1, 0, 0, false);
    }

    @Override
    public long broadcast(PeerMessage message, Predicate<PeerNetwork.Peer> receivers) {
      long bytes = 0;
      int frameBytes = TestLinks.frameBytes(message);
      for (String name : linked) {
        Host receiver = cluster.hosts.get(name);
        if (receivers.test(receiver.peer())) {
          receiver.task.received(peer(), message);
          bytes += frameBytes;
        }
      }
      sentBytes += bytes;
      return bytes;
    }
  }
}
