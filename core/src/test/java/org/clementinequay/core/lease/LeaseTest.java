package org.clementinequay.core.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.core.config.UpstreamKind;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryTableService;
import org.clementinequay.core.time.ManualClock;
import org.clementinequay.core.time.RuntimeClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of leases, and of orders that are sent under a lease. */
public class LeaseTest {
  private static final LeaseTiming TIMING = LeaseTiming.PRODUCTION;
  private static final Duration TAKE_OVER_DELAY = TIMING.duration().plus(TIMING.takeOverMargin());
  private static final String DUTY = "rollouts";

  /** Injects faults and actions into selected calls of the table service. */
  private static final class Faults implements CallHook {
    private String operationToLose = "";
    private boolean down;
    private Runnable beforeNextCommit = () -> {};
    private Runnable afterNextRead = () -> {};

    @Override
    public void beforeEffect(String operation) throws PlatformException {
      if (down) {
        throw new PlatformUnavailableException("down");
      }
      if (operation.equals("commit")) {
        Runnable action = beforeNextCommit;
        beforeNextCommit = () -> {};
        action.run();
      }
    }

    @Override
    public void afterEffect(String operation) throws PlatformException {
      if (operation.equals("read")) {
        Runnable action = afterNextRead;
        afterNextRead = () -> {};
        action.run();
      }
      if (operation.equals(operationToLose)) {
        operationToLose = "";
        throw new AnswerLostException("lost");
      }
    }
  }

  /** Fixture with a store and two candidates that share a clock. */
  private abstract static class Fixture {
    Faults faults;
    ManualClock clock;
    LeaseStore store;
    LeaseCandidate a;
    LeaseCandidate b;

    /** Creates the store and the candidates. */
    @BeforeMethod
    public void create() {
      faults = new Faults();
      clock = new ManualClock(Instant.parse("2026-12-04T12:00:00Z"));
      store = new LeaseStore(new InMemoryTableService(faults));
      a = candidate(1, clock);
      b = candidate(2, clock);
    }

    LeaseCandidate candidate(long seed, RuntimeClock candidateClock) {
      Incarnation self = Incarnation.random(new SplittableRandom(seed));
      return new LeaseCandidate(store, DUTY, self, TIMING, candidateClock);
    }

    static boolean stepUnchecked(LeaseCandidate candidate) {
      try {
        return candidate.step(true);
      } catch (PlatformException e) {
        throw new AssertionError(e);
      }
    }

    LeaseGuard guard(LeaseCandidate candidate) {
      return new LeaseGuard(DUTY, candidate::lease, TIMING.orderMargin());
    }
  }

  /** Change of the holder. */
  public static class TakeOver extends Fixture {
    /**
     * Guards against a take-over before the lease of a holder that stopped renewing has expired.
     */
    @Test
    public void waitsForDurationAndMargin() throws Exception {
      assertTrue(a.step(true));
      assertFalse(b.step(true));
      clock.advance(TAKE_OVER_DELAY.minusMillis(1));
      assertFalse(b.step(true));
      clock.advance(Duration.ofMillis(1));
      assertTrue(b.step(true));
      assertEquals(b.lease().get().fencingNumber(), a.lease().get().fencingNumber() + 1);
    }

    /** Guards against a waiting time that does not restart when the holder renews. */
    @Test
    public void renewalRestartsTheWaitingTime() throws Exception {
      assertTrue(a.step(true));
      assertFalse(b.step(true));
      for (int i = 0; i < 20; i++) {
        clock.advance(TIMING.renewalInterval());
        assertTrue(a.step(true));
        assertFalse(b.step(true));
      }
      assertEquals(a.lease().get().fencingNumber(), 1);
    }

    /** Guards against a holder that sends orders after a pause during which its lease expired. */
    @Test
    public void guardStopsHolderAfterAPause() throws Exception {
      assertTrue(a.step(true));
      b.step(true);
      guard(a).check();
      clock.advance(TAKE_OVER_DELAY);
      assertTrue(b.step(true));
      assertThrows(LeaseNotHeldException.class, () -> guard(a).check());
      assertFalse(a.step(true));
      assertEquals(a.lease(), Optional.empty());
      assertEquals(guard(b).check().fencingNumber(), 2);
    }

    /** Guards against an order that is sent when the lease is about to expire. */
    @Test
    public void guardRequiresItsMargin() throws Exception {
      assertTrue(a.step(true));
      clock.advance(TIMING.duration().minus(TIMING.orderMargin()));
      guard(a).check();
      clock.advance(Duration.ofNanos(1));
      assertThrows(LeaseNotHeldException.class, () -> guard(a).check());
    }

