package org.clementinequay.bench.policy;

import static org.testng.Assert.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.testng.annotations.Test;

/** Covers the reproducibility of the result files and the check of the measurement names. */
public class PolicyBenchTest {
  // Guards against results that depend on anything but the seed.
  @Test
  public void sameSeedGivesTheSameFigures() throws IOException {
    Path first = Files.createTempDirectory("policy");
    Path second = Files.createTempDirectory("policy");
    assertEquals(PolicyBench.run(List.of("limits", "--out", first.toString())), 0);
    assertEquals(PolicyBench.run(List.of("limits", "--out", second.toString())), 0);
    assertEquals(
        Files.readString(first.resolve("limits.json")),
        Files.readString(second.resolve("limits.json")));
  }

  // Guards against a misspelt measurement name that is silently ignored.
  @Test
  public void unknownMeasurementIsAUsageError() throws IOException {
    assertEquals(PolicyBench.run(List.of("placment")), 2);
  }
}
