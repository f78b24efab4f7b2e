package org.clementinequay.core.membership;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/**
 * Weighted rendezvous hashing (highest random weight): every host computes the same order of
 * candidates for a key without talking to the others, and the loss of one candidate moves only the
 * keys that it held. The score is {@code -weight / ln(u)}, with {@code u} in (0, 1) taken from the
 * first 53 bits of the SHA-256 of key and candidate; a candidate is first with a probability
 * proportional to its weight. SHA-256 is in every JDK and gives the same values on every host,
 * which {@code Object.hashCode} does not promise.
 */
public final class RendezvousHash {
  private static final int UNUSED_BITS = 11;
  private static final double UNIT = 0x1.0p-53;

  private RendezvousHash() {}

  /**
   * Orders candidates by preference.
   *
   * @param key what is assigned, such as the name of a duty
   * @param name unique name of a candidate; equal scores are ordered by it
   * @param weight size of a candidate relative to the others, greater than 0
   */
  public static <T> List<T> order(
      String key, Collection<T> candidates, Function<T, String> name, ToDoubleFunction<T> weight) {
    record Scored<T>(T candidate, String name, double score) {}
    List<Scored<T>> scored = new ArrayList<>(candidates.size());
    for (T candidate : candidates) {
      String candidateName = name.apply(candidate);
      double score = score(key, candidateName, weight.applyAsDouble(candidate));
      scored.add(new Scored<>(candidate, candidateName, score));
    }
    scored.sort(
        Comparator.<Scored<T>>comparingDouble(Scored::score)
            .reversed()
            .thenComparing(Scored::name));
    return scored.stream().map(Scored::candidate).toList();
  }

  /** Returns the candidate that should hold a key; empty if there is none. */
  public static <T> Optional<T> preferred(
      String key, Collection<T> candidates, Function<T, String> name, ToDoubleFunction<T> weight) {
    return order(key, candidates, name, weight).stream().findFirst();
  }

  /**
   * Returns the score of a candidate for a key.
   *
   * @throws IllegalArgumentException if the weight is not positive and finite
   */
  public static double score(String key, String candidate, double weight) {
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight of " + candidate + " is not positive: " + weight);
    }
    return -weight / Math.log(uniform(key, candidate));
  }

  private static double uniform(String key, String candidate) {
    MessageDigest digest = sha256();
    digest.update(key.getBytes(StandardCharsets.UTF_8));
    // Separates the parts, so that ("ab", "c") and ("a", "bc") differ.
    digest.update((byte) 0);
    digest.update(candidate.getBytes(StandardCharsets.UTF_8));
    long bits = ByteBuffer.wrap(digest.digest()).getLong() >>> UNUSED_BITS;
    return (bits + 0.5) * UNIT;
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK provides SHA-256", e);
    }
  }
}
