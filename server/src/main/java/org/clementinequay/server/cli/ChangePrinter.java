package org.clementinequay.server.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.clementinequay.core.config.ConfigurationDiff;

/** Prints changes that an entry host sent. */
final class ChangePrinter {
  private ChangePrinter() {}

  /** Prints one line for each change. */
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
