package org.clementinequay.core.spread;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CyclicBarrier;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryObjectStore;
import org.clementinequay.core.platform.memory.InMemoryTableService;
import org.clementinequay.core.time.ManualClock;
import org.testng.annotations.Test;

/** Tests of the acceptance of configuration revisions. */
public final class ConfigurationPublisherTest {
  private static final Instant START = Instant.parse("2026-12-04T11:59:58.123456Z");

  /** A call that fails once at the named operation. */
  private static final class Faults implements CallHook {
    private String before = "";
    private String after = "";
    private PlatformException failure;
    private Action onAfter = () -> {};

    private interface Action {
      void run() throws PlatformException;
    }

    @Override
    public void beforeEffect(String operation) throws PlatformException {
      if (operation.equals(before)) {
        before = "";
        throw failure;
      }
    }

    @Override
    public void afterEffect(String operation) throws PlatformException {
      if (operation.equals(after)) {
        after = "";
        onAfter.run();
        throw failure;
      }
    }
  }

  private static final class Fixture {
    private final Faults tableFaults = new Faults();
    private final Faults objectFaults = new Faults();
    private final InMemoryObjectStore objects = new InMemoryObjectStore(objectFaults);
    private final ConfigurationPublisher publisher =
        new ConfigurationPublisher(
            new InMemoryTableService(tableFaults), objects, new ManualClock(START));

    private RevisionRecord accept(long base, String id, String text) throws PlatformException {
      PublishResult result = publisher.publish(base, id, "morning", text);
      assertTrue(result instanceof PublishResult.Accepted, result.toString());
      return ((PublishResult.Accepted) result).record();
    }

    private RevisionRecord lose(long base, String id, String text) throws PlatformException {
      PublishResult result = publisher.publish(base, id, "afternoon", text);
      assertTrue(result instanceof PublishResult.Conflict, result.toString());
      return ((PublishResult.Conflict) result).current();
    }
  }

  /** Without faults. */
  public static final class Acceptance {
    /** Guards against a record that changes when it is stored. */
    @Test
    public void recordSurvivesItsTextForm() {
      RevisionRecord record = new RevisionRecord(7, "ab", "a & b=c", "id 1", 6, START);
      assertEquals(RevisionRecord.parse(record.encode()), record);
    }

    /** Guards against a head without its document and against a wrong order of the history. */
    @Test
    public void acceptedRevisionsAreListedNewestFirstAndHaveDocuments() throws Exception {
      Fixture f = new Fixture();
      assertEquals(f.publisher.head(), Optional.empty());
      for (int i = 0; i < 12; i++) {
        f.accept(i, "s" + i, "{" + i + "}");
      }
      RevisionRecord head = f.publisher.head().orElseThrow();
      assertEquals(head.revision(), 12);
      assertEquals(f.publisher.document(head.hash()), Optional.of("{11}"));
      assertEquals(
          f.publisher.history(3).stream().map(RevisionRecord::revision).toList(),
          List.of(12L, 11L, 10L));
      assertEquals(f.publisher.history(50).size(), 12);
    }

    /** Guards against a second revision when a client repeats its submission. */
    @Test
    public void repeatedSubmissionChangesNothing() throws Exception {
      Fixture f = new Fixture();
      RevisionRecord first = f.accept(0, "s", "{}");
      f.accept(1, "t", "{1}");
      assertEquals(f.accept(0, "s", "{}"), first);
      assertEquals(f.publisher.history(10).size(), 2);
    }

    /** Guards against reporting a text as accepted that a reused submission id never submitted. */
    @Test
    public void reusedSubmissionIdWithAnotherTextLoses() throws Exception {
      Fixture f = new Fixture();
      f.accept(0, "s", "{}");
      assertEquals(f.lose(0, "s", "{other}").revision(), 1);
    }

    /** Guards against a gap in the revisions when a client invents its base. */
    @Test
    public void unknownBaseIsRejected() {
      Fixture f = new Fixture();
      assertThrows(
          IllegalArgumentException.class, () -> f.publisher.publish(3, "s", "morning", "{}"));
    }

    /** Guards against use of a document that was damaged in the store. */
    @Test
    public void damagedDocumentIsNotReturnedAndNotPublished() throws Exception {
      Fixture f = new Fixture();
      String hash = DocumentHash.of("{}");
      f.objects.putIfAbsent("configuration/" + hash, "{".getBytes(StandardCharsets.UTF_8));
      assertEquals(f.publisher.document(hash), Optional.empty());
      assertThrows(
          PlatformUnavailableException.class, () -> f.publisher.publish(0, "s", "morning", "{}"));
      assertEquals(f.publisher.head(), Optional.empty());
    }
  }

