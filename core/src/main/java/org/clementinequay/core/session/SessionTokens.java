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
 * Signs and checks session tokens with HMAC-SHA256, so that every entry host can check a token
 * without a store. The first key signs and all keys verify; a key is rotated by adding the new one
 * at the end everywhere, then moving it to the front, then removing the old one.
 */
public final class SessionTokens {
  private static final String ALGORITHM = "HmacSHA256";
  private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();
  private static final Base64.Decoder DECODER = Base64.getUrlDecoder();

  private final SessionKey signer;
  private final Map<String, SessionKey> keys = new HashMap<>();

  /** Creates a codec; the first key signs. */
  public SessionTokens(List<SessionKey> keys) {
    if (keys.isEmpty()) {
      throw new IllegalArgumentException("no session key");
    }
    this.signer = keys.get(0);
    keys.forEach(key -> this.keys.put(key.id(), key));
  }

  /** Returns the token of a session. */
  public String sign(SessionBinding binding) {
    String payload =
        RowFields.builder()
            .text("a", binding.account())
            .text("k", signer.id())
            .text("v", binding.version().toString())
            .number("x", binding.expires().getEpochSecond())
            .encode();
    byte[] bytes = payload.getBytes(StandardCharsets.UTF_8);
    return ENCODER.encodeToString(bytes) + "." + ENCODER.encodeToString(mac(signer, bytes));
  }

  /**
   * Checks a token.
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
      SessionKey key = keys.get(fields.text("k"));
      if (key == null || !MessageDigest.isEqual(signature, mac(key, payload))) {
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

  private static byte[] mac(SessionKey key, byte[] payload) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(key.secret(), ALGORITHM));
      return mac.doFinal(payload);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the runtime lacks " + ALGORITHM, e);
    }
  }
}
