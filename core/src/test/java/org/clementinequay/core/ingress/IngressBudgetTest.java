package org.clementinequay.core.ingress;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests in virtual time whom the budget admits, holds back and turns away. */
public class IngressBudgetTest {
  private static final long BUDGET_BYTES = 8 << 20;
  private static final int LARGE_BYTES = 1 << 20;
  private static final long LIMIT_MILLIS = 20_000;
  private static final long HEADER_TIMEOUT_MILLIS = 3000;

  /** A caller with one connection, who gives everything back when it is turned away. */
  private static class Caller implements IngressHolder {
    IngressShare share;
    int resumed;
    Optional<TurnAway> limit = Optional.empty();

    Caller(IngressBudget budget, String address) {
      share = budget.open(address, this);
    }

    Caller sendBody(String account, int bytes) {
      share.beginRequest(100, 5);
      share.beginBody(account, LIMIT_MILLIS);
      share.takeBody(bytes);
      return this;
    }

    @Override
    public void resume() {
      resumed++;
    }

    @Override
    public void turnAway(TurnAway value) {
      limit = Optional.of(value);
    }
  }

  /** A budget whose holders give back what they hold after each step. */
  private abstract static class Fixture {
    IngressBudget budget;
    final List<Caller> callers = new ArrayList<>();
    private long nowMillis;

    @BeforeMethod
    public void createBudget() {
      nowMillis = 0;
      callers.clear();
      budget = new IngressBudget(new IngressLimits(BUDGET_BYTES, 20, 10));
      run(0);
    }

    // Guards against bytes that are never given back.
    @AfterMethod
    public void everythingIsGivenBack() {
      callers.forEach(caller -> caller.share.close());
      assertEquals(budget.bytes(), 0);
      assertEquals(budget.connections(), 0);
    }

    Caller open(String address) {
      Caller caller = new Caller(budget, address);
      callers.add(caller);
      return caller;
    }

    Caller body(int bytes) {
      return open("a" + callers.size()).sendBody("", bytes);
    }

    /** Lets time pass in steps of 50 ms; callers who were turned away close. */
    void run(long millis) {
      for (long end = nowMillis + millis; nowMillis <= end; nowMillis += 50) {
        budget.step(nowMillis * 1_000_000, HEADER_TIMEOUT_MILLIS);
        callers.stream()
            .filter(caller -> caller.limit.isPresent())
            .forEach(caller -> caller.share.close());
      }
    }

    void fillWithStoppedBodies() {
      for (int i = 0; i < 7; i++) {
        body(LARGE_BYTES - 20_000);
      }
    }
  }

  /** Bodies that compete for bytes. */
  public static class Bodies extends Fixture {
    @Test
    public void areAdmittedInCalm() {
      Caller caller = body(LARGE_BYTES);
      run(LIMIT_MILLIS - 100);
      assertEquals(caller.limit, Optional.empty());
    }

    @Test
    public void smallOnesAreAdmittedBesideLargeOnesThatStopped() {
      fillWithStoppedBodies();
      for (int i = 0; i < 10; i++) {
        assertEquals(open("small").share.takeBody(1000), Admission.ADMITTED);
      }
    }

    @Test
    public void largeOnesAreHeldBackUntilStoppedOnesWereTurnedAway() {
      fillWithStoppedBodies();
      Caller held = body(LARGE_BYTES);
      assertEquals(held.resumed, 0);
      run(1100);
      assertEquals(held.resumed, 1);
      assertEquals(callers.get(0).limit, Optional.of(TurnAway.SLOW));
      assertEquals(budget.turnedAway(TurnAway.SLOW), 2);
      assertEquals(held.limit, Optional.empty());
    }

    @Test
    public void thoseThatMakeProgressAreNotTurnedAwayForOthers() {
      fillWithStoppedBodies();
      callers.forEach(caller -> caller.share.recordProgress(0));
      Caller held = body(LARGE_BYTES);
      for (int i = 0; i < 30; i++) {
        callers.forEach(caller -> caller.share.recordProgress(LARGE_BYTES));
        run(0);
      }
      assertEquals(held.limit, Optional.of(TurnAway.MEMORY));
      assertEquals(budget.turnedAway(TurnAway.SLOW), 0);
    }

    // Guards against a host on which all bodies wait for each other.
    @Test
    public void someGoOnIfAllAreHeldBack() {
      for (int i = 0; i < 7; i++) {
        body(LARGE_BYTES - 20_000);
      }
      callers.forEach(caller -> caller.share.takeBody(LARGE_BYTES));
      run(2000);
      assertTrue(callers.stream().anyMatch(caller -> caller.resumed > 0));
      assertTrue(budget.turnedAway(TurnAway.MEMORY) < 7);
    }

    @Test
    public void oneAccountLeavesRoomForOthers() {
      for (int i = 0; i < 7; i++) {
        open("a").sendBody("greedy", LARGE_BYTES);
      }
      Caller other = open("b").sendBody("other", 0);
      assertEquals(other.share.takeBody(LARGE_BYTES), Admission.ADMITTED);
    }

