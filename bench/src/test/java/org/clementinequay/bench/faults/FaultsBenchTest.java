package org.clementinequay.bench.faults;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Runs the fault scenarios with both kinds of idempotency keys, and checks the options. */
public final class FaultsBenchTest {
  /** Returns parts of the names of the scenarios to run. */
  @DataProvider
  public Object[][] scenarioNames() {
    return new Object[][] {{"5 s"}, {"hosts killed"}, {"cut 60 s and"}};
  }

  /** Guards against operations that run twice, and false refusals, under the scenarios' faults. */
  @Test(dataProvider = "scenarioNames")
  public void noOperationRunsTwiceOrIsRefusedFalsely(String scenarioName) {
    assertEquals(
        FaultsBench.run(List.of("--rate", "20", "--seeds", "1", "--fault", scenarioName)), 0);
  }

  /** Guards against ignoring a misspelt option. */
  @Test
  public void unknownOptionIsAUsageError() {
    assertEquals(FaultsBench.run(List.of("--sedes", "1")), 2);
  }
}
