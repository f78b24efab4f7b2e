package org.clementinequay.core.dispatch;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.clementinequay.core.forward.RequestKind;
import org.clementinequay.core.forward.Route;
import org.testng.annotations.Test;

/**
 * Guards against streams that keep waiting for an engine that is cut off, and against giving up an
 * engine that is only busy.
 */
public class StallRuleTest {
  private static final long FIRST_EVENT_MILLIS = 4000;
  private static final long GAP_MILLIS = 1000;
  private static final long CALL_MILLIS = 150;

  private static boolean stalled(
      RequestKind kind,
      boolean firstEventReceived,
      long silenceMillis,
      long upstreamSilenceMillis) {
    return stalled(
        kind,
        new StallRule.Progress(
            firstEventReceived, 300, true, silenceMillis, upstreamSilenceMillis));
  }

  private static boolean stalled(RequestKind kind, StallRule.Progress progress) {
    Route route =
        Route.builder("r")
            .kind(kind)
            .latencyObjectiveMillis(kind.streaming() ? FIRST_EVENT_MILLIS : CALL_MILLIS)
            .eventGapObjectiveMillis(GAP_MILLIS)
            .build();
    return StallRule.isStalled(route, progress);
  }

  /** Attempts that receive a stream of events. */
  public static class Streams {
    @Test
    public void streamMovesInTimeForItsObjective() {
      assertTrue(stalled(RequestKind.RESUMABLE_STREAM, true, 600, 600));
      assertTrue(stalled(RequestKind.RESUMABLE_STREAM, false, 1500, 1500));
    }

    @Test
    public void busyEngineIsNotGivenUp() {
      assertFalse(stalled(RequestKind.RESUMABLE_STREAM, true, 3000, 50));
      assertFalse(stalled(RequestKind.RESUMABLE_STREAM, false, 3000, 50));
    }

    // Guards against giving up an engine that reads a long prompt.
    @Test
    public void longPromptsGetTheirEstimatedTime() {
      assertFalse(
          stalled(
              RequestKind.RESUMABLE_STREAM,
              new StallRule.Progress(false, 1200, false, 2000, 2000)));
      assertTrue(
          stalled(
              RequestKind.RESUMABLE_STREAM,
              new StallRule.Progress(false, 1200, false, 2500, 2500)));
    }

    // Guards against giving up an engine whose only stream from this host pauses while the engine
    // reads the prompts of other hosts.
    @Test
    public void onlyStreamIsGivenMoreTime() {
      assertFalse(
          stalled(
              RequestKind.RESUMABLE_STREAM, new StallRule.Progress(true, 300, false, 800, 800)));
      assertTrue(
          stalled(
              RequestKind.RESUMABLE_STREAM, new StallRule.Progress(true, 300, false, 960, 960)));
    }

    @Test
    public void nonResumableStreamIsNeverMoved() {
      assertFalse(stalled(RequestKind.STREAM, true, 60_000, 60_000));
    }
  }

  /** Calls to plain services. */
  public static class Calls {
    @Test
    public void idempotentCallIsRepeated() {
      assertTrue(stalled(RequestKind.IDEMPOTENT, false, 320, 0));
      assertFalse(stalled(RequestKind.IDEMPOTENT, false, 200, 200));
    }

    @Test
    public void atMostOnceCallIsNeverRepeated() {
      assertFalse(stalled(RequestKind.AT_MOST_ONCE, false, 60_000, 60_000));
    }
  }
}
