package org.clementinequay.core.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.List;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.claim.ClaimFixture.Fault;
import org.clementinequay.core.platform.PlatformException;
import org.testng.annotations.Factory;
import org.testng.annotations.Test;

/** Tests of the claim decisions under faults of the store. */
public final class ClaimServiceTest {
  private static final ClaimResult UNCONFIRMED =
      new ClaimResult.Refused(RefusalReason.CLAIM_UNCONFIRMED);

  /**
   * Surefire passes only the outer class to TestNG, which then needs to be told the nested ones.
   */
  @Factory
  public Object[] nestedTests() {
    return new Object[] {new Repeats(), new LostAnswers(), new Outages(), new Endings()};
  }

  /** Requests with a key that was used before. */
  public static final class Repeats {
    /** Guards against a second execution by the same host or by another one. */
    @Test
    public void secondClaimIsNotGranted() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService first = fixture.host();
      ClaimAttempt attempt = fixture.granted(first, "k");
      ClaimResult expected = new ClaimResult.InProgress(attempt.token().claimer());
      assertEquals(fixture.claim(first, "k", "body"), expected);
      assertEquals(fixture.claim(fixture.host(), "k", "body"), expected);
    }

    /** Guards against two grants when one batch holds the same key twice. */
    @Test
    public void oneBatchWithTheSameKeyTwiceGrantsOnce() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      List<ClaimResult> results =
          fixture.host().claim(List.of(fixture.request("k", "body"), fixture.request("k", "body")));
      assertTrue(results.get(0) instanceof ClaimResult.Granted);
      assertTrue(results.get(1) instanceof ClaimResult.InProgress);
    }

    /** Guards against answering a different question with the stored answer. */
    @Test
    public void otherBodyIsRefusedBeforeAndAfterCompletion() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.host();
      ClaimAttempt attempt = fixture.granted(host, "k");
      ClaimResult reused = new ClaimResult.Refused(RefusalReason.IDEMPOTENCY_KEY_REUSED);
      assertEquals(fixture.claim(fixture.host(), "k", "other"), reused);
      host.complete(attempt, ClaimFixture.answer("stamp 1"));
      host.recordCompletions();
      assertEquals(fixture.claim(fixture.host(), "k", "other"), reused);
    }

    /** Guards against accounts that share rows: a/b with key c, and a with key b/c. */
    @Test
    public void accountsDoNotShareKeys() {
      assertFalse(new ClaimKey("a/b", "c").rowKey().equals(new ClaimKey("a", "b/c").rowKey()));
    }

    /** Guards against a conflict of one row that refuses the rest of its batch. */
    @Test
    public void conflictingRowDoesNotHoldUpItsBatch() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      fixture.granted(fixture.host(), "taken");
      List<ClaimResult> results =
          fixture
              .host()
              .claim(
                  List.of(
                      fixture.request("a", "body"),
                      fixture.request("taken", "body"),
                      fixture.request("b", "body")));
      assertTrue(results.get(0) instanceof ClaimResult.Granted);
      assertTrue(results.get(1) instanceof ClaimResult.InProgress);
      assertTrue(results.get(2) instanceof ClaimResult.Granted);
    }

    /** Guards against a restarted process that takes the claims of its earlier run for its own. */
    @Test
    public void claimOfDeadProcessStaysUnknown() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      fixture.granted(fixture.host(), "k");
      ClaimService restarted = fixture.host();
      restarted.removeAbandonedRows();
      fixture.clock.advance(Duration.ofDays(365));
      assertEquals(restarted.removeExpired(""), "");
      assertTrue(fixture.claim(restarted, "k", "body") instanceof ClaimResult.InProgress);
    }
  }

  /** Commits whose answer is lost. */
  public static final class LostAnswers {
    /** Guards against a refusal or a second row when only the answer was lost. */
    @Test
    public void lostAfterEffectIsSettledByTheToken() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      fixture.nextCommits.add(Fault.LOST_AFTER_EFFECT);
      assertTrue(fixture.claim(fixture.host(), "k", "body") instanceof ClaimResult.Granted);
      assertEquals(fixture.commits, 1);
    }

    /** Guards against a grant without a row when the commit never took effect. */
    @Test
    public void lostBeforeEffectIsWrittenAgain() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      fixture.nextCommits.add(Fault.LOST_BEFORE_EFFECT);
      fixture.granted(fixture.host(), "k");
      assertTrue(fixture.claim(fixture.host(), "k", "body") instanceof ClaimResult.InProgress);
    }

    /** Guards against a grant on both hosts when the loser's answer was lost. */
    @Test
    public void loserWithLostAnswerSeesTheWinner() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      fixture.granted(fixture.host(), "k");
      fixture.nextCommits.add(Fault.LOST_AFTER_EFFECT);
      assertTrue(fixture.claim(fixture.host(), "k", "body") instanceof ClaimResult.InProgress);
    }

    /** Guards against a key that stays blocked by a row whose claim was refused with not-run. */
    @Test
    public void refusedClaimWithRowIsFreedOnTheSameHostAtOnce() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.host();
      abandonedWithRow(fixture, host);
      assertTrue(fixture.claim(host, "k", "other body") instanceof ClaimResult.Granted);
    }

    /** Guards against a key that stays blocked on other hosts. */
    @Test
    public void refusedClaimWithRowIsFreedOnOtherHostsByTheSweep() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.host();
      abandonedWithRow(fixture, host);
      assertTrue(fixture.claim(fixture.host(), "k", "body") instanceof ClaimResult.InProgress);
      host.removeAbandonedRows();
      assertTrue(fixture.claim(fixture.host(), "k", "body") instanceof ClaimResult.Granted);
    }

    /** Guards against tokens that are remembered for ever, or forgotten while still dangerous. */
    @Test
    public void abandonedTokenIsForgottenAfterTheLateEffectWindow() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.host();
      abandonedWithRow(fixture, host);
      host.removeAbandonedRows();
      host.removeAbandonedRows();
      assertEquals(host.trackedTokens(), 1);
      fixture.clock.advance(ClaimService.LATE_EFFECT_WINDOW.plusMillis(1));
      host.removeAbandonedRows();
      assertEquals(host.trackedTokens(), 0);
    }

    /** Writes the row, then keeps the store down until the claim's deadline is over. */
    private static void abandonedWithRow(ClaimFixture fixture, ClaimService host) {
      fixture.nextCommits.add(Fault.LOST_AFTER_EFFECT);
      ClaimAttempt attempt = host.open(fixture.request("k", "body"));
      fixture.downAfterCommit = true;
      assertEquals(host.round(List.of(attempt)).undecided(), List.of(attempt));
      fixture.clock.advance(Duration.ofSeconds(3));
      host.round(List.of(attempt));
      assertEquals(attempt.result().join(), UNCONFIRMED);
      fixture.down = false;
    }
  }

  /** Store outages. */
  public static final class Outages {
    /** Guards against waiting beyond the deadline, and against tokens that leak. */
    @Test
    public void outageBeyondTheDeadlineIsRefused() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.host();
      fixture.down = true;
      assertEquals(fixture.claim(host, "k", "body"), UNCONFIRMED);
      assertEquals(host.trackedTokens(), 0);
      fixture.down = false;
      assertTrue(fixture.claim(host, "k", "body") instanceof ClaimResult.Granted);
    }

    /** Guards against a refusal where a retry within the deadline succeeds. */
    @Test
    public void shortOutageIsRetried() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      fixture.nextCommits.add(Fault.UNAVAILABLE);
      fixture.nextCommits.add(Fault.UNAVAILABLE);
      fixture.granted(fixture.host(), "k");
    }

    /** Guards against a send under a claim that a timer refused while the commit was under way. */
    @Test
    public void commitAfterRefusalIsNotGranted() {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.host();
      ClaimAttempt attempt = host.open(fixture.request("k", "body"));
      fixture.onCommit = attempt::abandon;
      host.round(List.of(attempt));
      assertEquals(attempt.result().join(), UNCONFIRMED);
      assertTrue(attempt.neverSent());
    }
  }

  /** Ends of a grant. */
  public static final class Endings {
    /** Guards against a lost answer to a repeat, from memory and from the row. */
    @Test
    public void storedAnswerIsReturned() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.host();
      ClaimResult expected = new ClaimResult.Completed(ClaimFixture.answer("stamp 1"));
      host.complete(fixture.granted(host, "k"), ClaimFixture.answer("stamp 1"));
      assertEquals(fixture.claim(host, "k", "body"), expected);
      fixture.nextCommits.add(Fault.NONE);
      host.recordCompletions();
      assertEquals(fixture.claim(fixture.host(), "k", "body"), expected);
      assertEquals(host.trackedTokens(), 0);
    }

    /** Guards against an answer that is dropped because its write failed. */
    @Test
    public void completionIsWrittenAgainAfterFaults() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.host();
      host.complete(fixture.granted(host, "k"), ClaimFixture.answer("stamp 1"));
      for (Fault fault : List.of(Fault.UNAVAILABLE, Fault.LOST_BEFORE_EFFECT)) {
        fixture.nextCommits.add(fault);
        try {
          host.recordCompletions();
        } catch (PlatformException e) {
          assertEquals(host.unrecordedCompletions(), 1);
        }
      }
      host.recordCompletions();
      assertEquals(host.unrecordedCompletions(), 0);
      assertTrue(fixture.claim(fixture.host(), "k", "body") instanceof ClaimResult.Completed);
    }

    /** Guards against oversized rows and against answers that cannot be read back. */
    @Test
    public void largeAnswerGoesToTheObjectStore() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.host();
      StoredAnswer large = ClaimFixture.answer("x".repeat(StoredAnswer.MAX_INLINE_BYTES + 1));
      ClaimAttempt attempt = fixture.granted(host, "k");
      host.complete(attempt, large);
      host.recordCompletions();
      assertTrue(fixture.objects.read("answers/" + attempt.token()).isPresent());
      assertEquals(fixture.claim(fixture.host(), "k", "body"), new ClaimResult.Completed(large));
    }

    /** Guards against a key that stays blocked although nothing was sent. */
    @Test
    public void releasedKeyIsFreeAgain() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.host();
      host.release(fixture.granted(host, "k"));
      host.removeAbandonedRows();
      fixture.granted(fixture.host(), "k");
    }

    /** Guards against a repeat that runs because its host forgot that it had sent the request. */
    @Test
    public void requestWithoutAnswerStaysUnknown() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.host();
      host.leaveUnknown(fixture.granted(host, "k"));
      host.removeAbandonedRows();
      assertTrue(fixture.claim(host, "k", "body") instanceof ClaimResult.InProgress);
    }

    /** Guards against a table that grows for ever and against early removal. */
    @Test
    public void onlyExpiredAnswersAreRemoved() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.host();
      host.complete(fixture.granted(host, "old"), ClaimFixture.answer("1"));
      host.recordCompletions();
      fixture.clock.advance(ClaimState.RETENTION.plusSeconds(1));
      host.complete(fixture.granted(host, "new"), ClaimFixture.answer("2"));
      host.recordCompletions();
      host.removeExpired("");
      assertTrue(fixture.claim(host, "old", "body") instanceof ClaimResult.Granted);
      assertTrue(fixture.claim(host, "new", "body") instanceof ClaimResult.Completed);
    }
  }
}
