package org.clementinequay.core;

import java.util.Locale;
import java.util.random.RandomGenerator;

/**
 * Identity of one run of an entry host process: 128 random bits as 32 hexadecimal digits. A restart
 * draws a new one, so that state of an earlier run is never taken for state of this run.
 *
 * @param id 32 lower-case hexadecimal digits
 */
public record Incarnation(String id) implements Comparable<Incarnation> {
  private static final int HEX_DIGITS = 32;

  /** Checks the form of the id. */
  public Incarnation {
    if (id.length() != HEX_DIGITS || !id.equals(id.toLowerCase(Locale.ROOT))) {
      throw new IllegalArgumentException("not an incarnation: " + id);
    }
  }

  /** Draws a new incarnation from a source that should be cryptographically strong. */
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
