package org.clementinequay.core.claim;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.clementinequay.core.Incarnation;

/**
 * An idempotency key issued by an entry host. Only the issuing process runs requests under it, so
 * no claim row is needed in the store before a request is sent.
 *
 * @param domain failure domain of the issuer, from which a host can tell whether the issuer is
 *     likely to be reachable
 * @param issuer process that issued the key
 * @param number number of the key within that process
 */
public record IssuedKey(String domain, Incarnation issuer, long number) {
  private static final String PREFIX = "rk1.";
  private static final Pattern TEXT_FORMAT =
      Pattern.compile("rk1\\.([A-Za-z0-9_-]+)\\.([0-9a-f]{32})\\.([0-9]{1,18})");

  /** Parses a key sent by a caller; empty if the key is not in the format of issued keys. */
  public static Optional<IssuedKey> parse(String text) {
    Matcher matcher = TEXT_FORMAT.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(
        new IssuedKey(
            matcher.group(1), new Incarnation(matcher.group(2)), Long.parseLong(matcher.group(3))));
  }

  @Override
  public String toString() {
    return PREFIX + domain + "." + issuer + "." + number;
  }
}
