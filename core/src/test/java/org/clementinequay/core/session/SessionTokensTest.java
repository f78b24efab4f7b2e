package org.clementinequay.core.session;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.Base64;
import java.util.List;
import org.clementinequay.core.ModelVersion;
import org.testng.annotations.Test;

/** Tests of {@link SessionTokens}: forgery, expiry and key rotation. */
public final class SessionTokensTest {
  private static final Instant NOW = Instant.parse("2026-12-04T12:00:00Z");
  private static final SessionBinding BINDING =
      new SessionBinding("growers", ModelVersion.parse("label-large@v1"), NOW.plusSeconds(60));

  private static SessionKey key(String id) {
    return new SessionKey(id, (id + "-").repeat(32).getBytes(StandardCharsets.US_ASCII));
  }

  /** Tokens that must be accepted. */
  public static final class Accepted {
    /** Fails if a token is refused on another host or while keys are rotated. */
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

    /** Fails if a caller can change the version in its token. */
    @Test
    public void changedPayload() {
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

    /** Fails if a token is accepted at its time of expiry. */
    @Test
    public void expired() {
      String token = tokens.sign(BINDING);
      assertThrows(InvalidSessionException.class, () -> tokens.verify(token, BINDING.expires()));
    }

    /** Fails if a removed key still verifies. */
    @Test
    public void signedByARemovedKey() {
      String token = new SessionTokens(List.of(key("gone"))).sign(BINDING);
      assertThrows(InvalidSessionException.class, () -> tokens.verify(token, NOW));
    }

    /** Fails if malformed input from a caller throws an unchecked exception. */
    @Test
    public void malformed() {
      for (String token : List.of("", ".", "a.b", "%%%.%%%", "YQ.YQ", "no-dot")) {
        assertThrows(InvalidSessionException.class, () -> tokens.verify(token, NOW));
      }
    }
  }
}
