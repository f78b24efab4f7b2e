package org.clementinequay.core.spread;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.clementinequay.core.platform.HostEntry;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryTableService;
import org.testng.annotations.Test;

/** Tests of the confirmations of revisions by entry hosts. */
public final class RevisionConfirmationsTest {
  private static HostEntry host(String name, String role) {
    return new HostEntry(name, role, "a", "127.0.0.1:1", false);
  }

  /** Hosts that are reported as unconfirmed. */
  public static final class Unconfirmed {
    private final RevisionConfirmations confirmations =
        new RevisionConfirmations(
            new InMemoryTableService(CallHook.NONE),
            () -> List.of(host("e1", "entry"), host("e2", "entry"), host("u1", "upstream")));

    /**
     * Guards against a withdrawal that is reported as complete before every host has applied it.
     */
    @Test
    public void reportsEveryListedHostWithoutTheRevision() throws PlatformException {
      assertEquals(confirmations.unconfirmed(4), List.of("e1", "e2"));
      confirmations.confirm("e1", 4);
      confirmations.confirm("e2", 3);
      assertEquals(confirmations.unconfirmed(4), List.of("e2"));
      confirmations.confirm("e2", 5);
      assertEquals(confirmations.unconfirmed(4), List.of());
      confirmations.confirm("e2", 3);
      assertEquals(confirmations.unconfirmed(5), List.of("e1"));
    }
  }
}
