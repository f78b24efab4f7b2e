package org.clementinequay.core.limit;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests of {@link LoadShedder}. */
public class LoadShedderTest {
  /** Tests of {@link LoadShedder#admit}. */
  public static class Admit {
    // Fails if a more important class is shed before a less important one.
    @Test
    public void lowestClassIsShedFirst() {
      LoadShedder shedder = new LoadShedder();
      assertTrue(shedder.admit(0, 1000, 600, 0).admitted());
      assertFalse(shedder.admit(2, 1000, 600, 0).admitted());
    }

    // Fails if requests are refused while no estimate exists.
    @Test
    public void missingEstimateAdmits() {
      assertTrue(new LoadShedder().admit(2, 1000, Double.NaN, 0).admitted());
    }
  }

  /** Tests of {@link LoadShedder#recordWait}. */
  public static class Started {
    // Fails if a class of low priority is admitted although classes of higher priority make it miss
    // its deadline.
    @Test
    public void measuredWaitsCorrectTheEstimateTemporarily() {
      LoadShedder shedder = new LoadShedder();
      for (int i = 0; i < 50; i++) {
        shedder.recordWait(2, 100, 1000, 0);
      }
      assertFalse(shedder.admit(2, 1000, 100, 0).admitted());
      assertTrue(shedder.admit(0, 1000, 100, 0).admitted());
      assertTrue(shedder.admit(2, 1000, 100, 60_000_000_000L).admitted());
    }
  }
}
