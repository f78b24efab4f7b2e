package org.clementinequay.core;

import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * Unique identifier of one run of an entry host process: 128 random bits as 32 hexadecimal digits.
 * A restart generates a new one, so that the state of an earlier run is never mistaken for that of
 * the current run.
 *
 * @param id 32 lower-case hexadecimal digits
 */
public record Incarnation(String id) implements Comparable<Incarnation> {
  private static final int HEX_DIGITS = 32;

  /** Creates an incarnation; the id must have 32 characters and no upper-case letters. */
  public Incarnation {
    if (id.length() != HEX_DIGITS || !id.equals(id.toLowerCase(Locale.ROOT))) {
      throw new IllegalArgumentException("not an incarnation: " + id);
    }
  }

  /** Generates an incarnation from a source that should be cryptographically strong. */
  public static Incarnation random(RandomGenerator random) {
    return new Incarnation(String.format("%016x%016x", random.nextLong(), random.nextLong()));
  }

  @Override
  public int compareTo(Incarnation other) {
    return id.compareTo(other.id);
  }

  @Override
  public String toString() {
    return id;
  }
}
