package org.clementinequay.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against work for upstreams that left, and against losing those that only lapsed. */
public class InstanceDirectoryTest {
  private static final long SECOND = 1_000_000_000L;

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
      directory.update(List.of(instance("x", false), instance("y", false)), 0);
    }

    @Test
    public void missingEntryIsGoneAtOnce() {
      InstanceDirectory.Changes changes = directory.update(List.of(instance("y", false)), SECOND);
      assertEquals(changes.removed().size(), 1);
      assertEquals(available(directory).size(), 1);
    }

    @Test
    public void leavingEntryTakesNoWorkAndNeverComesBack() {
      directory.update(List.of(instance("x", true), instance("y", false)), SECOND);
      directory.update(List.of(instance("x", false), instance("y", false)), 2 * SECOND);
      assertEquals(available(directory).size(), 1);
    }

    @Test
    public void laterStartUnderTheSameIdTakesWork() {
      directory.update(List.of(instance("x", true)), SECOND);
      UpstreamInstance restarted =
          new UpstreamInstance("x", "s", "10.0.0.1:80", "a", "v1", 4, false, 9);
      directory.update(List.of(restarted), 2 * SECOND);
      assertEquals(available(directory), List.of(restarted));
    }
  }

  /** Readings after the store was away. */
  public static class AfterOutage {
    private InstanceDirectory directory;

    @BeforeMethod
    public void create() {
      directory = new InstanceDirectory();
      directory.update(List.of(instance("x", false)), 0);
      directory.update(List.of(), 10 * SECOND);
    }

    @Test
    public void lapsedEntryIsKeptUntilItIsBack() {
      assertEquals(available(directory).size(), 1);
      directory.update(List.of(instance("x", false)), 11 * SECOND);
      assertEquals(available(directory).size(), 1);
    }

    // Guards against work for an upstream that left while only this host was cut off.
    @Test
    public void hostThatWasCutOffAloneTrustsTheList() {
      InstanceDirectory cut = new InstanceDirectory();
      cut.update(List.of(instance("x", false), instance("y", false), instance("z", false)), 0);
      cut.update(List.of(instance("y", false), instance("z", false)), 8 * SECOND);
      assertEquals(available(cut).size(), 2);
    }

    @Test
    public void entryThatDoesNotComeBackIsGone() {
      directory.update(List.of(), 11 * SECOND);
      assertEquals(available(directory).size(), 1);
      directory.update(List.of(), 12 * SECOND + SECOND / 4);
      assertTrue(available(directory).isEmpty());
    }
  }
}
