package org.clementinequay.server.document;

import java.util.Collection;
import java.util.Comparator;
import java.util.Locale;
import java.util.Optional;

/** Finds the known name that is most similar to a misspelled one, by Levenshtein distance. */
final class NearestName {
  private NearestName() {}

  /** Returns the most similar known name, ignoring case, or empty if there are no known names. */
  static Optional<String> of(String name, Collection<String> known) {
    return known.stream().min(Comparator.comparingInt(candidate -> distance(name, candidate)));
  }

  private static int distance(String left, String right) {
    String from = left.toLowerCase(Locale.ROOT);
    String to = right.toLowerCase(Locale.ROOT);
    int[] previous = new int[to.length() + 1];
    for (int j = 0; j <= to.length(); j++) {
      previous[j] = j;
    }
    for (int i = 1; i <= from.length(); i++) {
      int[] current = new int[to.length() + 1];
      current[0] = i;
      for (int j = 1; j <= to.length(); j++) {
        int substitution = previous[j - 1] + (from.charAt(i - 1) == to.charAt(j - 1) ? 0 : 1);
        current[j] = Math.min(substitution, 1 + Math.min(previous[j], current[j - 1]));
      }
      previous = current;
    }
    return previous[to.length()];
  }
}
