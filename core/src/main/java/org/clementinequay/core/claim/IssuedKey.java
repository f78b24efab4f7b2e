package org.clementinequay.core.claim;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.clementinequay.core.Incarnation;

/**
 * An idempotency key that an entry host issued. Only the issuing process runs a request under it,
 * so that it needs no row in the store before the request is sent.
 *
 * @param domain failure domain of the issuer, which tells a host whether it can expect to reach it
 * @param issuer the process that issued the key
 * @param number number of the key within that process
 */
public record IssuedKey(String domain, Incarnation issuer, long number) {
  private static final String PREFIX = "rk1.";
  private static final Pattern FORM =
      Pattern.compile("rk1\\.([A-Za-z0-9_-]+)\\.([0-9a-f]{32})\\.([0-9]{1,18})");

  /** Parses a key sent by a caller; empty if it is a key of the caller's own making. */
  public static Optional<IssuedKey> parse(String text) {
    Matcher matcher = FORM.matcher(text);
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
