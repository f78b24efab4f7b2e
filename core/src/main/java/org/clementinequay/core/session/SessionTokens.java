package org.clementinequay.core.session;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.time.Instant;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.platform.RowFields;

/**
 * Signs and verifies session tokens with HMAC-SHA256, so that every entry host can verify a token
 * without shared storage. The first key signs and all keys verify. To rotate keys, append the new
 * key on all hosts, then move it to the front, then remove the old one.
 */
public final class SessionTokens {
  private static final String ALGORITHM = "HmacSHA256";
  private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();
  private static final Base64.Decoder DECODER = Base64.getUrlDecoder();

  private final SessionKey signingKey;
  private final Map<String, SessionKey> keysById = new HashMap<>();

  /**
   * Creates a signer and verifier; the first key signs.
   *
   * @throws IllegalArgumentException if there are no keys
   */
  public SessionTokens(List<SessionKey> keys) {
    if (keys.isEmpty()) {
      throw new IllegalArgumentException("at least one session key is required");
    }
    this.signingKey = keys.get(0);
    keys.forEach(key -> this.keysById.put(key.id(), key));
  }

  /** Returns a token for the binding: payload and signature in base64url, separated by a dot. */
  public String sign(SessionBinding binding) {
    String payload =
        RowFields.builder()
            .text("a", binding.account())
            .text("k", signingKey.id())
            .text("v", binding.version().toString())
            .number("x", binding.expires().getEpochSecond())
            .encode();
    byte[] bytes = payload.getBytes(StandardCharsets.UTF_8);
    return ENCODER.encodeToString(bytes)
        + "."
        + ENCODER.encodeToString(computeMac(signingKey, bytes));
  }

  /**
   * Verifies a token and returns its content.
   *
   * @throws InvalidSessionException if the token is malformed, expired or not signed by a known key
   */
  public SessionBinding verify(String token, Instant now) throws InvalidSessionException {
    int dot = token.indexOf('.');
    if (dot < 0) {
      throw new InvalidSessionException("session token is malformed");
    }
    try {
      byte[] payload = DECODER.decode(token.substring(0, dot));
      byte[] signature = DECODER.decode(token.substring(dot + 1));
      RowFields fields = RowFields.parse(new String(payload, StandardCharsets.UTF_8));
      SessionKey key = keysById.get(fields.text("k"));
      if (key == null || !MessageDigest.isEqual(signature, computeMac(key, payload))) {
        throw new InvalidSessionException("session token is not signed by a known key");
      }
      Instant expires = Instant.ofEpochSecond(fields.number("x"));
      if (!now.isBefore(expires)) {
        throw new InvalidSessionException("session expired at " + expires);
      }
      return new SessionBinding(fields.text("a"), ModelVersion.parse(fields.text("v")), expires);
    } catch (IllegalArgumentException e) {
      throw new InvalidSessionException("session token is malformed");
    }
  }

  private static byte[] computeMac(SessionKey key, byte[] payload) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
      return mac.doFinal(payload);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the Java runtime does not support " + ALGORITHM, e);
    }
  }
}
