package org.clementinequay.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against answers without end that fill the heap although each is bounded. */
public class AnswerBudgetTest {
  private static final long BUDGET_BYTES = 10_000;

  private AnswerBudget budget;

  @BeforeMethod
  public void createBudget() {
    budget = new AnswerBudget(BUDGET_BYTES);
  }

  private static final class Answer implements AnswerBudget.Holder {
    @Override
    public void giveWay() {}
  }

  @Test
  public void theLargestGiveWay() {
    AnswerBudget.Holder ordinary = new Answer();
    List<AnswerBudget.Holder> gaveWay = new ArrayList<>(budget.resize(ordinary, 500));
    List<AnswerBudget.Holder> endless = List.of(new Answer(), new Answer(), new Answer());
    for (int size = 100; size <= 9000; size += 100) {
      for (AnswerBudget.Holder answer : endless) {
        if (!gaveWay.contains(answer)) {
          gaveWay.addAll(budget.resize(answer, size));
          assertTrue(budget.bytes() <= BUDGET_BYTES, budget.bytes() + " bytes");
        }
      }
    }
    assertEquals(gaveWay.size(), 2);
    assertEquals(budget.displaced(), 2);
    assertFalse(gaveWay.contains(ordinary));
    gaveWay.forEach(answer -> budget.resize(answer, 0));
    endless.forEach(answer -> budget.resize(answer, 0));
    budget.resize(ordinary, 0);
    assertEquals(budget.bytes(), 0);
  }

  @Test
  public void oneThatIsLargerThanTheBudgetGivesWayItself() {
    AnswerBudget.Holder answer = new Answer();
    assertEquals(budget.resize(answer, BUDGET_BYTES + 1), List.of(answer));
    assertEquals(budget.bytes(), 0);
  }
}
