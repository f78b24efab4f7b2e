package org.clementinequay.core.dispatch;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.clementinequay.core.forward.RequestKind;
import org.testng.annotations.Test;

/** Guards against streams that wait for a cut engine, and against leaving one that is only busy. */
public class StallRuleTest {
  private static final long FIRST_EVENT_MILLIS = 4000;
  private static final long PAUSE_MILLIS = 1000;

  private static boolean stalled(
      RequestKind kind, boolean started, long attemptSilence, long upstreamSilence) {
    return StallRule.stalled(
        kind,
        FIRST_EVENT_MILLIS,
        PAUSE_MILLIS,
        started,
        300,
        true,
        attemptSilence,
        upstreamSilence);
  }

  /** Streams. */
  public static class Streams {
    @Test
    public void streamMovesInTimeForItsObjective() {
      assertTrue(stalled(RequestKind.RESUMABLE_STREAM, true, 600, 600));
      assertTrue(stalled(RequestKind.RESUMABLE_STREAM, false, 1500, 1500));
    }

    @Test
    public void busyEngineIsNotLeft() {
      assertFalse(stalled(RequestKind.RESUMABLE_STREAM, true, 3000, 50));
      assertFalse(stalled(RequestKind.RESUMABLE_STREAM, false, 3000, 50));
    }

    // Guards against leaving an engine that reads a long prompt.
    @Test
    public void longPromptsGetTheirEstimatedTime() {
      assertFalse(
          StallRule.stalled(
              RequestKind.RESUMABLE_STREAM, 4000, 1000, false, 1200, false, 2000, 2000));
      assertTrue(
          StallRule.stalled(
              RequestKind.RESUMABLE_STREAM, 4000, 1000, false, 1200, false, 2500, 2500));
    }

    // Guards against leaving an engine because its only stream pauses for the prompts of others.
    @Test
    public void onlyStreamIsGivenMoreTime() {
      assertFalse(
          StallRule.stalled(RequestKind.RESUMABLE_STREAM, 4000, 1000, true, 300, false, 800, 800));
      assertTrue(
          StallRule.stalled(RequestKind.RESUMABLE_STREAM, 4000, 1000, true, 300, false, 960, 960));
    }

    @Test
    public void streamThatRunsOnceIsNeverRepeated() {
      assertFalse(stalled(RequestKind.STREAM, true, 60_000, 60_000));
    }
  }

  /** Calls to plain services. */
  public static class Calls {
    @Test
    public void idempotentCallIsRepeated() {
      assertTrue(StallRule.stalled(RequestKind.IDEMPOTENT, 150, 0, false, 0, false, 320, 0));
      assertFalse(StallRule.stalled(RequestKind.IDEMPOTENT, 150, 0, false, 0, false, 200, 200));
    }

    @Test
    public void callThatRunsOnceIsNeverRepeated() {
      assertFalse(
          StallRule.stalled(RequestKind.AT_MOST_ONCE, 150, 0, false, 0, false, 60_000, 60_000));
    }
  }
}
