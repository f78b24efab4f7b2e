package org.clementinequay.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.Predicate;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against requests to upstreams that left, and against losing upstreams whose entries only
 * expired during an outage of the store.
 */
public class InstanceDirectoryTest {
  private static final long SECOND = 1_000_000_000L;
  private static final Predicate<String> NONE_ACTIVE = id -> false;

  /** Later process with the id and the address of {@code instance("x", false)}. */
  private static final UpstreamInstance RESTARTED =
      new UpstreamInstance("x", "s", "10.0.0.1:80", "a", "v1", 4, false, 9);

  private static UpstreamInstance instance(String id, boolean leaving) {
    return new UpstreamInstance(id, "s", "10.0.0.1:80", "a", "v1", 4, leaving, 7);
  }

  private static List<UpstreamInstance> available(InstanceDirectory directory) {
    return directory.available().getOrDefault("s", List.of());
  }

  /** Readings without an outage. */
  public static class Steady {
    private InstanceDirectory directory;

    @BeforeMethod
    public void create() {
      directory = new InstanceDirectory();
      directory.update(List.of(instance("x", false), instance("y", false)), NONE_ACTIVE, 0);
    }

    @Test
    public void missingEntryIsRemovedImmediately() {
      InstanceDirectory.Changes changes =
          directory.update(List.of(instance("y", false)), NONE_ACTIVE, SECOND);
      assertEquals(changes.removed().size(), 1);
      assertEquals(available(directory).size(), 1);
    }

    @Test
    public void leavingEntryNeverBecomesAvailableAgain() {
      directory.update(List.of(instance("x", true), instance("y", false)), NONE_ACTIVE, SECOND);
      directory.update(
          List.of(instance("x", false), instance("y", false)), NONE_ACTIVE, 2 * SECOND);
      assertEquals(available(directory).size(), 1);
    }

    // Guards against a host whose list is old and still names the upstream as available (review/9).
    @Test
    public void upstreamThatStatesItselfThatItIsLeavingStaysUnavailable() {
      assertTrue(directory.recordLeaving(instance("x", false)));
      assertFalse(directory.recordLeaving(instance("x", false)));
      assertEquals(available(directory), List.of(instance("y", false)));
      directory.update(List.of(instance("x", false), instance("y", false)), NONE_ACTIVE, SECOND);
      assertEquals(available(directory), List.of(instance("y", false)));
      directory.update(List.of(RESTARTED), NONE_ACTIVE, 2 * SECOND);
      assertEquals(available(directory), List.of(RESTARTED));
    }

    // Guards against a statement that is lost because it comes after the entry was removed.
    @Test
    public void statementOfAnUpstreamThatIsNotListedHoldsWhenItIsListedAgain() {
      directory.update(List.of(instance("y", false)), NONE_ACTIVE, SECOND);
      assertTrue(directory.recordLeaving(instance("x", false)));
      assertFalse(directory.isListed(instance("x", false)));
      directory.update(
          List.of(instance("x", false), instance("y", false)), NONE_ACTIVE, 2 * SECOND);
      assertEquals(available(directory), List.of(instance("y", false)));
      assertFalse(directory.recordLeaving(instance("x", false)));
    }

    // Guards against a late answer of an earlier process that takes the new one out of service, or
    // that brings back an earlier one.
    @Test
    public void statementHoldsForTheProcessThatMadeItOnly() {
      directory.update(List.of(RESTARTED), NONE_ACTIVE, SECOND);
      assertTrue(directory.recordLeaving(instance("x", false)));
      assertEquals(available(directory), List.of(RESTARTED));
      assertTrue(directory.recordLeaving(RESTARTED));
      directory.update(List.of(instance("x", false)), NONE_ACTIVE, 2 * SECOND);
      assertTrue(available(directory).isEmpty());
      directory.update(List.of(RESTARTED), NONE_ACTIVE, 3 * SECOND);
      assertTrue(available(directory).isEmpty());
    }

    // Guards against taking an entry that lacks the start time for one of a new process.
    @Test
    public void statementHoldsForAnEntryWithoutAStartTime() {
      UpstreamInstance withoutStart =
          new UpstreamInstance(
              "x", "s", "10.0.0.1:80", "a", "v1", 4, false, UpstreamInstance.START_UNKNOWN);
      directory.update(List.of(withoutStart), NONE_ACTIVE, SECOND);
      assertTrue(directory.recordLeaving(instance("x", false)));
      assertTrue(available(directory).isEmpty());
      directory.update(List.of(withoutStart), NONE_ACTIVE, 2 * SECOND);
      assertTrue(available(directory).isEmpty());
      directory.update(List.of(RESTARTED), NONE_ACTIVE, 3 * SECOND);
      assertEquals(available(directory), List.of(RESTARTED));
    }

