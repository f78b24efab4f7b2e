package org.clementinequay.core.billing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.Outcome;
import org.clementinequay.core.RequestId;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryObjectStore;
import org.clementinequay.core.platform.memory.InMemoryTableService;
import org.testng.annotations.Factory;
import org.testng.annotations.Test;

/** Tests of bill records, their batches, the copies on peers, and bills. */
public final class BillingTest {
  private static final Instant NOON = Instant.parse("2026-12-04T12:00:00Z");
  private static final Incarnation HOST = Incarnation.random(new Random(1));
  private static final Incarnation PEER = Incarnation.random(new Random(2));
  private static final Incarnation OTHER_PEER = Incarnation.random(new Random(3));

  /** Creates the nested test classes, because Surefire passes only the outer class to TestNG. */
  @Factory
  public Object[] nestedTests() {
    return new Object[] {new Records(), new Batches(), new Copies()};
  }

  private static BillRecord record(long sequence) {
    return new BillRecord(
        new RequestId(HOST, sequence),
        "labelworks",
        "flag",
        "labels",
        Outcome.RAN,
        NOON.plusSeconds(sequence),
        List.of(
            new BilledAttempt(
                1, "small@1", "up-1", AttemptState.REJECTED_DRAFT, 100, 10, 110 * sequence),
            new BilledAttempt(2, "large@7", "up-2", AttemptState.ACCEPTED, 100, 20, 240)));
  }

  private static Bill read(BillStore store) throws PlatformException {
    return store.read("", Instant.MIN, Instant.MAX);
  }

  /** The stored form of records, and their totals. */
  public static final class Records {
    /** Guards against names with separators or line breaks that corrupt the stored form. */
    @Test
    public void storedFormPreservesSpecialCharacters() {
      BillRecord original =
          new BillRecord(
              new RequestId(HOST, 7),
              "a\tb\nc",
              "",
              "caf\u00e9, 50% & more",
              Outcome.UNKNOWN,
              NOON,
              List.of(new BilledAttempt(1, "x,y@\t1", "", AttemptState.FAILED, 0, 0, 0)));
      assertEquals(BillRecord.parse(original.toLine()), original);
      assertEquals(original.toLine().lines().count(), 1);
    }

    /** Guards against totals that depend on the order or on duplicates of the records. */
    @Test
    public void totalsIgnoreOrderAndDuplicates() {
      List<BillRecord> duplicated = new ArrayList<>();
      for (long sequence = 1; sequence <= 50; sequence++) {
        duplicated.addAll(Collections.nCopies((int) (sequence % 3) + 1, record(sequence)));
      }
      Collections.shuffle(duplicated, new Random(4));
      Bill bill = new Bill();
      duplicated.forEach(bill::add);
      assertEquals(bill.total(), new BillTotal(50, 10_000, 1500, 110L * 1275 + 240 * 50));
      assertEquals(bill.byTarget().get("large@7"), new BillTotal(50, 5000, 1000, 12_000));
      assertEquals(bill.byAccount(), Map.of("labelworks", bill.total()));
      assertEquals(bill.byClass(), Map.of("flag", bill.total()));
      assertEquals(bill.conflictCount(), 0);
    }
  }

  /**
   * A store whose next calls fail in the given order: true loses the response after the call took
   * effect, false fails the call before it.
   */
  private static final class FaultyStores implements CallHook {
    final Deque<Boolean> scriptedFaults = new ArrayDeque<>();
    final BillStore store =
        new BillStore(new InMemoryTableService(this), new InMemoryObjectStore(this));

    @Override
    public void beforeEffect(String operation) throws PlatformException {
      if (!scriptedFaults.isEmpty() && !scriptedFaults.peek()) {
        scriptedFaults.remove();
        throw new PlatformUnavailableException("scripted outage of " + operation);
      }
    }

    @Override
    public void afterEffect(String operation) throws PlatformException {
      if (!scriptedFaults.isEmpty()) {
        scriptedFaults.remove();
        throw new AnswerLostException("scripted loss of the response to " + operation);
      }
    }
  }

  /** Batches written by the owner of the records. */
  public static final class Batches {
    /** Guards against records that are lost or billed twice when a write or its response fails. */
    @Test
    public void failedWritesNeitherLoseNorDuplicateRecords() throws Exception {
      for (List<Boolean> faults :
          List.of(List.of(true), List.of(false), List.of(true, true), List.of(true, false, true))) {
        FaultyStores stores = new FaultyStores();
        BillLedger ledger = new BillLedger(HOST);
        ledger.add(record(1));
        stores.scriptedFaults.addAll(faults);
        int failures = 0;
        while (ledger.unsealedCount() > 0) {
          BillBatch batch = ledger.batchToWrite().orElseThrow();
          ledger.add(record(2 + failures));
          try {
            stores.store.write(batch);
            ledger.markWritten(batch);
            break;
          } catch (PlatformException e) {
            failures++;
          }
        }
        assertEquals(failures, faults.size());
        stores.store.write(ledger.batchToWrite().orElseThrow());
        assertEquals(read(stores.store).records().size(), 2 + failures);
      }
    }

