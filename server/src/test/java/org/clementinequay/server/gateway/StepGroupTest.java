package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.clementinequay.core.time.RuntimeClock;
import org.testng.annotations.Test;

/** Guards against steps that are late, run too often or stop because another one failed. */
public class StepGroupTest {
  private final VirtualClock clock = new VirtualClock();
  private final List<String> runs = new ArrayList<>();

  /** Time that passes only when somebody sleeps. */
  private static final class VirtualClock implements RuntimeClock {
    private Duration elapsed = Duration.ZERO;

    @Override
    public Instant now() {
      return Instant.EPOCH.plus(elapsed);
    }

    @Override
    public long nanoTime() {
      return elapsed.toNanos();
    }

    @Override
    public void sleep(Duration duration) {
      elapsed = elapsed.plus(duration);
    }
  }

  @Test
  public void eachStepKeepsItsPauseBesideOneThatFails() throws Exception {
    StepGroup group =
        new StepGroup(
            clock,
            () -> record("a", 50),
            () -> record("b", 100),
            () -> {
              record("failing", 0);
              throw new IllegalStateException("planted");
            });
    while (clock.elapsed.toMillis() <= 500) {
      clock.sleep(group.run());
    }
    assertEquals(runs.stream().filter("a"::equals).count(), 11);
    assertEquals(runs.stream().filter("b"::equals).count(), 6);
    assertEquals(runs.stream().filter("failing"::equals).count(), 2);
  }

  private Duration record(String step, long pauseMillis) {
    runs.add(step);
    return Duration.ofMillis(pauseMillis);
  }
}
