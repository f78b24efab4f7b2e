package org.clementinequay.core.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.clementinequay.core.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against a part that crashes upstreams unnoticed, and against sound parts that are named.
 */
public class CrashLedgerTest {
  private static final SharedPart BAD = new SharedPart("s", "bad");
  private static final SharedPart FIRST = new SharedPart("s", "first");

  /** Records crashes by a manual clock. */
  public abstract static class LedgerTest {
    ManualClock clock;
    CrashLedger ledger;
    private int upstreams;

    @BeforeMethod
    public void create() {
      clock = new ManualClock(Instant.EPOCH);
      ledger = new CrashLedger();
      upstreams = 0;
    }

    /** An upstream crashes 50 ms after it was sent a request with each of the prompts. */
    @SafeVarargs
    final String crash(List<String>... prompts) {
      clock.advance(Duration.ofMillis(50));
      String upstream = "u" + upstreams++;
      for (List<String> prompt : prompts) {
        report(upstream, Duration.ofMillis(50), prompt);
      }
      return upstream;
    }

    boolean report(String upstream, Duration attempt, List<String> prompt) {
      long now = clock.nanoTime();
      return ledger.recordCrash(
          new CrashReport("s", upstream, now - attempt.toNanos(), now, prompt), now);
    }

    Optional<SharedPart> nameAfterConfirmation() {
      clock.advance(CrashLedger.CONFIRMATION_TIME);
      return ledger.nameNext(clock.nanoTime());
    }

    void crashes(int count, List<String> prompt) {
      for (int i = 0; i < count; i++) {
        crash(prompt);
        clock.advance(Duration.ofMillis(10));
      }
    }
  }

  /** Parts that are named. */
  public static class Naming extends LedgerTest {
    @Test
    public void partOfSeveralCrashesIsNamedOnceNoAnswerBeginsInTime() {
      crashes(CrashLedger.CRASH_THRESHOLD, List.of("bad"));
      assertEquals(ledger.nameNext(clock.nanoTime()), Optional.empty());
      assertEquals(nameAfterConfirmation(), Optional.of(BAD));
      assertEquals(nameAfterConfirmation(), Optional.empty());
    }

    @Test
    public void fewerCrashesThanTheThresholdNameNothing() {
      crashes(CrashLedger.CRASH_THRESHOLD - 1, List.of("bad"));
      assertEquals(nameAfterConfirmation(), Optional.empty());
    }

    @Test
    public void reportsOfSeveralHostsOnOneUpstreamCountOnce() {
      String upstream = crash(List.of("bad"));
      for (int i = 0; i < CrashLedger.CRASH_THRESHOLD; i++) {
        clock.advance(Duration.ofMillis(20));
        assertFalse(report(upstream, Duration.ofMillis(5), List.of("bad")));
      }
      assertEquals(nameAfterConfirmation(), Optional.empty());
    }

    // Guards against a first part, which most sound requests have, that is named for a later one.
    @Test
    public void moreSpecificPartIsNamed() {
      crashes(CrashLedger.CRASH_THRESHOLD, List.of("first", "bad"));
      assertEquals(nameAfterConfirmation(), Optional.of(BAD));
      assertEquals(nameAfterConfirmation(), Optional.empty());
    }

    @Test
    public void firstPartIsNamedIfTheLaterPartsDiffer() {
      for (int i = 0; i < CrashLedger.CRASH_THRESHOLD; i++) {
        crash(List.of("first", "subject-" + i));
        clock.advance(Duration.ofMillis(10));
      }
      assertEquals(nameAfterConfirmation(), Optional.of(FIRST));
    }

    @Test
    public void crashesAreForgotten() {
      crashes(CrashLedger.CRASH_THRESHOLD - 1, List.of("bad"));
      clock.advance(CrashLedger.EVIDENCE_TIME);
      crash(List.of("bad"));
      assertEquals(nameAfterConfirmation(), Optional.empty());
    }

    @Test
    public void numberOfKeptCrashesIsBounded() {
      for (int i = 0; i < 2 * CrashLedger.MAX_CRASHES; i++) {
        crash(List.of("subject-" + i));
      }
      crashes(CrashLedger.CRASH_THRESHOLD, List.of("bad"));
      assertEquals(nameAfterConfirmation(), Optional.of(BAD));
    }
  }

  /** Parts of sound prompts. */
  public static class SoundParts extends LedgerTest {
    @Test
    public void partIsClearedByAnAnswerThatBegins() {
      crashes(CrashLedger.CRASH_THRESHOLD, List.of("first", "bad"));
      assertTrue(ledger.clear(FIRST));
      assertFalse(ledger.clear(FIRST));
      assertTrue(ledger.clear(BAD));
      assertEquals(nameAfterConfirmation(), Optional.empty());
    }