    /** Guards against two holders after two candidates wrote to the same row version. */
    @Test
    public void onlyOneOfTwoConcurrentCandidatesAcquires() throws Exception {
      faults.beforeNextCommit = () -> assertTrue(stepUnchecked(b));
      assertFalse(a.step(true));
      assertTrue(b.lease().isPresent());
      assertEquals(store.read(DUTY).get().lease().fencingNumber(), 1);
    }

    /** Guards against competing candidates while the preferred one is running. */
    @Test
    public void otherCandidatesWaitForThePreferredOne() throws Exception {
      assertFalse(a.step(false));
      assertTrue(b.step(true));
      clock.advance(TAKE_OVER_DELAY);
      assertFalse(a.step(false));
      LeaseCandidate c = candidate(3, clock);
      assertFalse(c.step(false));
      clock.advance(TAKE_OVER_DELAY);
      assertFalse(c.step(false));
      clock.advance(TIMING.nonPreferredDelay());
      assertTrue(c.step(false));
    }

    /** Guards against decisions that depend on wall clocks, which can be stepped. */
    @Test
    public void wallClockStepsChangeNothing() throws Exception {
      SteppedClock stepped = new SteppedClock(clock);
      LeaseCandidate holder = candidate(4, stepped);
      LeaseCandidate other = candidate(5, stepped);
      assertTrue(holder.step(true));
      assertFalse(other.step(true));
      stepped.offset = Duration.ofDays(365);
      assertFalse(other.step(true));
      assertTrue(holder.lease().get().remaining().equals(TIMING.duration()));
      stepped.offset = Duration.ofDays(-365);
      clock.advance(TAKE_OVER_DELAY);
      assertTrue(other.step(true));
      assertTrue(holder.lease().get().remaining().isZero());
    }
  }

  /** A clock whose wall-clock time can be stepped. */
  private static final class SteppedClock implements RuntimeClock {
    private final RuntimeClock base;
    private Duration offset = Duration.ZERO;

    private SteppedClock(RuntimeClock base) {
      this.base = base;
    }

    @Override
    public Instant now() {
      return base.now().plus(offset);
    }

    @Override
    public long nanoTime() {
      return base.nanoTime();
    }

    @Override
    public void sleep(Duration duration) throws InterruptedException {
      base.sleep(duration);
    }
  }

  /** Calls without an answer, and release of a lease. */
  public static class Faulty extends Fixture {
    /** Guards against a lease that stays unused because the answer to its take-over was lost. */
    @Test
    public void lostAnswerOfTakeOverIsReadBack() throws Exception {
      faults.operationToLose = "commit";
      assertTrue(a.step(true));
      assertEquals(a.lease().get().fencingNumber(), 1);
    }

    /**
     * Guards against a renewal with a lost answer that shortens or extends the validity wrongly.
     */
    @Test
    public void lostAnswerOfRenewalIsReadBack() throws Exception {
      assertTrue(a.step(true));
      clock.advance(TIMING.renewalInterval());
      faults.operationToLose = "commit";
      assertTrue(a.step(true));
      assertEquals(a.lease().get().remaining(), TIMING.duration());
      assertEquals(a.lease().get().fencingNumber(), 1);
    }

    /**
     * Guards against a validity that outlasts a candidate's waiting time. It would if a renewal
     * whose answer was lost were applied late and then mistaken for the next renewal.
     */
    @Test
    public void renewalAppliedLateDoesNotExtendTheValidity() throws Exception {
      assertTrue(a.step(true));
      clock.advance(TIMING.renewalInterval());
      LeaseStore.StoredLease before = store.read(DUTY).get();
      LeaseRecord renewal = before.lease().renewed(TIMING.duration());
      faults.afterNextRead =
          () -> {
            assertTrue(writeUnchecked(before.version(), renewal));
            assertFalse(stepUnchecked(b));
            clock.advance(TAKE_OVER_DELAY);
            faults.operationToLose = "commit";
          };
      assertFalse(a.step(true));
      assertTrue(b.step(true));
      assertThrows(LeaseNotHeldException.class, () -> guard(a).check());
    }

    private boolean writeUnchecked(long version, LeaseRecord lease) {
      try {
        return store.write(DUTY, version, lease);
      } catch (PlatformException e) {
        throw new AssertionError(e);
      }
    }

