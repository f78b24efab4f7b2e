package org.clementinequay.server.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.clementinequay.core.config.ConfigurationDiff;

/** Prints configuration changes received from an entry host as JSON. */
final class ChangePrinter {
  private ChangePrinter() {}

  /**
   * Prints one line per change.
   *
   * @param changes objects with {@code pointer} and optional {@code before} and {@code after}
   */
  static void print(JsonNode changes, PrintStream out) {
    List<ConfigurationDiff.Change> parsed = new ArrayList<>();
    changes.forEach(
        change ->
            parsed.add(
                new ConfigurationDiff.Change(
                    change.path("pointer").asText(),
                    Optional.ofNullable(change.path("before").textValue()),
                    Optional.ofNullable(change.path("after").textValue()))));
    parsed.forEach(out::println);
  }
}
