package org.clementinequay.bench.faults;

import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the measurement of key schemes. */
public final class FaultsBenchTest {
  /** Returns names of scenarios. */
  @DataProvider
  public Object[][] faults() {
    return new Object[][] {{"5 s"}, {"hosts killed"}, {"cut 60 s and"}};
  }

  /** Guards against duplicates and false refusals under the faults of the measurement. */
  @Test(dataProvider = "faults")
  public void nothingRunsTwice(String fault) {
    assertEquals(FaultsBench.run(List.of("--rate", "20", "--seeds", "1", "--fault", fault)), 0);
  }

  /** Guards against a misspelt option that is ignored. */
  @Test
  public void unknownOptionIsAUsageError() {
    assertEquals(FaultsBench.run(List.of("--sedes", "1")), 2);
  }
}
