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

/** Tests of records, batches and bills. */
public final class BillingTest {
  private static final Instant NOON = Instant.parse("2026-12-04T12:00:00Z");
  private static final Incarnation HOST = Incarnation.random(new Random(1));
  private static final Incarnation PEER = Incarnation.random(new Random(2));
  private static final Incarnation OTHER_PEER = Incarnation.random(new Random(3));

  /**
   * Surefire passes only the outer class to TestNG, which then needs to be told the nested ones.
   */
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

  /** The stored form and the union. */
  public static final class Records {
    /** Guards against names that break the line format. */
    @Test
    public void lineRoundTripKeepsAwkwardNames() {
      BillRecord awkward =
          new BillRecord(
              new RequestId(HOST, 7),
              "a\tb\nc",
              "",
              "caf\u00e9, 50% & more",
              Outcome.UNKNOWN,
              NOON,
              List.of(new BilledAttempt(1, "x,y@\t1", "", AttemptState.FAILED, 0, 0, 0)));
      assertEquals(BillRecord.parse(awkward.toLine()), awkward);
      assertEquals(awkward.toLine().lines().count(), 1);
    }

    /** Guards against sums that depend on the order or the number of copies. */
    @Test
    public void unionIgnoresOrderAndCopies() {
      List<BillRecord> copies = new ArrayList<>();
      for (long sequence = 1; sequence <= 50; sequence++) {
        copies.addAll(Collections.nCopies((int) (sequence % 3) + 1, record(sequence)));
      }
      Collections.shuffle(copies, new Random(4));
      Bill bill = new Bill();
      copies.forEach(bill::add);
      assertEquals(bill.total(), new BillTotal(50, 10_000, 1500, 110L * 1275 + 240 * 50));
      assertEquals(bill.byTarget().get("large@7"), new BillTotal(50, 5000, 1000, 12_000));
      assertEquals(bill.byAccount(), Map.of("labelworks", bill.total()));
      assertEquals(bill.byClass(), Map.of("flag", bill.total()));
      assertEquals(bill.conflictCount(), 0);
    }
  }

  /** A store whose next calls fail as scripted: true after the effect, false before it. */
  private static final class FaultyStores implements CallHook {
    final Deque<Boolean> lostAfterEffect = new ArrayDeque<>();
    final BillStore store =
        new BillStore(new InMemoryTableService(this), new InMemoryObjectStore(this));

    @Override
    public void beforeEffect(String operation) throws PlatformException {
      if (!lostAfterEffect.isEmpty() && !lostAfterEffect.peek()) {
        lostAfterEffect.remove();
        throw new PlatformUnavailableException("scripted outage of " + operation);
      }
    }

    @Override
    public void afterEffect(String operation) throws PlatformException {
      if (!lostAfterEffect.isEmpty()) {
        lostAfterEffect.remove();
        throw new AnswerLostException("scripted loss of the answer to " + operation);
      }
    }
  }

  /** Sealing by the owner. */
  public static final class Batches {
    /** Guards against records that are lost or billed twice when writes fail or lose answers. */
    @Test
    public void everyFaultOfAWriteIsHarmless() throws Exception {
      for (List<Boolean> faults :
          List.of(List.of(true), List.of(false), List.of(true, true), List.of(true, false, true))) {
        FaultyStores faulty = new FaultyStores();
        BillLedger ledger = new BillLedger(HOST);
        ledger.add(record(1));
        faulty.lostAfterEffect.addAll(faults);
        int tries = 0;
        while (ledger.unsealedCount() > 0) {
          BillBatch batch = ledger.batchToWrite().orElseThrow();
          ledger.add(record(2 + tries));
          try {
            faulty.store.write(batch);
            ledger.markWritten(batch);
            break;
          } catch (PlatformException e) {
            tries++;
          }
        }
        assertEquals(tries, faults.size());
        faulty.store.write(ledger.batchToWrite().orElseThrow());
        assertEquals(read(faulty.store).records().size(), 2 + tries);
      }
    }

    /** Guards against peers that drop the only copy of a record that ended late. */
    @Test
    public void lateRecordLowersTheSealedSequence() {
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

    /** Guards against requests outside the period, and other accounts, on a bill. */
    @Test
    public void readFiltersByAccountAndTime() throws Exception {
      FaultyStores faulty = new FaultyStores();
      BillLedger ledger = new BillLedger(HOST);
      for (long sequence = 1; sequence <= 3; sequence++) {
        ledger.add(record(sequence));
      }
      faulty.store.write(ledger.batchToWrite().orElseThrow());
      Instant second = NOON.plusSeconds(2);
      Bill bill = faulty.store.read("labelworks", second, NOON.plusSeconds(3));
      assertEquals(List.copyOf(bill.records()), List.of(record(2)));
      assertTrue(faulty.store.read("other", Instant.MIN, Instant.MAX).records().isEmpty());
    }
  }

  /** Copies held for other hosts. */
  public static final class Copies {
    /** Guards against a bill that changes when the owner and two peers write the same records. */
    @Test
    public void severalFlushesChangeNothing() throws Exception {
      FaultyStores faulty = new FaultyStores();
      List<String> lines = List.of(record(1).toLine(), record(2).toLine());
      for (Incarnation peer : List.of(PEER, OTHER_PEER)) {
        PeerBillCopies held = new PeerBillCopies(peer);
        assertTrue(held.add(HOST, lines));
        BillBatch batch = held.batchToFlush(HOST).orElseThrow();
        faulty.store.write(batch);
        held.removeFlushed(HOST, batch);
        assertEquals(held.size(), 0);
      }
      BillTotal expected = read(faulty.store).total();
      BillLedger ledger = new BillLedger(HOST);
      ledger.add(record(1));
      ledger.add(record(2));
      faulty.store.write(ledger.batchToWrite().orElseThrow());
      assertEquals(read(faulty.store).total(), expected);
      assertEquals(expected.count(), 2);
    }

    /** Guards against a record that arrives during a failed flush and is then overwritten. */
    @Test
    public void recordAddedBetweenTriesIsFlushed() throws Exception {
      FaultyStores faulty = new FaultyStores();
      PeerBillCopies held = new PeerBillCopies(PEER);
      held.add(HOST, List.of(record(1).toLine()));
      faulty.store.write(held.batchToFlush(HOST).orElseThrow());
      held.add(HOST, List.of(record(2).toLine()));
      BillBatch second = held.batchToFlush(HOST).orElseThrow();
      faulty.store.write(second);
      held.removeFlushed(HOST, second);
      assertEquals(read(faulty.store).records().size(), 2);
      assertEquals(held.size(), 0);
    }

    /** Guards against held copies that are dropped early, or held for ever. */
    @Test
    public void sealedRecordsAreDropped() {
      PeerBillCopies held = new PeerBillCopies(PEER);
      held.add(HOST, List.of(record(1).toLine(), record(2).toLine(), record(9).toLine()));
      held.add(HOST, List.of(record(2).toLine()));
      assertEquals(held.size(), 3);
      held.removeSealed(HOST, 2);
      assertEquals(held.size(), 1);
      held.removeSealed(HOST, 9);
      assertTrue(held.owners().isEmpty());
    }

    /** Guards against an acknowledgement for records that do not fit. */
    @Test
    public void fullHolderTakesNothing() {
      PeerBillCopies held = new PeerBillCopies(PEER);
      String line = record(1).toLine();
      assertFalse(held.add(HOST, Collections.nCopies(PeerBillCopies.MAX_RECORDS + 1, line)));
      assertEquals(held.size(), 0);
    }
  }
}
