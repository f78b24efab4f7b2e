package org.clementinequay.core.claim;

import org.clementinequay.core.Incarnation;

/**
 * Unique identity of one attempt to claim a key. A process never sends a request under a token that
 * it has abandoned, so a refusal stays correct even if the row with that token is written later.
 *
 * @param claimer process that made the attempt
 * @param number number of the attempt within that process, from 1
 */
public record ClaimToken(Incarnation claimer, long number) {
  /**
   * Parses the text form produced by {@link #toString()}.
   *
   * @throws IllegalArgumentException if the text is malformed
   */
  public static ClaimToken parse(String text) {
    int dash = text.indexOf('-');
    if (dash < 0) {
      throw new IllegalArgumentException("malformed claim token: " + text);
    }
    return new ClaimToken(
        new Incarnation(text.substring(0, dash)), Long.parseLong(text.substring(dash + 1)));
  }

  @Override
  public String toString() {
    return claimer + "-" + number;
  }
}
