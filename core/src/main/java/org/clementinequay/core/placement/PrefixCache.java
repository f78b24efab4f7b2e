package org.clementinequay.core.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimates which beginnings of prompts an engine has cached, from the prompts that were sent to
 * it. Like the engine, it drops the least recently used parts first. Not thread-safe.
 */
final class PrefixCache {
  /** Bound on the memory of a host; the cache of an engine holds a few hundred parts. */
  static final int MAX_PARTS = 1024;

  private final Map<Long, Integer> tokensByKey = new LinkedHashMap<>(16, 0.75f, true);
  private long tokens;

  /**
   * Returns the tokens of the longest cached beginning.
   *
   * @param keys result of {@link PromptPrefix#keys}
   */
  int cachedTokens(PromptPrefix prefix, long[] keys) {
    int cached = 0;
    for (int i = 0; i < keys.length && tokensByKey.containsKey(keys[i]); i++) {
      cached += prefix.parts().get(i).tokens();
    }
    return cached;
  }

  /**
   * Records that the engine reads a prompt, the first parts of which stay at least until the next
   * one.
   *
   * @param capacityTokens tokens that the engine caches; the least recently used parts yield
   */
  void record(PromptPrefix prefix, long capacityTokens) {
    long[] keys = prefix.keys();
    List<PromptPrefix.Part> parts = prefix.parts();
    // A part is useless without those before it, so that the first one is used last.
    int kept = Math.min(keys.length, MAX_PARTS);
    for (int i = kept - 1; i >= 0; i--) {
      Integer previous = tokensByKey.put(keys[i], parts.get(i).tokens());
      tokens += parts.get(i).tokens() - (previous == null ? 0 : previous);
    }
    Iterator<Integer> eldest = tokensByKey.values().iterator();
    while (eldest.hasNext()
        && tokensByKey.size() > kept
        && (tokens > capacityTokens || tokensByKey.size() > MAX_PARTS)) {
      tokens -= eldest.next();
      eldest.remove();
    }
  }

  /** Returns the number of parts that are kept. */
  int size() {
    return tokensByKey.size();
  }

  void clear() {
    tokensByKey.clear();
    tokens = 0;
  }
}
