package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Guards against attempts that are taken back although they were not counted. */
public class AttemptHistoryTest {
  @Test
  public void secondOfferThatIsNotSentLeavesTheFirstCounted() {
    AttemptHistory history = new AttemptHistory();
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
}