  /** Outages and lost answers. */
  public static final class Failures {
    /** Guards against a revision accepted while the caller is told that nothing was. */
    @Test
    public void outageAcceptsNothing() throws Exception {
      for (String operation : List.of("put", "read", "commit")) {
        Fixture f = new Fixture();
        Faults faults = operation.equals("put") ? f.objectFaults : f.tableFaults;
        faults.failure = new PlatformUnavailableException("down");
        faults.before = operation;
        assertThrows(
            PlatformUnavailableException.class, () -> f.publisher.publish(0, "s", "m", "{}"));
        assertEquals(f.publisher.head(), Optional.empty());
      }
    }

    /** Guards against a double or missing revision when the answer to the write is lost. */
    @Test
    public void lostAnswerIsSettledWhetherOrNotTheWriteTookEffect() throws Exception {
      for (boolean tookEffect : new boolean[] {true, false}) {
        Fixture f = new Fixture();
        f.tableFaults.failure = new AnswerLostException("timeout");
        f.tableFaults.after = tookEffect ? "commit" : "";
        f.tableFaults.before = tookEffect ? "" : "commit";
        assertEquals(f.accept(0, "s", "{}").revision(), 1);
        assertEquals(f.publisher.history(10).size(), 1);
      }
    }

    /** Guards against "lost the race" for a submission that others have already built upon. */
    @Test
    public void lostAnswerIsSettledAfterLaterRevisions() throws Exception {
      Fixture f = new Fixture();
      f.tableFaults.failure = new AnswerLostException("timeout");
      f.tableFaults.after = "commit";
      f.tableFaults.onAfter =
          () -> {
            f.accept(1, "t", "{1}");
            f.accept(2, "u", "{2}");
          };
      assertEquals(f.accept(0, "s", "{}").revision(), 1);
      assertEquals(f.publisher.head().orElseThrow().submissionId(), "u");
    }

    /** Guards against "nothing was accepted" when the store goes down after a lost answer. */
    @Test
    public void outageAfterLostAnswerIsReportedAsLost() throws Exception {
      Fixture f = new Fixture();
      f.tableFaults.failure = new AnswerLostException("timeout");
      f.tableFaults.after = "commit";
      f.tableFaults.onAfter =
          () -> {
            f.tableFaults.before = "read";
            throw new AnswerLostException("timeout");
          };
      f.tableFaults.failure = new PlatformUnavailableException("down");
      assertThrows(AnswerLostException.class, () -> f.publisher.publish(0, "s", "m", "{}"));
      assertEquals(f.accept(0, "s", "{}").revision(), 1);
    }

    /** Guards against a head whose document was never stored. */
    @Test
    public void lostAnswerOfTheBodyIsSettled() throws Exception {
      Fixture f = new Fixture();
      f.objectFaults.failure = new AnswerLostException("timeout");
      f.objectFaults.after = "put";
      f.accept(0, "s", "{}");
      f.objectFaults.before = "put";
      assertThrows(
          PlatformUnavailableException.class, () -> f.publisher.publish(1, "t", "m", "{1}"));
      assertEquals(f.publisher.head().orElseThrow().revision(), 1);
    }
  }

  /** Two operators at once. */
  public static final class Races {
    /** Guards against a loser that is not told who won. */
    @Test
    public void secondOperatorLearnsOfTheRevisionInForce() throws Exception {
      Fixture f = new Fixture();
      f.accept(0, "s", "{}");
      RevisionRecord winner = f.lose(0, "t", "{1}");
      assertEquals(winner.operator(), "morning");
      assertEquals(winner.acceptedAt(), Instant.parse("2026-12-04T11:59:58.123Z"));
    }

    /** Guards against two winners for one base revision and against lost updates. */
    @Test
    public void exactlyOneOfTwoConcurrentSubmissionsWins() throws Exception {
      Fixture f = new Fixture();
      CyclicBarrier barrier = new CyclicBarrier(2);
      ConcurrentLinkedQueue<PublishResult> results = new ConcurrentLinkedQueue<>();
      for (int base = 0; base < 100; base++) {
        int round = base;
        List<Thread> threads = new ArrayList<>();
        for (String operator : List.of("morning", "afternoon")) {
          Thread thread =
              new Thread(
                  () -> {
                    try {
                      barrier.await();
                      results.add(
                          f.publisher.publish(round, operator + round, operator, operator + round));
                    } catch (Exception e) {
                      throw new IllegalStateException(e);
                    }
                  });
          threads.add(thread);
          thread.start();
        }
        for (Thread thread : threads) {
          thread.join();
        }
        assertEquals(results.size(), 2 * (base + 1));
        assertFalse(f.publisher.revision(base + 2).isPresent());
      }
      assertEquals(results.stream().filter(r -> r instanceof PublishResult.Accepted).count(), 100);
    }
  }
}
