package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.eclipse.jetty.http.HttpFields;
import org.testng.annotations.Test;

/** Guards against callers whose heads a host keeps after their requests. */
public class GatewayRequestTest {
  private static String session(String id) {
    return new GatewayRequest(
            Optional.empty(),
            "GET",
            "h",
            "/",
            "/",
            Optional.empty(),
            OptionalLong.empty(),
            OptionalLong.empty(),
            Optional.of(id),
            0,
            0,
            OptionalInt.empty(),
            List.of(),
            HttpFields.EMPTY)
        .session()
        .orElseThrow();
  }

  @Test
  public void usualIdOfASessionIsKept() {
    assertEquals(session("a-session"), "a-session");
  }

  @Test
  public void longIdOfASessionIsShortened() {
    String id = "x".repeat(60_000);
    assertTrue(session(id).length() <= 128, session(id).length() + " characters");
    assertEquals(session(id), session("x".repeat(60_000)));
    assertNotEquals(session(id + "a"), session(id + "b"));
  }
}
