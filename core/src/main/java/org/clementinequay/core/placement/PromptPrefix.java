package org.clementinequay.core.placement;

import java.util.List;
import org.clementinequay.core.SplitMix64;

/**
 * Beginning of a prompt that other requests may share.
 *
 * @param model model that reads the prompt; engines cache parts by model
 * @param parts all shared parts in order
 */
public record PromptPrefix(String model, List<Part> parts) {
  private static final PromptPrefix NONE = new PromptPrefix("", List.of());

  /**
   * Part of a prompt.
   *
   * @param id id of the part; equal parts of different prompts have the same id
   * @param tokens length in tokens
   */
  public record Part(String id, int tokens) {}

  /** Stores an unmodifiable copy of the list. */
  public PromptPrefix {
    parts = List.copyOf(parts);
  }

  /** Returns the prefix of a prompt that shares nothing. */
  public static PromptPrefix none() {
    return NONE;
  }

  public boolean isEmpty() {
    return parts.isEmpty();
  }

  /** Returns the number of tokens of all parts. */
  public int tokens() {
    return parts.stream().mapToInt(Part::tokens).sum();
  }

  /** Returns this prefix with all parts as one, which is cached as a whole or not at all. */
  public PromptPrefix asOnePart() {
    return parts.size() < 2
        ? this
        : new PromptPrefix(model, List.of(new Part(parts.get(parts.size() - 1).id(), tokens())));
  }

  /**
   * Returns a key of each beginning of the prefix, shortest first. A key depends on the model and
   * on all parts up to its own, and is the same on every host.
   */
  long[] keys() {
    long[] keys = new long[parts.size()];
    long key = hash(0, model);
    for (int i = 0; i < keys.length; i++) {
      key = hash(key, parts.get(i).id());
      keys[i] = key;
    }
    return keys;
  }

  private static long hash(long seed, String text) {
    long hash = SplitMix64.mix(seed + 0x9e3779b97f4a7c15L);
    for (int i = 0; i < text.length(); i++) {
      hash = hash * 0x100000001b3L ^ text.charAt(i);
    }
    return SplitMix64.mix(hash);
  }
}
