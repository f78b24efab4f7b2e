package org.clementinequay.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.function.Predicate;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against work for upstreams that left, and against losing those that only lapsed. */
public class InstanceDirectoryTest {
  private static final long SECOND = 1_000_000_000L;
  private static final Predicate<String> NOT_SERVING = id -> false;

  private static UpstreamInstance instance(String id, boolean leaving) {
    return new UpstreamInstance(id, "s", "10.0.0.1:80", "a", "v1", 4, leaving, 7);
  }

  private static List<UpstreamInstance> available(InstanceDirectory directory) {
    return directory.available().getOrDefault("s", List.of());
  }

  /** Readings in steady state. */
  public static class Steady {
    private InstanceDirectory directory;

    @BeforeMethod
    public void create() {
      directory = new InstanceDirectory();
      directory.update(List.of(instance("x", false), instance("y", false)), NOT_SERVING, 0);
    }

    @Test
    public void missingEntryIsGoneAtOnce() {
      InstanceDirectory.Changes changes =
          directory.update(List.of(instance("y", false)), NOT_SERVING, SECOND);
      assertEquals(changes.removed().size(), 1);
      assertEquals(available(directory).size(), 1);
    }

    @Test
    public void leavingEntryTakesNoWorkAndNeverComesBack() {
      directory.update(List.of(instance("x", true), instance("y", false)), NOT_SERVING, SECOND);
      directory.update(
          List.of(instance("x", false), instance("y", false)), NOT_SERVING, 2 * SECOND);
      assertEquals(available(directory).size(), 1);
    }

    @Test
    public void laterStartUnderTheSameIdTakesWork() {
      directory.update(List.of(instance("x", true)), NOT_SERVING, SECOND);
      UpstreamInstance restarted =
          new UpstreamInstance("x", "s", "10.0.0.1:80", "a", "v1", 4, false, 9);
      directory.update(List.of(restarted), NOT_SERVING, 2 * SECOND);
      assertEquals(available(directory), List.of(restarted));
    }
  }

  /** Readings after the store was away. */
  public static class AfterOutage {
    private InstanceDirectory directory;

    @BeforeMethod
    public void create() {
      directory = new InstanceDirectory();
      directory.update(List.of(instance("x", false)), NOT_SERVING, 0);
      directory.update(List.of(), NOT_SERVING, 10 * SECOND);
    }

    @Test
    public void lapsedEntryIsKeptUntilItIsBack() {
      assertEquals(available(directory).size(), 1);
      directory.update(List.of(instance("x", false)), NOT_SERVING, 11 * SECOND);
      assertEquals(available(directory).size(), 1);
    }

    // Guards against work for an upstream that left while only this host was cut off.
    @Test
    public void hostThatWasCutOffAloneTrustsTheList() {
      InstanceDirectory cut = new InstanceDirectory();
      cut.update(
          List.of(instance("x", false), instance("y", false), instance("z", false)),
          NOT_SERVING,
          0);
      cut.update(List.of(instance("y", false), instance("z", false)), NOT_SERVING, 8 * SECOND);
      assertEquals(available(cut).size(), 2);
    }

    // Guards against a failure domain without upstreams right after it was cut off as a whole.
    @Test
    public void upstreamThatServedThisHostDuringTheCutIsKeptForTwoSeconds() {
      InstanceDirectory cut = new InstanceDirectory();
      List<UpstreamInstance> far = List.of(instance("y", false), instance("z", false));
      List<UpstreamInstance> all = List.of(instance("x", false), far.get(0), far.get(1));
      cut.update(all, NOT_SERVING, 0);
      assertTrue(cut.update(far, "x"::equals, 8 * SECOND).afterOutage());
      assertEquals(available(cut).size(), 3);
      assertFalse(cut.update(far, NOT_SERVING, 9 * SECOND).afterOutage());
      assertEquals(available(cut).size(), 3);
      cut.update(far, NOT_SERVING, 10 * SECOND + SECOND / 10);
      assertEquals(available(cut).size(), 2);
    }

    @Test
    public void entryThatDoesNotComeBackIsGone() {
      directory.update(List.of(), NOT_SERVING, 11 * SECOND);
      assertEquals(available(directory).size(), 1);
      directory.update(List.of(), NOT_SERVING, 12 * SECOND + SECOND / 4);
      assertTrue(available(directory).isEmpty());
    }
  }
}
