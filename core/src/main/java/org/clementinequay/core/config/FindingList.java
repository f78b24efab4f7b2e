package org.clementinequay.core.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/** Collects findings, and implements the checks that apply to all kinds of items. */
final class FindingList {
  /**
   * Excludes '@', which separates model and version, and '/', which separates parts of row keys.
   */
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");

  private final List<Finding> findings = new ArrayList<>();

  List<Finding> toList() {
    return List.copyOf(findings);
  }

  void error(String pointer, String message) {
    findings.add(Finding.error(pointer, message));
  }

  void warning(String pointer, String message) {
    findings.add(Finding.warning(pointer, message));
  }

  /** Reports an error if an integer is outside the bounds, which are inclusive. */
  void checkRange(String pointer, long value, long min, long max) {
    if (value < min || value > max) {
      error(pointer, "must be from " + min + " to " + max);
    }
  }

  /** Reports an error if a number is NaN or outside the bounds, which are inclusive. */
  void checkRange(String pointer, double value, double min, double max) {
    boolean inRange = value >= min && value <= max;
    if (!inRange) {
      error(pointer, "must be from " + formatBound(min) + " to " + formatBound(max));
    }
  }

  /** Reports an error for each item whose name is malformed or already used in the list. */
  <T> void checkNames(String pointer, String kind, List<T> items, Function<T, String> nameOf) {
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < items.size(); i++) {
      String name = nameOf.apply(items.get(i));
      String itemPointer = pointer + "/" + i + "/name";
      if (name == null || !NAME.matcher(name).matches()) {
        error(
            itemPointer,
            "\""
                + name
                + "\" is not a name: 1 to 64 letters, digits, '.', '_' or '-',"
                + " starting with a letter or digit");
      } else if (!seen.add(name)) {
        error(itemPointer, kind + " \"" + name + "\" is defined more than once");
      }
    }
  }

  /** Reports an error for each string that occurs earlier in the list. */
  void checkDistinct(String pointer, List<String> items) {
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < items.size(); i++) {
      if (!seen.add(items.get(i))) {
        error(pointer + "/" + i, "\"" + items.get(i) + "\" is listed more than once");
      }
    }
  }

  /** Reports an error for each string of a list that is not a defined name. */
  void checkReferences(String pointer, String kind, List<String> items, Set<String> defined) {
    for (int i = 0; i < items.size(); i++) {
      if (!defined.contains(items.get(i))) {
        error(pointer + "/" + i, kind + " \"" + items.get(i) + "\" is not defined");
      }
    }
  }

  private static String formatBound(double bound) {
    return bound == Math.rint(bound) ? Long.toString((long) bound) : Double.toString(bound);
  }
}