    /** Guards against peers that drop the only copy of the record of a long request. */
    @Test
    public void lateRecordLowersSealedSequence() {
      BillLedger ledger = new BillLedger(HOST);
      ledger.add(record(5));
      BillBatch batch = ledger.batchToWrite().orElseThrow();
      assertEquals(ledger.sealedUpTo(), 4);
      ledger.add(record(3));
      ledger.markWritten(batch);
      assertEquals(ledger.sealedUpTo(), 2);
      ledger.markWritten(ledger.batchToWrite().orElseThrow());
      assertEquals(ledger.sealedUpTo(), 5);
    }

    /** Guards against a bill with requests of another period or account. */
    @Test
    public void readFiltersByAccountAndTime() throws Exception {
      FaultyStores stores = new FaultyStores();
      BillLedger ledger = new BillLedger(HOST);
      for (long sequence = 1; sequence <= 3; sequence++) {
        ledger.add(record(sequence));
      }
      stores.store.write(ledger.batchToWrite().orElseThrow());
      Instant second = NOON.plusSeconds(2);
      Bill bill = stores.store.read("labelworks", second, NOON.plusSeconds(3));
      assertEquals(List.copyOf(bill.records()), List.of(record(2)));
      assertTrue(stores.store.read("other", Instant.MIN, Instant.MAX).records().isEmpty());
    }
  }

  /** Copies of the records of other hosts. */
  public static final class Copies {
    /** Guards against a bill that changes when the owner and two peers write the same records. */
    @Test
    public void repeatedFlushesDoNotChangeTheBill() throws Exception {
      FaultyStores stores = new FaultyStores();
      List<String> lines = List.of(record(1).toLine(), record(2).toLine());
      for (Incarnation peer : List.of(PEER, OTHER_PEER)) {
        PeerBillCopies copies = new PeerBillCopies(peer);
        assertTrue(copies.add(HOST, lines));
        BillBatch batch = copies.batchToFlush(HOST).orElseThrow();
        stores.store.write(batch);
        copies.flushed(HOST, batch);
        assertEquals(copies.size(), 0);
      }
      BillTotal expected = read(stores.store).total();
      BillLedger ledger = new BillLedger(HOST);
      ledger.add(record(1));
      ledger.add(record(2));
      stores.store.write(ledger.batchToWrite().orElseThrow());
      assertEquals(read(stores.store).total(), expected);
      assertEquals(expected.count(), 2);
    }

    /** Guards against the loss of a record that arrives between a failed flush and its repeat. */
    @Test
    public void recordAddedBetweenFlushesIsWritten() throws Exception {
      FaultyStores stores = new FaultyStores();
      PeerBillCopies copies = new PeerBillCopies(PEER);
      copies.add(HOST, List.of(record(1).toLine()));
      stores.store.write(copies.batchToFlush(HOST).orElseThrow());
      copies.add(HOST, List.of(record(2).toLine()));
      BillBatch second = copies.batchToFlush(HOST).orElseThrow();
      stores.store.write(second);
      copies.flushed(HOST, second);
      assertEquals(read(stores.store).records().size(), 2);
      assertEquals(copies.size(), 0);
    }

    /** Guards against copies that are removed too early or never. */
    @Test
    public void sealedRecordsAreRemoved() {
      PeerBillCopies copies = new PeerBillCopies(PEER);
      copies.add(HOST, List.of(record(1).toLine(), record(2).toLine(), record(9).toLine()));
      copies.add(HOST, List.of(record(2).toLine()));
      assertEquals(copies.size(), 3);
      copies.sealed(HOST, 2);
      assertEquals(copies.size(), 1);
      copies.sealed(HOST, 9);
      assertTrue(copies.owners().isEmpty());
    }

    /** Guards against an acknowledgement of records beyond the limit. */
    @Test
    public void recordsBeyondTheLimitAreRejectedTogether() {
      PeerBillCopies copies = new PeerBillCopies(PEER);
      String line = record(1).toLine();
      assertFalse(copies.add(HOST, Collections.nCopies(PeerBillCopies.MAX_RECORDS + 1, line)));
      assertEquals(copies.size(), 0);
    }
  }
}