    // Guards against forgetting an upstream that leaves while hundreds of others come and go.
    @Test
    public void statementOutlivesTheDepartureOfManyOthers() {
      assertTrue(directory.recordLeaving(instance("x", false)));
      for (int i = 0; i < 4 * LeavingProcesses.MAX_UNLISTED; i++) {
        directory.update(
            List.of(instance("x", false), instance("z" + i, i % 2 == 0)), NONE_ACTIVE, SECOND);
      }
      assertFalse(available(directory).contains(instance("x", false)));
      for (int i = 1; i < LeavingProcesses.MAX_UNLISTED; i++) {
        directory.update(List.of(instance("w" + i, true)), NONE_ACTIVE, SECOND);
      }
      directory.update(List.of(instance("x", false)), NONE_ACTIVE, SECOND);
      assertTrue(available(directory).isEmpty());
    }

    @Test
    public void restartedProcessWithTheSameIdIsAvailable() {
      directory.update(List.of(instance("x", true)), NONE_ACTIVE, SECOND);
      directory.update(List.of(RESTARTED), NONE_ACTIVE, 2 * SECOND);
      assertEquals(available(directory), List.of(RESTARTED));
    }
  }

  /** Readings after an outage of the store. */
  public static class AfterOutage {
    private InstanceDirectory directory;

    @BeforeMethod
    public void create() {
      directory = new InstanceDirectory();
      directory.update(List.of(instance("x", false)), NONE_ACTIVE, 0);
      directory.update(List.of(), NONE_ACTIVE, 10 * SECOND);
    }

    @Test
    public void expiredEntryIsRetainedUntilItIsListedAgain() {
      assertEquals(available(directory).size(), 1);
      directory.update(List.of(instance("x", false)), NONE_ACTIVE, 11 * SECOND);
      assertEquals(available(directory).size(), 1);
    }

    // Guards against requests to an upstream that left while only this host was partitioned.
    @Test
    public void hostPartitionedAloneAppliesTheListImmediately() {
      InstanceDirectory partitioned = new InstanceDirectory();
      partitioned.update(
          List.of(instance("x", false), instance("y", false), instance("z", false)),
          NONE_ACTIVE,
          0);
      partitioned.update(
          List.of(instance("y", false), instance("z", false)), NONE_ACTIVE, 8 * SECOND);
      assertEquals(available(partitioned).size(), 2);
    }

    // Guards against a failure domain without upstreams right after its partition as a whole ended.
    @Test
    public void upstreamActiveDuringThePartitionIsRetainedForTwoSeconds() {
      InstanceDirectory partitioned = new InstanceDirectory();
      List<UpstreamInstance> otherDomain = List.of(instance("y", false), instance("z", false));
      List<UpstreamInstance> all =
          List.of(instance("x", false), otherDomain.get(0), otherDomain.get(1));
      partitioned.update(all, NONE_ACTIVE, 0);
      assertTrue(partitioned.update(otherDomain, "x"::equals, 8 * SECOND).afterOutage());
      assertEquals(available(partitioned).size(), 3);
      assertFalse(partitioned.update(otherDomain, NONE_ACTIVE, 9 * SECOND).afterOutage());
      assertEquals(available(partitioned).size(), 3);
      partitioned.update(otherDomain, NONE_ACTIVE, 10 * SECOND + SECOND / 10);
      assertEquals(available(partitioned).size(), 2);
    }

    // Guards against requests to a new process with the id and the address of an earlier one, which
    // said that it is leaving while the list still named the earlier process.
    @Test
    public void statementHoldsForARestartedProcessUntilItsEntryIsUpToDate() {
      InstanceDirectory restarted = new InstanceDirectory();
      restarted.update(List.of(instance("x", false)), NONE_ACTIVE, 0);
      restarted.recordLeaving(instance("x", false));
      restarted.update(List.of(RESTARTED), NONE_ACTIVE, 10 * SECOND);
      assertTrue(available(restarted).isEmpty());
      restarted.update(List.of(RESTARTED), NONE_ACTIVE, 12 * SECOND);
      assertTrue(available(restarted).isEmpty());
      restarted.update(List.of(RESTARTED.asLeaving()), NONE_ACTIVE, 12 * SECOND + SECOND / 10);
      assertTrue(available(restarted).isEmpty());
    }

    // Guards against losing an upstream that only started again during the outage.
    @Test
    public void restartedProcessIsAvailableOnceItsEntryIsUpToDate() {
      InstanceDirectory restarted = new InstanceDirectory();
      restarted.update(List.of(instance("x", false)), NONE_ACTIVE, 0);
      restarted.recordLeaving(instance("x", false));
      restarted.update(List.of(RESTARTED), NONE_ACTIVE, 10 * SECOND);
      restarted.update(List.of(RESTARTED), NONE_ACTIVE, 12 * SECOND + SECOND / 10);
      assertEquals(available(restarted), List.of(RESTARTED));
    }

    @Test
    public void entryThatIsNotListedAgainIsRemoved() {
      directory.update(List.of(), NONE_ACTIVE, 11 * SECOND);
      assertEquals(available(directory).size(), 1);
      directory.update(List.of(), NONE_ACTIVE, 12 * SECOND + SECOND / 4);
      assertTrue(available(directory).isEmpty());
    }
  }
}
