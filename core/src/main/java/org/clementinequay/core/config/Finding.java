package org.clementinequay.core.config;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;

/**
 * An error or warning about a configuration document or settings file.
 *
 * @param severity whether the finding prevents the use of the document
 * @param pointer JSON pointer to the value, or empty for the whole document
 * @param line line in the text, starting at 1, or 0 if unknown
 * @param column column in the line, starting at 1, or 0 if unknown
 * @param message description of the problem, without its location
 */
public record Finding(Severity severity, String pointer, int line, int column, String message) {
  /** Orders findings by the position of their values in the text. */
  public static final Comparator<Finding> BY_LOCATION =
      Comparator.comparingInt(Finding::line)
          .thenComparingInt(Finding::column)
          .thenComparing(Finding::pointer);

  /** Rejects null components. */
  public Finding {
    Objects.requireNonNull(severity);
    Objects.requireNonNull(pointer);
    Objects.requireNonNull(message);
  }

  /** Returns an error with an unknown line and column. */
  public static Finding error(String pointer, String message) {
    return new Finding(Severity.ERROR, pointer, 0, 0, message);
  }

  /** Returns a warning with an unknown line and column. */
  public static Finding warning(String pointer, String message) {
    return new Finding(Severity.WARNING, pointer, 0, 0, message);
  }

  /** Returns whether at least one finding is an error. */
  public static boolean hasErrors(List<Finding> findings) {
    return findings.stream().anyMatch(f -> f.severity() == Severity.ERROR);
  }

  /** Returns the same finding with the given line and column, both starting at 1. */
  public Finding withLocation(int newLine, int newColumn) {
    return new Finding(severity, pointer, newLine, newColumn, message);
  }

  /**
   * Returns a one-line message for users that starts with {@code file:line:column}, which editors
   * recognise as a location.
   */
  public String format(String file) {
    String location = line > 0 ? file + ":" + line + ":" + column : file;
    String pointerSuffix = pointer.isEmpty() ? "" : " (" + pointer + ")";
    return location + ": " + severity.label() + ": " + message + pointerSuffix;
  }
}
