package org.clementinequay.core.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

/** Collects findings; holds the checks that apply to values of every kind. */
final class FindingList {
  /** No '@' and no '/', which separate a model from its version and the parts of row keys. */
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

  /** Checks that a whole number is within bounds, both inclusive. */
  void checkRange(String pointer, long value, long least, long greatest) {
    if (value < least || value > greatest) {
      error(pointer, "must be from " + least + " to " + greatest);
    }
  }

  /** Checks that a number is within bounds, both inclusive; NaN is not. */
  void checkRange(String pointer, double value, double least, double greatest) {
    boolean inside = value >= least && value <= greatest;
    if (!inside) {
      error(pointer, "must be from " + plain(least) + " to " + plain(greatest));
    }
  }

  /** Checks form and uniqueness of the names of a list's items. */
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

  /** Checks that no text occurs twice in a list. */
  void checkDistinct(String pointer, List<String> items) {
    Set<String> seen = new HashSet<>();
    for (int i = 0; i < items.size(); i++) {
      if (!seen.add(items.get(i))) {
        error(pointer + "/" + i, "\"" + items.get(i) + "\" is listed more than once");
      }
    }
  }

  /** Checks that each text of a list is among the defined names. */
  void checkReferences(String pointer, String kind, List<String> items, Set<String> defined) {
    for (int i = 0; i < items.size(); i++) {
      if (!defined.contains(items.get(i))) {
        error(pointer + "/" + i, kind + " \"" + items.get(i) + "\" is not defined");
      }
    }
  }

  private static String plain(double bound) {
    return bound == Math.rint(bound) ? Long.toString((long) bound) : Double.toString(bound);
  }
}
