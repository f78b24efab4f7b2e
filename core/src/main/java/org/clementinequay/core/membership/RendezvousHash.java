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
 * candidates for a key without communication, and the loss of a candidate moves only the keys that
 * were assigned to it. The score is {@code -weight / ln(u)}, with {@code u} in (0, 1) taken from
 * the first 53 bits of the SHA-256 of key and candidate; a candidate is first with a probability
 * proportional to its weight. SHA-256 is in every JDK and gives the same values on every host,
 * which {@code Object.hashCode} does not guarantee.
 */
public final class RendezvousHash {
  private static final int UNUSED_BITS = 11;
  private static final double UNIT_INTERVAL_SCALE = 0x1.0p-53;

  private RendezvousHash() {}

  /**
   * Returns the candidates in descending order of their score for a key.
   *
   * @param key name of what is assigned, such as a duty
   * @param name returns the unique name of a candidate, by which equal scores are ordered
   * @param weight returns the size of a candidate relative to the others, greater than 0
   * @throws IllegalArgumentException if a weight is not positive and finite
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

  /** Returns the candidate to which a key is assigned; empty if there are no candidates. */
  public static <T> Optional<T> preferred(
      String key, Collection<T> candidates, Function<T, String> name, ToDoubleFunction<T> weight) {
    return order(key, candidates, name, weight).stream().findFirst();
  }

  /**
   * Returns the score of a candidate for a key; the candidate with the highest score is preferred.
   *
   * @throws IllegalArgumentException if the weight is not positive and finite
   */
  public static double score(String key, String candidate, double weight) {
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException(
          "weight of " + candidate + " is not positive and finite: " + weight);
    }
    return -weight / Math.log(uniform(key, candidate));
  }

  private static double uniform(String key, String candidate) {
    MessageDigest digest = sha256();
    digest.update(key.getBytes(StandardCharsets.UTF_8));
    // The zero byte separates key and candidate, so that ("ab", "c") and ("a", "bc") differ.
    digest.update((byte) 0);
    digest.update(candidate.getBytes(StandardCharsets.UTF_8));
    long bits = ByteBuffer.wrap(digest.digest()).getLong() >>> UNUSED_BITS;
    return (bits + 0.5) * UNIT_INTERVAL_SCALE;
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JDK provides SHA-256", e);
    }
  }
}