    /** Guards against a holder that continues after its lease expired during an outage. */
    @Test
    public void outageEndsTheLeaseInTime() throws Exception {
      assertTrue(a.step(true));
      faults.down = true;
      clock.advance(TIMING.renewalInterval());
      assertThrows(PlatformException.class, () -> a.step(true));
      guard(a).check();
      clock.advance(TIMING.duration());
      assertThrows(LeaseNotHeldException.class, () -> guard(a).check());
      faults.down = false;
      assertTrue(a.step(true));
      assertEquals(guard(a).check().fencingNumber(), 1);
    }

    /** Guards against a validity that is measured from after a slow renewal was sent. */
    @Test
    public void validityOfSlowRenewalStartsBeforeItWasSent() throws Exception {
      assertTrue(a.step(true));
      clock.advance(TIMING.renewalInterval());
      faults.beforeNextCommit = () -> clock.advance(Duration.ofSeconds(4));
      assertTrue(a.step(true));
      assertEquals(a.lease().get().remaining(), TIMING.duration().minusSeconds(4));
    }

    /** Guards against a graceful shutdown that leaves the duty idle until the lease expires. */
    @Test
    public void releasedLeaseIsAcquiredImmediately() throws Exception {
      assertTrue(a.step(true));
      a.release();
      assertThrows(LeaseNotHeldException.class, () -> guard(a).check());
      assertFalse(a.step(true));
      assertTrue(b.step(true));
      assertEquals(b.lease().get().fencingNumber(), 2);
    }
  }

  /** Orders that are sent under a lease. */
  public static class Orders extends Fixture {
    private static final Set<String> TARGET = Set.of("label@2");

    private static final class FakeOrderPort implements OrderPort {
      private final Set<String> loaded = new HashSet<>(Set.of("label@1"));
      private long greatestFencingNumber;
      private Runnable duringRead = () -> {};

      @Override
      public Set<String> versions(Upstream upstream) {
        duringRead.run();
        return loaded;
      }

      @Override
      public boolean send(Upstream upstream, Order order) {
        if (upstream.checksFencing() && order.fencingNumber() < greatestFencingNumber) {
          return false;
        }
        greatestFencingNumber = Math.max(greatestFencingNumber, order.fencingNumber());
        loaded.clear();
        loaded.addAll(order.versions());
        return true;
      }
    }

    private static Upstream upstream(boolean checksFencing) {
      return new Upstream(
          "engine", UpstreamKind.ENGINE, "127.0.0.1:1", "domain-1", List.of(), 1, checksFencing);
    }

    private FencedOrders orders(LeaseCandidate candidate, FakeOrderPort port) {
      return new FencedOrders(guard(candidate), port, () -> "order");
    }

    /** Guards against a late order of a former holder that reverts the new holder's order. */
    @Test
    public void waitsForFormerOrdersIfFencingIsIgnored() throws Exception {
      FakeOrderPort port = new FakeOrderPort();
      assertTrue(a.step(true));
      assertEquals(orders(a, port).reconcile(upstream(true), TARGET), FencedOrders.Result.ORDERED);
      port.loaded.clear();
      assertEquals(orders(a, port).reconcile(upstream(false), TARGET), FencedOrders.Result.WAITING);
      while (a.lease().get().heldFor().compareTo(FencedOrders.MAX_ORDER_DURATION) < 0) {
        clock.advance(TIMING.renewalInterval());
        assertTrue(a.step(true));
      }
      assertEquals(orders(a, port).reconcile(upstream(false), TARGET), FencedOrders.Result.ORDERED);
      assertEquals(
          orders(a, port).reconcile(upstream(false), TARGET), FencedOrders.Result.IN_TARGET_STATE);
    }

    /** Guards against an order that is sent although the lease expired during a slow read. */
    @Test
    public void checksLeaseAgainAfterReadingTheState() throws Exception {
      FakeOrderPort port = new FakeOrderPort();
      port.duringRead = () -> clock.advance(TIMING.duration());
      assertTrue(a.step(true));
      assertThrows(
          LeaseNotHeldException.class, () -> orders(a, port).reconcile(upstream(true), TARGET));
      assertEquals(port.loaded, Set.of("label@1"));
    }

    /** Guards against a refusal by the upstream that is treated as success. */
    @Test
    public void reportsRefusedFencingNumber() throws Exception {
      FakeOrderPort port = new FakeOrderPort();
      port.greatestFencingNumber = 9;
      assertTrue(a.step(true));
      assertEquals(orders(a, port).reconcile(upstream(true), TARGET), FencedOrders.Result.REFUSED);
    }
  }
}
