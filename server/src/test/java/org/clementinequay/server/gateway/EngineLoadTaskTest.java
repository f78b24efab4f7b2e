package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
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
import org.clementinequay.core.placement.EngineSelector;
import org.clementinequay.core.placement.PromptPrefix;
import org.clementinequay.core.time.ManualClock;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against reports that fill the links of many hosts, or that outlive their hosts. */
public class EngineLoadTaskTest {
  /** Bytes a second that a host may use for control. */
  private static final long CONTROL_BYTES_PER_SECOND = 25_000;

  private static final int ENGINES = 63;
  private final ManualClock clock = new ManualClock(Instant.EPOCH);
  private final SplittableRandom random = new SplittableRandom(5);
  private final Map<String, Host> hosts = new LinkedHashMap<>();

  private final class Host implements PeerBroadcast {
    private final Member self;
    private final Set<String> linked;
    private final Gateway gateway;
    private final EngineLoadTask task;
    private long sentBytes;

    private Host(Member self, Set<String> linked, int minHosts) {
      this.self = self;
      this.linked = linked;
      this.gateway = GatewayFixture.idleGateway(self.name(), self.domain(), clock);
      this.task = new EngineLoadTask(gateway, this, hosts::size, minHosts);
    }

    private PeerNetwork.Peer peer() {
      return new PeerNetwork.Peer(
          Incarnation.random(random), self.name(), self.domain(), "r", 1, 0, 0, false);
    }

    private void send(String engine) {
      EngineSelector.Choice choice =
          new EngineSelector.Choice(engine, 0, 250, 0, 7000, EngineSelector.Basis.LOAD);
      gateway.engineSelector.recordStart(choice, PromptPrefix.none(), Long.MAX_VALUE);
      gateway.engineSelector.recordTokenTime(engine, 4 + random.nextDouble());
    }

    private double heardMillis(String engine) {
      return gateway.engineSelector.exchange().others(1, clock.nanoTime()).entrySet().stream()
          .filter(entry -> entry.getKey().equals(engine))
          .mapToDouble(entry -> entry.getValue().workMillis())
          .sum();
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
  }

  private void step() {
    hosts.values().forEach(host -> host.task.step());
    clock.advance(Duration.ofSeconds(1));
  }

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{40, 3}, {111, 3}, {300, 3}};
  }

  @Test(dataProvider = "sizes")
  public void bytesOfAHostStayWithinItsBudget(int count, int domains) {
    createHosts(count, domains, 40);
    int seconds = 20;
    for (int i = 0; i < seconds; i++) {
      for (Host host : hosts.values()) {
        host.send("10.20.0." + random.nextInt(ENGINES));
        host.send("10.20.0." + random.nextInt(ENGINES));
      }
      step();
    }
    for (Host host : hosts.values()) {
      assertTrue(
          host.sentBytes <= seconds * CONTROL_BYTES_PER_SECOND,
          host.self.name() + " sent " + host.sentBytes + " bytes");
    }
  }

  @Test
  public void hostsOfADomainHearOfEachOtherAndNotOfOthers() {
    createHosts(6, 2, 6);
    hosts.get("front-0").send("e");
    step();
    step();
    assertEquals(hosts.get("front-2").heardMillis("e"), 250.0);
    assertEquals(hosts.get("front-1").heardMillis("e"), 0.0);
  }

  @Test
  public void reportOfAHostThatIsNotLinkedAnyMoreDoesNotCount() {
    createHosts(6, 2, 6);
    hosts.get("front-0").send("e");
    step();
    step();
    hosts.get("front-2").task.unlinked(hosts.get("front-0").peer());
    assertEquals(hosts.get("front-2").heardMillis("e"), 0.0);
  }

  @Test
  public void fewHostsSendNothing() {
    createHosts(6, 2, 7);
    hosts.values().forEach(host -> host.send("e"));
    step();
    step();
    hosts.values().forEach(host -> assertEquals(host.sentBytes, 0));
  }

  @Test
  public void malformedReportIsIgnored() {
    createHosts(6, 2, 6);
    step();
    EngineLoadTask task = hosts.get("front-0").task;
    PeerNetwork.Peer near = hosts.get("front-2").peer();
    PeerMessage.EngineWorkSum negative = new PeerMessage.EngineWorkSum("e", -5, -5, -5, -5);
    task.received(near, new PeerMessage.EngineLoad(true, null));
    task.received(near, new PeerMessage.EngineLoad(true, Arrays.asList(null, negative)));
    assertEquals(hosts.get("front-0").heardMillis("e"), 0.0);
  }
}
