package org.clementinequay.core.session;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Base64;
import java.util.List;
import org.clementinequay.core.ModelVersion;
import org.testng.annotations.Test;

/** Session tokens: forgery, expiry, rotation of keys. */
public final class SessionTokensTest {
  private static final Instant NOW = Instant.parse("2026-12-04T12:00:00Z");
  private static final SessionBinding BINDING =
      new SessionBinding("growers", ModelVersion.parse("label-large@v1"), NOW.plusSeconds(60));

  private static SessionKey key(String id) {
    return new SessionKey(id, (id + "-").repeat(32).getBytes(StandardCharsets.US_ASCII));
  }

  /** Tokens that are good. */
  public static final class Accepted {
    /** Guards against sessions that break on another host or while keys are rotated. */
    @Test
    public void verifiesWithEveryKnownKey() throws InvalidSessionException {
      String token = new SessionTokens(List.of(key("old"))).sign(BINDING);
      SessionTokens rotated = new SessionTokens(List.of(key("new"), key("old")));
      assertEquals(rotated.verify(token, NOW), BINDING);
    }
  }

  /** Tokens that must be refused. */
  public static final class Refused {
    private final SessionTokens tokens = new SessionTokens(List.of(key("k1")));

    /** Guards against a caller that moves its session to another version. */
    @Test
    public void changedContent() {
      String token = tokens.sign(BINDING);
      String payload =
          new String(
              Base64.getUrlDecoder().decode(token.substring(0, token.indexOf('.'))),
              StandardCharsets.UTF_8);
      String forged =
          Base64.getUrlEncoder()
                  .withoutPadding()
                  .encodeToString(
                      payload.replace("large", "small").getBytes(StandardCharsets.UTF_8))
              + token.substring(token.indexOf('.'));
      assertThrows(InvalidSessionException.class, () -> tokens.verify(forged, NOW));
    }

    /** Guards against a session that outlives its expiry. */
    @Test
    public void expired() {
      String token = tokens.sign(BINDING);
      assertThrows(InvalidSessionException.class, () -> tokens.verify(token, BINDING.expires()));
    }

    /** Guards against a key that still verifies after it was removed. */
    @Test
    public void signedByARemovedKey() {
      String token = new SessionTokens(List.of(key("gone"))).sign(BINDING);
      assertThrows(InvalidSessionException.class, () -> tokens.verify(token, NOW));
    }

    /** Guards against an unchecked exception for garbage from a caller. */
    @Test
    public void garbage() {
      for (String token : List.of("", ".", "a.b", "%%%.%%%", "YQ.YQ", "no-dot")) {
        assertThrows(InvalidSessionException.class, () -> tokens.verify(token, NOW));
      }
    }
  }
}
