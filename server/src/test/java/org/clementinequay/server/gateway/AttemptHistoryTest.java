package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import org.clementinequay.core.forward.RequestKind;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against attempts that are counted wrongly or that run a request twice. */
public class AttemptHistoryTest {
  @Test
  public void secondOfferThatIsNotSentLeavesTheFirstCounted() {
    AttemptHistory history = new AttemptHistory(RequestKind.IDEMPOTENT);
    history.recordStart("u1");
    history.recordRejected("u1");
    history.recordStart("u1");
    history.recordNotSent();
    assertEquals(history.count(), 1);
    history.recordStart("u2");
    assertEquals(history.count(), 2);
    history.recordNotSent();
    assertEquals(history.count(), 1);
  }

  @DataProvider
  public static Object[] kinds() {
    return RequestKind.values();
  }

  // Guards against a second run of a request whose answer is replaced or whose attempt goes on
  // (review/14).
  @Test(dataProvider = "kinds")
  public void onlyRetryableRequestsAreSentAgainAfterAnAttemptThatMayHaveRun(RequestKind kind) {
    AttemptHistory history = new AttemptHistory(kind);
    history.recordStart("u1");
    assertEquals(history.allowsAnother(), kind.retryable());
    history.recordNotSent();
    assertTrue(history.allowsAnother());
    history.recordStart("u2");
    history.recordRejected("u2");
    assertTrue(history.allowsAnother());
    history.recordStart("u3");
    history.recordMayHaveRun();
    assertEquals(history.allowsAnother(), kind.retryable());
    if (!kind.retryable()) {
      assertThrows(IllegalStateException.class, () -> history.recordStart("u4"));
    }
  }

  // Guards against a retry budget that is empty after a crash of many upstreams.
  @Test
  public void attemptThatWasNotSentTakesNothingFromTheRetryBudget() {
    AttemptHistory history = new AttemptHistory(RequestKind.AT_MOST_ONCE);
    history.recordStart("u1");
    history.recordNotSent();
    assertFalse(history.nextUsesRetryBudget());
    history.recordStart("u2");
    history.recordMisdirected();
    assertTrue(history.nextUsesRetryBudget());
    assertEquals(history.count(), 0);
  }
}
