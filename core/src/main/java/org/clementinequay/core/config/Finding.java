package org.clementinequay.core.config;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;

/**
 * Something wrong with a document.
 *
 * @param severity whether it prevents the use of the document
 * @param pointer JSON pointer to the value, empty for the whole document
 * @param line line in the text, from 1; 0 if not known
 * @param column column in the line, from 1; 0 if not known
 * @param message what is wrong, without the location
 */
public record Finding(Severity severity, String pointer, int line, int column, String message) {
  /** Orders findings as their values appear in the text. */
  public static final Comparator<Finding> BY_LOCATION =
      Comparator.comparingInt(Finding::line)
          .thenComparingInt(Finding::column)
          .thenComparing(Finding::pointer);

  /** Rejects missing parts. */
  public Finding {
    Objects.requireNonNull(severity);
    Objects.requireNonNull(pointer);
    Objects.requireNonNull(message);
  }

  /** Returns an error without a location in a text. */
  public static Finding error(String pointer, String message) {
    return new Finding(Severity.ERROR, pointer, 0, 0, message);
  }

  /** Returns a warning without a location in a text. */
  public static Finding warning(String pointer, String message) {
    return new Finding(Severity.WARNING, pointer, 0, 0, message);
  }

  /** Returns whether any of the findings prevents the use of the document. */
  public static boolean hasErrors(List<Finding> findings) {
    return findings.stream().anyMatch(f -> f.severity() == Severity.ERROR);
  }

  /** Returns the same finding at a place in a text. */
  public Finding withLocation(int newLine, int newColumn) {
    return new Finding(severity, pointer, newLine, newColumn, message);
  }

  /** Returns one line for people, in the form that editors recognise as a location. */
  public String format(String file) {
    String place = line > 0 ? file + ":" + line + ":" + column : file;
    String where = pointer.isEmpty() ? "" : " (" + pointer + ")";
    return place + ": " + severity.label() + ": " + message + where;
  }
}
