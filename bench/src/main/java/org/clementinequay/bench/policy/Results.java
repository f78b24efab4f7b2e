package org.clementinequay.bench.policy;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/** Collects the tables of one measurement, prints them, and writes them as JSON. */
final class Results {
  private final String name;
  private final long seed;
  private final Path directory;
  private final Map<String, Object> tables = new LinkedHashMap<>();

  Results(String name, long seed, Path directory) {
    this.name = name;
    this.seed = seed;
    this.directory = directory;
  }

  /** Returns a random generator that is seeded from the run's seed and the stream number. */
  RandomGenerator random(long stream) {
    return RandomGeneratorFactory.of("L64X128MixRandom").create(seed * 1_000_003 + stream);
  }

  /**
   * Prints a table and adds it to the JSON file that {@link #write} writes. Cells are strings or
   * numbers.
   */
  void table(String title, List<String> header, List<List<Object>> rows) {
    List<Map<String, Object>> records = new ArrayList<>();
    int[] widths = new int[header.size()];
    for (int i = 0; i < widths.length; i++) {
      widths[i] = header.get(i).length();
    }
    for (List<Object> row : rows) {
      Map<String, Object> record = new LinkedHashMap<>();
      for (int i = 0; i < widths.length; i++) {
        widths[i] = Math.max(widths[i], text(row.get(i)).length());
        record.put(header.get(i), row.get(i));
      }
      records.add(record);
    }
    tables.put(title, records);
    System.out.println();
    System.out.println(name + ": " + title);
    printRow(header, widths);
    rows.forEach(row -> printRow(row, widths));
  }

  /** Writes a plot as an SVG file into the directory of the JSON file. */
  void plot(String plotName, SvgPlot plot) throws IOException {
    Files.createDirectories(directory);
    Files.writeString(directory.resolve(plotName + ".svg"), plot.render());
  }

  void write() throws IOException {
    Files.createDirectories(directory);
    Map<String, Object> document = new LinkedHashMap<>();
    document.put("measurement", name);
    document.put("seed", seed);
    document.put("tables", tables);
    String json =
        new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(document);
    Files.writeString(directory.resolve(name + ".json"), json + "\n");
  }

  static double round(double value, int digits) {
    double scale = Math.pow(10, digits);
    return Double.isFinite(value) ? Math.round(value * scale) / scale : value;
  }

  private static void printRow(List<?> cells, int[] widths) {
    StringBuilder line = new StringBuilder();
    for (int i = 0; i < widths.length; i++) {
      String format = i == 0 ? "%-" + widths[i] + "s" : "  %" + widths[i] + "s";
      line.append(String.format(Locale.ROOT, format, text(cells.get(i))));
    }
    System.out.println(line.toString().stripTrailing());
  }

  private static String text(Object cell) {
    return String.valueOf(cell);
  }
}
