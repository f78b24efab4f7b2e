package org.clementinequay.server.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints rows of text in aligned, left-justified columns. */
final class TextTable {
  private final List<List<String>> rows = new ArrayList<>();

  TextTable(String... headers) {
    rows.add(List.of(headers));
  }

  void addRow(String... cells) {
    rows.add(List.of(cells));
  }

  void print(PrintStream out) {
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int i = 0; i < row.size(); i++) {
        int column = i;
        int width = rows.stream().mapToInt(r -> r.get(column).length()).max().orElse(0);
        line.append(row.get(i)).append(" ".repeat(width - row.get(i).length() + 2));
      }
      out.println(line.toString().stripTrailing());
    }
  }
}
