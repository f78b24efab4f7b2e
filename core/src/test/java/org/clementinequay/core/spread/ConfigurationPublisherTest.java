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

/** Tests of the publication of configuration revisions. */
public final class ConfigurationPublisherTest {
  private static final Instant START = Instant.parse("2026-12-04T11:59:58.123456Z");

  /** Makes the next call of the named operation fail, before or after it takes effect. */
  private static final class Faults implements CallHook {
    private String failBefore = "";
    private String failAfter = "";
    private PlatformException exception;
    private PlatformAction actionAfter = () -> {};

    private interface PlatformAction {
      void run() throws PlatformException;
    }

    @Override
    public void beforeEffect(String operation) throws PlatformException {
      if (operation.equals(failBefore)) {
        failBefore = "";
        throw exception;
      }
    }

    @Override
    public void afterEffect(String operation) throws PlatformException {
      if (operation.equals(failAfter)) {
        failAfter = "";
        actionAfter.run();
        throw exception;
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

    private RevisionRecord conflict(long base, String id, String text) throws PlatformException {
      PublishResult result = publisher.publish(base, id, "afternoon", text);
      assertTrue(result instanceof PublishResult.Conflict, result.toString());
      return ((PublishResult.Conflict) result).current();
    }
  }

  /** Submissions without platform faults. */
  public static final class Acceptance {
    /** Guards against a stored form that loses or changes a field. */
    @Test
    public void storedFormPreservesRecord() {
      RevisionRecord record = new RevisionRecord(7, "ab", "a & b=c", "id 1", 6, START);
      assertEquals(RevisionRecord.parse(record.encode()), record);
    }

    /** Guards against a head row without a document, and against a history in the wrong order. */
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

    /** Guards against a second revision when a submission is repeated. */
    @Test
    public void repeatedSubmissionChangesNothing() throws Exception {
      Fixture f = new Fixture();
      RevisionRecord first = f.accept(0, "s", "{}");
      f.accept(1, "t", "{1}");
      assertEquals(f.accept(0, "s", "{}"), first);
      assertEquals(f.publisher.history(10).size(), 2);
    }

    /** Guards against reporting a document as accepted because its submission id was reused. */
    @Test
    public void reusedSubmissionIdWithOtherDocumentIsAConflict() throws Exception {
      Fixture f = new Fixture();
      f.accept(0, "s", "{}");
      assertEquals(f.conflict(0, "s", "{other}").revision(), 1);
    }

    /** Guards against a gap in the revision numbers when a base revision does not exist. */
    @Test
    public void unknownBaseIsRejected() {
      Fixture f = new Fixture();
      assertThrows(
          IllegalArgumentException.class, () -> f.publisher.publish(3, "s", "morning", "{}"));
    }

    /** Guards against the use of a document that is corrupt in the object store. */
    @Test
    public void corruptDocumentIsNeitherReturnedNorPublished() throws Exception {
      Fixture f = new Fixture();
      String hash = DocumentHash.of("{}");
      f.objects.putIfAbsent("configuration/" + hash, "{".getBytes(StandardCharsets.UTF_8));
      assertEquals(f.publisher.document(hash), Optional.empty());
      assertThrows(
          PlatformUnavailableException.class, () -> f.publisher.publish(0, "s", "morning", "{}"));
      assertEquals(f.publisher.head(), Optional.empty());
    }
  }

  /** Outages and lost responses of the platform. */
  public static final class Failures {
    /** Guards against a revision that is accepted although the caller is told that none was. */
    @Test
    public void outageAcceptsNothing() throws Exception {
      for (String operation : List.of("put", "read", "commit")) {
        Fixture f = new Fixture();
        Faults faults = operation.equals("put") ? f.objectFaults : f.tableFaults;
        faults.exception = new PlatformUnavailableException("down");
        faults.failBefore = operation;
        assertThrows(
            PlatformUnavailableException.class, () -> f.publisher.publish(0, "s", "m", "{}"));
        assertEquals(f.publisher.head(), Optional.empty());
      }
    }

    /** Guards against a duplicate or missing revision when the response to a write is lost. */
    @Test
    public void lostResponseIsResolvedWhetherOrNotTheWriteTookEffect() throws Exception {
      for (boolean tookEffect : new boolean[] {true, false}) {
        Fixture f = new Fixture();
        f.tableFaults.exception = new AnswerLostException("timeout");
        f.tableFaults.failAfter = tookEffect ? "commit" : "";
        f.tableFaults.failBefore = tookEffect ? "" : "commit";
        assertEquals(f.accept(0, "s", "{}").revision(), 1);
        assertEquals(f.publisher.history(10).size(), 1);
      }
    }

    /** Guards against a reported conflict for an accepted submission that has later revisions. */
    @Test
    public void lostResponseIsResolvedAfterLaterRevisions() throws Exception {
      Fixture f = new Fixture();
      f.tableFaults.exception = new AnswerLostException("timeout");
      f.tableFaults.failAfter = "commit";
      f.tableFaults.actionAfter =
          () -> {
            f.accept(1, "t", "{1}");
            f.accept(2, "u", "{2}");
          };
      assertEquals(f.accept(0, "s", "{}").revision(), 1);
      assertEquals(f.publisher.head().orElseThrow().submissionId(), "u");
    }

    /** Guards against an error that says "nothing accepted" for an outage after a lost response. */
    @Test
    public void outageAfterLostResponseIsReportedAsLostResponse() throws Exception {
      Fixture f = new Fixture();
      f.tableFaults.exception = new AnswerLostException("timeout");
      f.tableFaults.failAfter = "commit";
      f.tableFaults.actionAfter =
          () -> {
            f.tableFaults.failBefore = "read";
            throw new AnswerLostException("timeout");
          };
      f.tableFaults.exception = new PlatformUnavailableException("down");
      assertThrows(AnswerLostException.class, () -> f.publisher.publish(0, "s", "m", "{}"));
      assertEquals(f.accept(0, "s", "{}").revision(), 1);
    }

    /** Guards against a head row whose document was never stored. */
    @Test
    public void lostResponseToDocumentWriteIsResolved() throws Exception {
      Fixture f = new Fixture();
      f.objectFaults.exception = new AnswerLostException("timeout");
      f.objectFaults.failAfter = "put";
      f.accept(0, "s", "{}");
      f.objectFaults.failBefore = "put";
      assertThrows(
          PlatformUnavailableException.class, () -> f.publisher.publish(1, "t", "m", "{1}"));
      assertEquals(f.publisher.head().orElseThrow().revision(), 1);
    }
  }

  /** Concurrent submissions of two operators. */
  public static final class Races {
    /** Guards against a rejected operator who is not told whose revision is in force. */
    @Test
    public void rejectedOperatorIsToldTheLatestRevision() throws Exception {
      Fixture f = new Fixture();
      f.accept(0, "s", "{}");
      RevisionRecord current = f.conflict(0, "t", "{1}");
      assertEquals(current.operator(), "morning");
      assertEquals(current.acceptedAt(), Instant.parse("2026-12-04T11:59:58.123Z"));
    }

    /** Guards against two accepted submissions for one base revision, and against lost updates. */
    @Test
    public void exactlyOneOfTwoConcurrentSubmissionsIsAccepted() throws Exception {
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
