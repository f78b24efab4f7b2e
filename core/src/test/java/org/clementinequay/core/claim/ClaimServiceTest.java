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

/** Tests of claim decisions with faults of the store. */
public final class ClaimServiceTest {
  private static final ClaimResult UNCONFIRMED =
      new ClaimResult.Refused(RefusalReason.CLAIM_UNCONFIRMED);

  /** Returns the nested test classes; Surefire passes only the outer class to TestNG. */
  @Factory
  public Object[] nestedTests() {
    return new Object[] {new Repeats(), new LostAnswers(), new Outages(), new GrantCompletion()};
  }

  /** Requests with a key that was used before. */
  public static final class Repeats {
    /** Guards against a second execution by the same host or by another one. */
    @Test
    public void secondClaimIsNotGranted() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService first = fixture.newHost();
      ClaimAttempt attempt = fixture.claimGranted(first, "k");
      ClaimResult expected = new ClaimResult.InProgress(attempt.token().claimer());
      assertEquals(fixture.claim(first, "k", "body"), expected);
      assertEquals(fixture.claim(fixture.newHost(), "k", "body"), expected);
    }

    /** Guards against two grants when one batch holds the same key twice. */
    @Test
    public void oneBatchWithTheSameKeyTwiceGrantsOnce() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      List<ClaimResult> results =
          fixture
              .newHost()
              .claim(List.of(fixture.request("k", "body"), fixture.request("k", "body")));
      assertTrue(results.get(0) instanceof ClaimResult.Granted);
      assertTrue(results.get(1) instanceof ClaimResult.InProgress);
    }

    /** Guards against returning the stored answer to a request with a different body. */
    @Test
    public void otherBodyIsRefusedBeforeAndAfterCompletion() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.newHost();
      ClaimAttempt attempt = fixture.claimGranted(host, "k");
      ClaimResult reused = new ClaimResult.Refused(RefusalReason.IDEMPOTENCY_KEY_REUSED);
      assertEquals(fixture.claim(fixture.newHost(), "k", "other"), reused);
      host.complete(attempt, ClaimFixture.answer("stamp 1"));
      host.recordCompletions();
      assertEquals(fixture.claim(fixture.newHost(), "k", "other"), reused);
    }

    /** Guards against accounts that share a row, such as a/b with key c and a with key b/c. */
    @Test
    public void accountsDoNotShareKeys() {
      assertFalse(new ClaimKey("a/b", "c").rowKey().equals(new ClaimKey("a", "b/c").rowKey()));
    }

    /** Guards against a conflict on one row that causes the rest of the batch to be refused. */
    @Test
    public void conflictingRowDoesNotBlockItsBatch() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      fixture.claimGranted(fixture.newHost(), "taken");
      List<ClaimResult> results =
          fixture
              .newHost()
              .claim(
                  List.of(
                      fixture.request("a", "body"),
                      fixture.request("taken", "body"),
                      fixture.request("b", "body")));
      assertTrue(results.get(0) instanceof ClaimResult.Granted);
      assertTrue(results.get(1) instanceof ClaimResult.InProgress);
      assertTrue(results.get(2) instanceof ClaimResult.Granted);
    }

    /** Guards against a restarted process that treats claims of its earlier run as its own. */
    @Test
    public void claimOfStoppedProcessStaysUnknown() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      fixture.claimGranted(fixture.newHost(), "k");
      ClaimService restarted = fixture.newHost();
      restarted.removeAbandonedRows();
      fixture.clock.advance(Duration.ofDays(365));
      assertEquals(restarted.removeExpired(""), "");
      assertTrue(fixture.claim(restarted, "k", "body") instanceof ClaimResult.InProgress);
    }
  }

  /** Commits whose answer is lost. */
  public static final class LostAnswers {
    /** Guards against a refusal or a second write when only the answer was lost. */
    @Test
    public void lostAnswerIsResolvedByTheToken() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      fixture.faultsOfNextCommits.add(Fault.LOST_AFTER_EFFECT);
      assertTrue(fixture.claim(fixture.newHost(), "k", "body") instanceof ClaimResult.Granted);
      assertEquals(fixture.commits, 1);
    }

    /** Guards against a grant without a row when the commit never took effect. */
    @Test
    public void lostCommitIsWrittenAgain() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      fixture.faultsOfNextCommits.add(Fault.LOST_BEFORE_EFFECT);
      fixture.claimGranted(fixture.newHost(), "k");
      assertTrue(fixture.claim(fixture.newHost(), "k", "body") instanceof ClaimResult.InProgress);
    }

    /** Guards against a grant on both hosts when the answer to the second one's commit was lost. */
    @Test
    public void lostAnswerOfConflictingClaimIsNotGranted() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      fixture.claimGranted(fixture.newHost(), "k");
      fixture.faultsOfNextCommits.add(Fault.LOST_AFTER_EFFECT);
      assertTrue(fixture.claim(fixture.newHost(), "k", "body") instanceof ClaimResult.InProgress);
    }

    /**
     * Guards against a key that stays blocked by the row of a claim that was refused as not-run.
     */
    @Test
    public void rowOfRefusedClaimIsReplacedOnTheSameHost() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.newHost();
      abandonAfterWritingRow(fixture, host);
      assertTrue(fixture.claim(host, "k", "other body") instanceof ClaimResult.Granted);
    }

    /** Guards against a key that stays blocked on other hosts by the row of a refused claim. */
    @Test
    public void rowOfRefusedClaimIsRemovedForOtherHosts() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.newHost();
      abandonAfterWritingRow(fixture, host);
      assertTrue(fixture.claim(fixture.newHost(), "k", "body") instanceof ClaimResult.InProgress);
      host.removeAbandonedRows();
      assertTrue(fixture.claim(fixture.newHost(), "k", "body") instanceof ClaimResult.Granted);
    }

    /**
     * Guards against tokens that are tracked indefinitely, and against tokens that are dropped
     * while a late write is still possible.
     */
    @Test
    public void abandonedTokenIsDroppedAfterTheLateEffectWindow() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.newHost();
      abandonAfterWritingRow(fixture, host);
      host.removeAbandonedRows();
      host.removeAbandonedRows();
      assertEquals(host.trackedTokens(), 1);
      fixture.clock.advance(ClaimService.LATE_EFFECT_WINDOW.plusMillis(1));
      host.removeAbandonedRows();
      assertEquals(host.trackedTokens(), 0);
    }

    /** Writes the row, then keeps the store down until the deadline of the claim has passed. */
    private static void abandonAfterWritingRow(ClaimFixture fixture, ClaimService host) {
      fixture.faultsOfNextCommits.add(Fault.LOST_AFTER_EFFECT);
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
    /** Guards against waiting beyond the deadline and against leaking tokens. */
    @Test
    public void outageBeyondTheDeadlineIsRefused() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.newHost();
      fixture.down = true;
      assertEquals(fixture.claim(host, "k", "body"), UNCONFIRMED);
      assertEquals(host.trackedTokens(), 0);
      fixture.down = false;
      assertTrue(fixture.claim(host, "k", "body") instanceof ClaimResult.Granted);
    }

    /** Guards against a refusal although a retry before the deadline succeeds. */
    @Test
    public void shortOutageIsRetried() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      fixture.faultsOfNextCommits.add(Fault.UNAVAILABLE);
      fixture.faultsOfNextCommits.add(Fault.UNAVAILABLE);
      fixture.claimGranted(fixture.newHost(), "k");
    }

    /**
     * Guards against sending under a claim that a timer refused while its commit was in progress.
     */
    @Test
    public void commitAfterRefusalIsNotGranted() {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.newHost();
      ClaimAttempt attempt = host.open(fixture.request("k", "body"));
      fixture.onCommit = attempt::abandon;
      host.round(List.of(attempt));
      assertEquals(attempt.result().join(), UNCONFIRMED);
      assertTrue(attempt.neverSent());
    }
  }

  /** Completion, release and unknown outcome of granted requests. */
  public static final class GrantCompletion {
    /** Guards against a repeated request that gets no answer, from memory or from the row. */
    @Test
    public void storedAnswerIsReturned() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.newHost();
      ClaimResult expected = new ClaimResult.Completed(ClaimFixture.answer("stamp 1"));
      host.complete(fixture.claimGranted(host, "k"), ClaimFixture.answer("stamp 1"));
      assertEquals(fixture.claim(host, "k", "body"), expected);
      fixture.faultsOfNextCommits.add(Fault.NONE);
      host.recordCompletions();
      assertEquals(fixture.claim(fixture.newHost(), "k", "body"), expected);
      assertEquals(host.trackedTokens(), 0);
    }

    /** Guards against an answer that is lost because its write failed. */
    @Test
    public void completionIsWrittenAgainAfterFaults() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.newHost();
      host.complete(fixture.claimGranted(host, "k"), ClaimFixture.answer("stamp 1"));
      for (Fault fault : List.of(Fault.UNAVAILABLE, Fault.LOST_BEFORE_EFFECT)) {
        fixture.faultsOfNextCommits.add(fault);
        try {
          host.recordCompletions();
        } catch (PlatformException e) {
          assertEquals(host.unrecordedCompletions(), 1);
        }
      }
      host.recordCompletions();
      assertEquals(host.unrecordedCompletions(), 0);
      assertTrue(fixture.claim(fixture.newHost(), "k", "body") instanceof ClaimResult.Completed);
    }

    /** Guards against oversized rows and against large answers that cannot be read back. */
    @Test
    public void largeAnswerIsWrittenToTheObjectStore() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.newHost();
      StoredAnswer large = ClaimFixture.answer("x".repeat(StoredAnswer.MAX_INLINE_BYTES + 1));
      ClaimAttempt attempt = fixture.claimGranted(host, "k");
      host.complete(attempt, large);
      host.recordCompletions();
      assertTrue(fixture.objects.read("answers/" + attempt.token()).isPresent());
      assertEquals(fixture.claim(fixture.newHost(), "k", "body"), new ClaimResult.Completed(large));
    }

    /** Guards against a key that stays blocked although nothing was sent. */
    @Test
    public void releasedKeyCanBeClaimedAgain() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.newHost();
      host.release(fixture.claimGranted(host, "k"));
      host.removeAbandonedRows();
      fixture.claimGranted(fixture.newHost(), "k");
    }

    /** Guards against running a repeated request after the host dropped the token of a sent one. */
    @Test
    public void requestWithoutAnswerStaysUnknown() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.newHost();
      host.leaveUnknown(fixture.claimGranted(host, "k"));
      host.removeAbandonedRows();
      assertTrue(fixture.claim(host, "k", "body") instanceof ClaimResult.InProgress);
    }

    /** Guards against a table that grows without bound and against early removal. */
    @Test
    public void onlyExpiredAnswersAreRemoved() throws Exception {
      ClaimFixture fixture = new ClaimFixture();
      ClaimService host = fixture.newHost();
      host.complete(fixture.claimGranted(host, "old"), ClaimFixture.answer("1"));
      host.recordCompletions();
      fixture.clock.advance(ClaimState.RETENTION.plusSeconds(1));
      host.complete(fixture.claimGranted(host, "new"), ClaimFixture.answer("2"));
      host.recordCompletions();
      host.removeExpired("");
      assertTrue(fixture.claim(host, "old", "body") instanceof ClaimResult.Granted);
      assertTrue(fixture.claim(host, "new", "body") instanceof ClaimResult.Completed);
    }
  }
}