    @Test
    public void aSmallOneTakesTheRoomOfTheLargest() {
      fillWithStoppedBodies();
      callers.get(3).share.takeAnswer(2 * LARGE_BYTES);
      Caller small = open("small").sendBody("", 0);
      assertEquals(small.share.takeBody(1000), Admission.ADMITTED);
      assertEquals(callers.get(3).limit, Optional.of(TurnAway.MEMORY));
    }

    @Test
    public void requestsThatRunAreNotTurnedAway() {
      fillWithStoppedBodies();
      callers.forEach(caller -> caller.share.endBody());
      Caller held = body(LARGE_BYTES);
      run(3000);
      assertEquals(held.limit, Optional.of(TurnAway.MEMORY));
      assertTrue(callers.stream().limit(7).allMatch(caller -> caller.limit.isEmpty()));
    }

    @Test
    public void endAtTheirTimeLimit() {
      Caller caller = body(1000);
      run(LIMIT_MILLIS + 100);
      assertEquals(caller.limit, Optional.of(TurnAway.BODY_TIMEOUT));
    }

    @Test
    public void timeInWhichTheHostStoodStillDoesNotCount() {
      Caller caller = body(1000);
      budget.step(10 * LIMIT_MILLIS * 1_000_000, HEADER_TIMEOUT_MILLIS);
      assertEquals(caller.limit, Optional.empty());
    }
  }

  /** Whole answers, which are held until their callers have read them. */
  public static class Answers extends Fixture {
    private static final int HOLDERS = 7;

    /** Returns a caller whose request runs and whose answer asked for room. */
    private Caller answer(int bytes) {
      Caller caller = open("a" + callers.size());
      caller.share.beginRequest(100, 5);
      caller.share.takeAnswerRoom(bytes);
      return caller;
    }

    private void fillWithAnswers() {
      for (int i = 0; i < HOLDERS; i++) {
        answer(LARGE_BYTES - 20_000).share.takeAnswer(LARGE_BYTES - 20_000);
      }
    }

    private void runWhileHoldersRead(long millis) {
      for (long t = 0; t < millis; t += 50) {
        callers.stream().limit(HOLDERS).forEach(c -> c.share.recordProgress(LARGE_BYTES / 20));
        run(0);
      }
    }

    // Guards against a host that ends because answers wait for callers who do not read (review/13).
    @Test
    public void areHeldBackWhileThereIsNoRoom() {
      fillWithAnswers();
      for (int i = 0; i < 5; i++) {
        assertEquals(answer(LARGE_BYTES).resumed, 0);
      }
      assertTrue(budget.bytes() <= BUDGET_BYTES);
    }

    @Test
    public void takeTheRoomOfCallersWhoDoNotRead() {
      fillWithAnswers();
      Caller held = answer(LARGE_BYTES);
      run(1100);
      assertEquals(held.resumed, 1);
      assertEquals(held.share.takeAnswerRoom(LARGE_BYTES), Admission.ADMITTED);
      assertEquals(budget.turnedAway(TurnAway.SLOW), 2);
    }

    // Guards against answers that are lost although all callers read.
    @Test
    public void waitForCallersWhoRead() {
      fillWithAnswers();
      Caller held = answer(LARGE_BYTES);
      runWhileHoldersRead(3000);
      assertEquals(held.limit, Optional.empty());
      assertEquals(budget.turnedAway(TurnAway.SLOW), 0);
      callers.get(0).share.endRequest();
      callers.get(1).share.endRequest();
      assertEquals(held.resumed, 1);
    }

    // Guards against a host on which all answers wait for bodies that are held for other attempts.
    @Test
    public void areTurnedAwayIfNothingIsGivenBack() {
      for (int i = 0; i < HOLDERS; i++) {
        body(LARGE_BYTES - 20_000).share.endBody();
      }
      Caller held = answer(LARGE_BYTES);
      run(1200);
      assertEquals(held.limit, Optional.of(TurnAway.MEMORY));
    }

    @Test
    public void smallOnesPassLargeOnesThatWait() {
      fillWithAnswers();
      answer(LARGE_BYTES);
      assertEquals(open("small").share.takeAnswerRoom(40_000), Admission.ADMITTED);
    }

    @Test
    public void thatDoNotComeGiveBackTheirRoom() {
      Caller caller = answer(LARGE_BYTES);
      long held = budget.bytes();
      caller.share.releaseAnswerRoom();
      assertEquals(budget.bytes(), held - LARGE_BYTES);
      fillWithAnswers();
      Caller waiting = answer(LARGE_BYTES);
      waiting.share.releaseAnswerRoom();
      assertFalse(budget.step(0, HEADER_TIMEOUT_MILLIS));
    }

