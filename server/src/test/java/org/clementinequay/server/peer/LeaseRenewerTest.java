package org.clementinequay.server.peer;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.Optional;
import java.util.SplittableRandom;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.lease.LeaseGuard;
import org.clementinequay.core.lease.LeaseStore;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryTableService;
import org.clementinequay.core.time.ManualClock;
import org.testng.annotations.Test;

/** Tests of the renewal of leases and of the preference for duties. */
public class LeaseRenewerTest {
  /** Guards against a lease that stays held after its holder has withdrawn or shut down. */
  @Test
  public void handsOverOnWithdrawalAndClose() throws Exception {
    ManualClock clock = new ManualClock(Instant.EPOCH);
    LeaseStore store = new LeaseStore(new InMemoryTableService(CallHook.NONE));
    SplittableRandom random = new SplittableRandom(1);
    LeaseRenewer a = new LeaseRenewer(store, Incarnation.random(random), duty -> true, clock);
    LeaseRenewer b = new LeaseRenewer(store, Incarnation.random(random), duty -> true, clock);
    LeaseGuard guard = a.becomeCandidate("one");
    a.becomeCandidate("two");
    b.becomeCandidate("one");
    b.becomeCandidate("two");
    a.step();
    b.step();
    assertEquals(guard.check().fencingNumber(), 1);
    assertEquals(b.lease("one"), Optional.empty());
    a.withdraw("one");
    b.step();
    assertTrue(b.lease("one").isPresent());
    assertEquals(b.lease("two"), Optional.empty());
    a.close();
    b.step();
    assertEquals(b.lease("two").get().fencingNumber(), 2);
  }

  /** Guards against a duty with two preferred hosts, and a leaving host that is still preferred. */
  @Test
  public void prefersOneHostThatStays() throws Exception {
    try (TestHost a = new TestHost("a", 1);
        TestHost b = new TestHost("b", 2)) {
      a.setHostList(b.entry());
      Await.until("linked", () -> a.isLinkedTo(b) && b.isLinkedTo(a));
      DutyPreference preferenceOfA = new DutyPreference(a.identity, a.network);
      DutyPreference preferenceOfB = new DutyPreference(b.identity, b.network);
      int dutiesOfA = 0;
      for (int i = 0; i < 50; i++) {
        assertTrue(
            preferenceOfA.isPreferred("duty-" + i) != preferenceOfB.isPreferred("duty-" + i));
        dutiesOfA += preferenceOfA.isPreferred("duty-" + i) ? 1 : 0;
      }
      assertTrue(dutiesOfA > 0 && dutiesOfA < 50);
      a.content = new HeartbeatContent(0, true, 0, 0);
      Await.until(
          "leaving is known", () -> b.network.peers().stream().allMatch(PeerNetwork.Peer::leaving));
      for (int i = 0; i < 50; i++) {
        assertTrue(preferenceOfB.isPreferred("duty-" + i));
      }
      assertFalse(b.network.peers().isEmpty());
    }
  }
}
