package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.membership.Member;
import org.clementinequay.core.time.ManualClock;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against demand that fills the links of many hosts, or that outlives its hosts. */
public class AccountDemandTaskTest {
  /** Bytes a second that the reports of engine load leave of those for control. */
  private static final long BYTES_PER_SECOND = 9_000;

  private final ManualClock clock = new ManualClock(Instant.EPOCH);
  private final SplittableRandom random = new SplittableRandom(5);
  private final Map<String, Host> hosts = new LinkedHashMap<>();

  private final class Host implements PeerBroadcast {
    private final Member self;
    private final Set<String> linked;
    private final Gateway gateway;
    private final AccountDemandTask task;
    private long sentBytes;

    private Host(Member self, Set<String> linked, int minHosts) {
      this.self = self;
      this.linked = linked;
      this.gateway = GatewayFixture.idleGateway(self.name(), self.domain(), clock);
      this.task = new AccountDemandTask(gateway, this, hosts::size, minHosts);
    }

    private PeerNetwork.Peer peer() {
      return new PeerNetwork.Peer(
          Incarnation.random(random), self.name(), self.domain(), "r", 1, 0, 0, false);
    }

    private void send(String account, int requests) {
      for (int i = 0; i < requests; i++) {
        gateway.accountShares.recordRequest(account, 250, clock.nanoTime());
      }
    }

    private boolean over(String account) {
      return gateway.accountShares.exceedsShare(account, clock.nanoTime());
    }

    @Override
    public long broadcast(PeerMessage message, Predicate<PeerNetwork.Peer> receivers) {
      long bytes = 0;
      for (String name : linked) {
        Host receiver = hosts.get(name);
        if (receivers.test(receiver.peer())) {
          receiver.task.received(peer(), message);
          bytes += TestLinks.frameBytes(message);
        }
      }
      sentBytes += bytes;
      return bytes;
    }
  }

  private void createHosts(int count, int domains, int minHosts) {
    hosts.clear();
    List<Member> members = TestLinks.members(count, domains);
    Map<String, Set<String>> linked = TestLinks.linked(members);
    members.forEach(m -> hosts.put(m.name(), new Host(m, linked.get(m.name()), minHosts)));
    step();
    step();
  }

  private void step() {
    hosts.values().forEach(host -> host.task.step());
    clock.advance(Duration.ofSeconds(1));
  }

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{40}, {111}, {300}};
  }

  @Test(dataProvider = "sizes")
  public void bytesOfAHostStayBounded(int count) {
    createHosts(count, 3, 40);
    int seconds = 20;
    for (int i = 0; i < seconds; i++) {
      hosts.values().forEach(host -> host.send("account-" + random.nextInt(24), 1));
      step();
    }
    for (Host host : hosts.values()) {
      assertTrue(host.sentBytes > 0);
      assertTrue(
          host.sentBytes <= seconds * BYTES_PER_SECOND,
          host.self.name() + " sent " + host.sentBytes + " bytes");
    }
  }

  @Test
  public void demandCountsInItsDomainUntilItsHostIsGone() {
    createHosts(6, 2, 6);
    hosts.get("front-0").send("hot", 60);
    hosts.values().forEach(host -> host.send("small", 5));
    hosts.get("front-0").gateway.accountShares.recordContention(clock.nanoTime());
    step();
    assertTrue(hosts.get("front-2").over("hot"));
    assertFalse(hosts.get("front-2").over("small"));
    assertFalse(hosts.get("front-1").over("hot"), "other domain");
    hosts.get("front-2").task.unlinked(hosts.get("front-0").peer());
    assertFalse(hosts.get("front-2").over("hot"));
  }

  @Test
  public void fewHostsSendNothing() {
    createHosts(6, 2, 7);
    hosts.values().forEach(host -> host.send("hot", 60));
    step();
    hosts.values().forEach(host -> assertEquals(host.sentBytes, 0));
  }

  @Test
  public void malformedReportIsIgnored() {
    createHosts(6, 2, 6);
    Host host = hosts.get("front-0");
    host.send("small", 5);
    host.gateway.accountShares.recordContention(clock.nanoTime());
    PeerNetwork.Peer near = hosts.get("front-2").peer();
    PeerMessage.AccountWork huge = new PeerMessage.AccountWork("hot", 1e300, 1e300);
    host.task.received(near, new PeerMessage.AccountDemand(true, 0, true, null));
    host.task.received(
        near, new PeerMessage.AccountDemand(true, -1, true, Arrays.asList(null, huge)));
    assertFalse(host.over("hot"));
  }
}