    @Test
    public void thatAreSentUseTheRoomThatWasTaken() {
      Caller caller = answer(LARGE_BYTES);
      long held = budget.bytes();
      caller.share.takeAnswer(LARGE_BYTES);
      assertEquals(budget.bytes(), held);
      caller.share.endRequest();
      assertEquals(budget.bytes(), IngressBudget.CONNECTION_BYTES);
    }
  }

  /** Heads, which are read before anything is known of their request. */
  public static class Heads extends Fixture {
    /** Milliseconds, and whether a head without end is closed by then. */
    @DataProvider
    public Object[][] times() {
      return new Object[][] {{2900, false}, {3200, true}};
    }

    @Test(dataProvider = "times")
    public void withoutEndAreClosedAtTheHeaderTimeout(long millis, boolean closed) {
      Caller caller = open("a");
      assertTrue(caller.share.takeHead(100, 3));
      run(millis);
      assertEquals(caller.limit.isPresent(), closed);
    }

    @Test
    public void idleConnectionsStayOpen() {
      Caller caller = open("a");
      caller.share.beginRequest(100, 5);
      caller.share.endRequest();
      run(10 * HEADER_TIMEOUT_MILLIS);
      assertEquals(caller.limit, Optional.empty());
    }

    @Test
    public void ofManyFieldsCountWithTheirObjects() {
      long before = budget.bytes();
      open("a").share.takeHead(5000, 1000);
      assertTrue(budget.bytes() - before >= 1000 * IngressBudget.FIELD_BYTES);
    }

    // Guards against heads that take many times their size once they are decoded.
    @Test
    public void areRefusedIfThereIsNoRoomForWhatIsDecoded() {
      Caller caller = open("a");
      caller.share.beginRequest(16_000, 5);
      assertTrue(caller.share.takeDecodedHead(400_000));
      long held = budget.bytes();
      assertFalse(caller.share.takeDecodedHead(BUDGET_BYTES));
      assertEquals(budget.bytes(), held);
      assertEquals(budget.turnedAway(TurnAway.MEMORY), 1);
      assertEquals(caller.limit, Optional.empty());
    }

    @Test
    public void thatTakeTheWholeBudgetGiveWayToSmallOnes() {
      Caller greedy = open("a");
      for (int i = 0; i < 5; i++) {
        assertTrue(greedy.share.takeHead(16_384, 8000));
      }
      assertFalse(greedy.share.takeHead(16_384, 8000));
      assertEquals(greedy.limit, Optional.of(TurnAway.MEMORY));
      assertTrue(open("b").share.takeHead(500, 10));
    }
  }

  /** Open connections. */
  public static class Connections extends Fixture {
    // Guards against memory that is given back while the connection, which lingers, still has it.
    @Test
    public void holdTheirBytesUntilTheyAreClosed() {
      Caller leaver = open("a");
      assertTrue(leaver.share.takeHead(1000, 10));
      long held = budget.bytes();
      assertTrue(leaver.share.beginClose());
      assertEquals(budget.bytes(), held);
      leaver.share.close();
      assertEquals(budget.bytes(), 0);
    }

    // Guards against bytes that a request takes after its connection was closed, and never gives
    // back.
    @Test
    public void takeNothingOnceTheyAreClosed() {
      Caller leaver = body(1000);
      leaver.share.beginClose();
      assertEquals(leaver.share.takeBody(1000), Admission.REFUSED);
      leaver.share.close();
      assertFalse(leaver.share.takeDecodedHead(1000));
      assertEquals(budget.bytes(), 0);
    }

    @Test
    public void doNotLingerIfTheirBytesAreNeeded() {
      Caller leaver = body(5 << 20);
      assertFalse(leaver.share.beginClose());
    }

    @Test
    public void thatAreBeingClosedTakeNoPlaceOfNewOnes() {
      for (int i = 0; i < 30; i++) {
        open("a").share.beginClose();
      }
      Caller newcomer = open("a");
      run(500);
      assertEquals(newcomer.limit, Optional.empty());
    }

    @Test
    public void unusedOnesGiveWayToNewOnes() {
      Caller used = open("used");
      used.share.beginRequest(100, 5);
      used.share.endRequest();
      for (int i = 0; i < 25; i++) {
        open("a" + i);
      }
      assertEquals(used.limit, Optional.empty());
      assertEquals(budget.turnedAway(TurnAway.CONNECTIONS), 7);
    }

    @Test
    public void newOnesAreClosedIfAllAreInUse() {
      for (int i = 0; i < 20; i++) {
        body(100);
      }
      assertEquals(open("b").limit, Optional.of(TurnAway.CONNECTIONS));
    }

    @Test
    public void ofOneAddressAreBounded() {
      Caller other = open("b");
      for (int i = 0; i < 11; i++) {
        open("a");
      }
      assertEquals(budget.turnedAway(TurnAway.CONNECTIONS_OF_ADDRESS), 1);
      assertEquals(other.limit, Optional.empty());
    }
  }
}