    // Replays the crash of many upstreams at one moment, with a popular prompt on each of them.
    @Test
    public void upstreamsThatCrashTogetherNameNothing() {
      clock.advance(Duration.ofSeconds(1));
      for (int i = 0; i < 16; i++) {
        report("u" + i, Duration.ofMillis(10 + i), List.of("first", "popular"));
        clock.advance(Duration.ofMillis(i % 2));
      }
      assertEquals(nameAfterConfirmation(), Optional.empty());
    }

    // Replays a crash of several upstreams for another reason just before a part crashes the rest:
    // a popular prompt is in enough crashes a moment earlier than the part.
    @Test
    public void partWithMoreCrashesIsNamedThoughAnotherHadEnoughEarlier() {
      crash(List.of("first", "popular"));
      crash(List.of("first", "popular"));
      for (int i = 0; i < 2; i++) {
        crash(List.of("first", "popular"), List.of("first", "bad"));
      }
      for (int i = 0; i < 4; i++) {
        crash(List.of("first", "bad"));
      }
      clock.advance(CrashLedger.CONFIRMATION_TIME.minusMillis(150));
      assertEquals(ledger.nameNext(clock.nanoTime()), Optional.empty());
      assertEquals(nameAfterConfirmation(), Optional.of(BAD));
      assertEquals(nameAfterConfirmation(), Optional.empty());
    }

    // Replays a part that by chance came with the same other part in all of the first requests.
    @Test
    public void partThatWasNamedInsteadOfAnotherIsReleased() {
      crashes(CrashLedger.CRASH_THRESHOLD, List.of("bad", "subject"));
      SharedPart subject = new SharedPart("s", "subject");
      assertEquals(nameAfterConfirmation(), Optional.of(subject));
      assertEquals(ledger.releaseExplained(), List.of());
      for (int i = 0; i < CrashLedger.CRASH_THRESHOLD; i++) {
        crash(List.of("bad", "other-" + i));
        clock.advance(Duration.ofMillis(10));
      }
      assertEquals(nameAfterConfirmation(), Optional.of(BAD));
      assertEquals(ledger.releaseExplained(), List.of(subject));
    }

    // Guards against prompts that are named because they ran beside one that crashes upstreams.
    @Test
    public void crashesThatAreExplainedDoNotCountAgainstOthers() {
      for (int i = 0; i < CrashLedger.CRASH_THRESHOLD; i++) {
        crash(List.of("other", "beside"), List.of("first", "bad"));
        clock.advance(Duration.ofMillis(10));
      }
      crash(List.of("first", "bad"));
      assertEquals(nameAfterConfirmation(), Optional.of(BAD));
      crash(List.of("other", "beside"), List.of("first", "bad"));
      assertEquals(nameAfterConfirmation(), Optional.empty());
    }
  }

  /** Prompts of very many parts, which callers may send. */
  public static class LongPrompts extends LedgerTest {
    private static final int PARTS = 3900;
    private int prompts;

    private List<String> longPrompt(String... last) {
      prompts++;
      List<String> parts =
          IntStream.range(0, PARTS)
              .mapToObj(i -> prompts + "-" + i)
              .collect(Collectors.toCollection(ArrayList::new));
      parts.addAll(List.of(last));
      return parts;
    }

    // Guards against a heap that is filled with evidence (review/6).
    @Test
    public void areKeptWithinABound() {
      for (int i = 0; i < 20; i++) {
        crash(longPrompt(), longPrompt(), longPrompt());
        assertTrue(ledger.keptParts() <= CrashLedger.MAX_PARTS, ledger.keptParts() + " parts");
      }
    }

    @Test
    public void leaveTheEvidenceOfOrdinaryOnes() {
      for (int i = 0; i < CrashLedger.CRASH_THRESHOLD; i++) {
        crash(List.of("bad"));
        crash(longPrompt(), longPrompt(), longPrompt());
      }
      assertEquals(nameAfterConfirmation(), Optional.of(BAD));
    }

    @Test
    public void countAsEvidenceThemselves() {
      for (int i = 0; i < CrashLedger.CRASH_THRESHOLD; i++) {
        crash(longPrompt("bad"));
      }
      assertEquals(nameAfterConfirmation(), Optional.of(BAD));
    }

    @Test
    public void giveTheirRoomBackAfterTheTimeOfTheEvidence() {
      crash(longPrompt());
      clock.advance(CrashLedger.EVIDENCE_TIME.plusSeconds(1));
      crash(List.of("bad"));
      assertEquals(ledger.keptParts(), 1);
    }
  }
}
