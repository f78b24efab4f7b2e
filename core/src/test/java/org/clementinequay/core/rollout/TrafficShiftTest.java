package org.clementinequay.core.rollout;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests that {@link TrafficShift} bounds the exposure to a bad version, completes in time and keeps
 * sessions on their version.
 */
public class TrafficShiftTest {
  private static final long SECOND = 1_000_000_000L;
  private static final ShiftOrder ORDER = new ShiftOrder("s", "v2", Duration.ofSeconds(24), 10);

  private static void recordAnswers(
      TrafficShift shift, String host, String route, String version, int good, int failed) {
    for (int i = 0; i < good + failed; i++) {
      shift.recordAnswer(host, route, version, i < failed, false);
    }
  }

  /** Decisions that depend on the counts of answers. */
  public static class Evidence {
    private TrafficShift shift;

    @BeforeMethod
    public void create() {
      shift = new TrafficShift(ORDER, 0);
      recordAnswers(shift, "h1", "r1", "v1", 60, 0);
      recordAnswers(shift, "h1", "r2", "v1", 40, 1);
    }

    @Test
    public void versionThatFailsEveryThirdAnswerIsRolledBackWithinTwentyAnswers() {
      recordAnswers(shift, "h1", "r1", "v2", 14, 6);
      assertEquals(shift.share(5 * SECOND), 0.0);
      assertEquals(shift.finalStateDue(5 * SECOND), Optional.of(ShiftState.ROLLED_BACK));
    }

    @Test
    public void versionThatFailsOnOneRouteIsRolledBack() {
      recordAnswers(shift, "h1", "r1", "v2", 40, 0);
      recordAnswers(shift, "h1", "r2", "v2", 3, 6);
      assertEquals(shift.finalStateDue(5 * SECOND), Optional.of(ShiftState.ROLLED_BACK));
    }

    @Test
    public void countsOfPeersAreIncluded() {
      for (int host = 2; host <= 5; host++) {
        TrafficShift peer = new TrafficShift(ORDER, 0);
        recordAnswers(peer, "h" + host, "r1", "v2", 3, 2);
        peer.evidence().forEach(shift::mergeEvidence);
      }
      assertEquals(shift.finalStateDue(5 * SECOND), Optional.of(ShiftState.ROLLED_BACK));
    }

    @Test
    public void olderCountsOfAPeerAreIgnored() {
      TrafficShift peer = new TrafficShift(ORDER, 0);
      recordAnswers(peer, "h2", "r1", "v2", 1, 0);
      TrafficShift.Evidence older = peer.evidence().get("h2");
      recordAnswers(peer, "h2", "r1", "v2", 1, 0);
      shift.mergeEvidence("h2", peer.evidence().get("h2"));
      shift.mergeEvidence("h2", older);
      assertEquals(shift.evidence().get("h2").answers(), 2);
    }

    @Test
    public void goodVersionIsCompletedInTime() {
      recordAnswers(shift, "h1", "r1", "v2", 20, 0);
      assertEquals(shift.share(5 * SECOND), TrafficShift.FIRST_STAGE_SHARE);
      assertEquals(shift.share(13 * SECOND), TrafficShift.SECOND_STAGE_SHARE);
      assertEquals(shift.share(16 * SECOND), 1.0);
      assertTrue(shift.finalStateDue(20 * SECOND).isEmpty());
      assertEquals(shift.finalStateDue(21 * SECOND), Optional.of(ShiftState.COMPLETED));
    }

    // Guards against a slow version that gets all traffic before its answers have come.
    @Test
    public void versionWithTooFewAnswersGetsNoMoreThanHalfAndIsRolledBack() {
      recordAnswers(shift, "h1", "r1", "v2", 5, 0);
      assertEquals(shift.share(16 * SECOND), TrafficShift.SECOND_STAGE_SHARE);
      assertTrue(shift.finalStateDue(21 * SECOND).isEmpty());
      assertEquals(shift.finalStateDue(23 * SECOND), Optional.of(ShiftState.ROLLED_BACK));
      assertEquals(shift.share(23 * SECOND), 0.0);
    }

    @Test
    public void versionWhoseAnswersComeLateIsCompletedAfterTheLastStage() {
      recordAnswers(shift, "h1", "r1", "v2", 5, 0);
      assertEquals(shift.share(20 * SECOND), TrafficShift.SECOND_STAGE_SHARE);
      recordAnswers(shift, "h1", "r1", "v2", 15, 0);
      assertEquals(shift.share(20 * SECOND), 1.0);
      assertTrue(shift.finalStateDue(21 * SECOND).isEmpty());
      assertEquals(shift.finalStateDue(22 * SECOND), Optional.of(ShiftState.COMPLETED));
    }

    @Test
    public void versionOfAnIdleServiceIsCompleted() {
      TrafficShift idle = new TrafficShift(ORDER, 0);
      recordAnswers(idle, "h1", "r1", "v1", 3, 0);
      assertEquals(idle.share(16 * SECOND), 1.0);
      assertEquals(idle.finalStateDue(21 * SECOND), Optional.of(ShiftState.COMPLETED));
    }

    // Guards against a host that starts during the move and knows no answers of its peers yet.
    @Test
    public void hostThatHearsOfTheOrderLateDoesNotTakeTheServiceForIdle() {
      TrafficShift late = new TrafficShift(ORDER, 15 * SECOND);
      late.moveStartTo(0);
      assertEquals(late.share(16 * SECOND), TrafficShift.SECOND_STAGE_SHARE);
      assertFalse(late.inLastStage(16 * SECOND));
    }

    @Test
    public void finalStateNeverChanges() {
      shift.applyStoredState(ShiftState.COMPLETED);
      shift.applyStoredState(ShiftState.ROLLED_BACK);
      assertEquals(shift.state(), ShiftState.COMPLETED);
    }
  }

  /** Assignment of sessions to versions. */
  public static class Sessions {
    private TrafficShift shift;

    @BeforeMethod
    public void create() {
      shift = new TrafficShift(ORDER, 0);
      recordAnswers(shift, "h1", "r1", "v2", 20, 0);
    }

    @Test
    public void sessionKeepsItsVersionInTheFirstHalf() {
      for (int i = 0; i < 200; i++) {
        assertFalse(shift.routesToTarget("session-" + i, Optional.of("v1"), 11 * SECOND));
      }
    }

    @Test
    public void sessionNeverReturnsToTheOldVersionWithoutRollback() {
      for (int i = 0; i < 200; i++) {
        String session = "session-" + i;
        boolean before = shift.routesToTarget(session, Optional.empty(), 5 * SECOND);
        boolean later = shift.routesToTarget(session, Optional.empty(), 13 * SECOND);
        assertTrue(!before || later);
        assertTrue(shift.routesToTarget(session, Optional.of("v2"), 13 * SECOND));
      }
    }

    @Test
    public void hostsAgreeOnNewSessions() {
      TrafficShift other = new TrafficShift(ORDER, SECOND);
      for (int i = 0; i < 200; i++) {
        String session = "session-" + i;
        assertEquals(
            other.routesToTarget(session, Optional.empty(), 6 * SECOND),
            shift.routesToTarget(session, Optional.empty(), 6 * SECOND));
      }
    }

    @Test
    public void rolledBackVersionGetsNoSession() {
      shift.applyStoredState(ShiftState.ROLLED_BACK);
      assertFalse(shift.routesToTarget("x", Optional.of("v2"), 5 * SECOND));
    }
  }
}
