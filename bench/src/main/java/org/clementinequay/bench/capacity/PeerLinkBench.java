package org.clementinequay.bench.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;

/**
 * Measures the cost of links between entry hosts for several link counts and fits a straight line
 * to each cost. Full meshes of several sizes are measured, and a star whose center has as many
 * links as a host has at the expected deployment size.
 */
public final class PeerLinkBench {
  private static final int SETTLE_SECONDS = 5;
  private static final int WARM_UP_HOSTS = 16;
  private static final int WARM_UP_SECONDS = 20;
  private static final int REVISIONS_PER_GROUP = 5;
  private static final long SETTLE_MILLIS = 300;
  private static final double NANOS_PER_MILLI = 1e6;

  private static final String TABLE_HEADER =
      "| shape | hosts | links | bytes/s | bytes/s per link | processor ms/s | heap per link"
          + " | threads | revision ms, median | worst | links lost |\n"
          + "|---|---|---|---|---|---|---|---|---|---|---|\n";

  private PeerLinkBench() {}

  /**
   * Result for one group of hosts; costs are those of its first host unless stated otherwise.
   *
   * @param hosts number of hosts
   * @param links number of links
   * @param bytesPerSecond bytes of frames sent and received per second
   * @param processorMillis processor time per second, in milliseconds
   * @param heapPerLink heap used by one end of a link, in bytes, averaged over all hosts
   * @param threads number of threads
   * @param spreadMillis median time until all hosts have applied a new revision
   * @param spreadWorstMillis longest time until all hosts have applied a new revision
   * @param lostLinks number of links lost once the links had settled, summed over all hosts
   */
  private record Point(
      int hosts,
      int links,
      double bytesPerSecond,
      double processorMillis,
      double heapPerLink,
      int threads,
      double spreadMillis,
      double spreadWorstMillis,
      long lostLinks) {}

  /**
   * Runs the measurement and prints a Markdown table and JSON. Options are {@code --hosts}, {@code
   * --star}, {@code --seconds} and {@code --document-bytes}.
   */
  public static void run(List<String> args) throws Exception {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> meshSizes =
        parser
            .accepts("hosts", "numbers of hosts of the full meshes")
            .withRequiredArg()
            .ofType(Integer.class)
            .withValuesSeparatedBy(',')
            .defaultsTo(2, 4, 8, 16, 32);
    OptionSpec<Integer> starLinks =
        parser
            .accepts("star", "links of the center of the star, 0 to skip the star")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(70);
    OptionSpec<Integer> seconds =
        parser
            .accepts("seconds", "duration of each measurement")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(10);
    OptionSpec<Integer> documentBytes =
        parser
            .accepts("document-bytes", "size of the configuration document")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(50_000);
    OptionSet options = parser.parse(args.toArray(String[]::new));
    ObjectMapper mapper = new ObjectMapper();
    ObjectNode report = mapper.createObjectNode();
    ArrayNode meshReports = report.putArray("meshes");
    List<Point> meshPoints = new ArrayList<>();
    // Warms up, so that the work of the JIT compiler is not charged to the smallest mesh.
    measure(WARM_UP_HOSTS, false, WARM_UP_SECONDS, options.valueOf(documentBytes));
    StringBuilder table = new StringBuilder(TABLE_HEADER);
    for (int size : options.valuesOf(meshSizes)) {
      Point point = measure(size, false, options.valueOf(seconds), options.valueOf(documentBytes));
      table.append(tableRow("mesh", point));
      meshPoints.add(point);
      meshReports.add(mapper.valueToTree(point));
    }
    if (options.valueOf(starLinks) > 0) {
      Point point =
          measure(
              options.valueOf(starLinks) + 1,
              true,
              options.valueOf(seconds),
              options.valueOf(documentBytes));
      table.append(tableRow("star", point));
      report.set("star", mapper.valueToTree(point));
    }
    addLinearFit(report, meshPoints, "bytes_per_second_per_link", Point::bytesPerSecond);
    addLinearFit(report, meshPoints, "processor_ms_per_second_per_link", Point::processorMillis);
    // Printed last, so that log lines on the same stream do not split the table.
    System.out.println(table);
    System.out.println(report.toPrettyString());
  }

  private static Point measure(int size, boolean isStar, int seconds, int documentBytes)
      throws Exception {
    long heapBytesBefore = usedHeapBytes();
    try (PeerGroup group = new PeerGroup(size, isStar)) {
      TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
      double linkEnds = isStar ? 2.0 * (size - 1) : (double) size * (size - 1);
      double heapPerLink = (usedHeapBytes() - heapBytesBefore) / linkEnds;
      long lostLinksBefore = group.lostLinks();
      long bytesBefore = group.trafficBytes();
      long cpuNanosBefore = group.cpuNanos();
      long startNanos = System.nanoTime();
      TimeUnit.SECONDS.sleep(seconds);
      double elapsedSeconds =
          (System.nanoTime() - startNanos) / (double) TimeUnit.SECONDS.toNanos(1);
      double bytesPerSecond = (group.trafficBytes() - bytesBefore) / elapsedSeconds;
      double processorMillis =
          (group.cpuNanos() - cpuNanosBefore) / NANOS_PER_MILLI / elapsedSeconds;
      int threads = group.threads();
      long[] spreadNanos = new long[REVISIONS_PER_GROUP];
      for (int i = 0; i < REVISIONS_PER_GROUP; i++) {
        spreadNanos[i] = group.distributeRevision(i + 1, documentBytes);
        Thread.sleep(SETTLE_MILLIS);
      }
      long[] sorted = LongStream.of(spreadNanos).sorted().toArray();
      return new Point(
          size,
          group.links(),
          bytesPerSecond,
          processorMillis,
          heapPerLink,
          threads,
          sorted[REVISIONS_PER_GROUP / 2] / NANOS_PER_MILLI,
          sorted[REVISIONS_PER_GROUP - 1] / NANOS_PER_MILLI,
          group.lostLinks() - lostLinksBefore);
    }
  }

  private static long usedHeapBytes() throws InterruptedException {
    for (int i = 0; i < 2; i++) {
      System.gc();
      Thread.sleep(SETTLE_MILLIS);
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static String tableRow(String topology, Point point) {
    return String.format(
        Locale.ROOT,
        "| %s | %d | %d | %.0f | %.1f | %.2f | %.0f | %d | %.1f | %.1f | %d |%n",
        topology,
        point.hosts(),
        point.links(),
        point.bytesPerSecond(),
        point.bytesPerSecond() / point.links(),
        point.processorMillis(),
        point.heapPerLink(),
        point.threads(),
        point.spreadMillis(),
        point.spreadWorstMillis(),
        point.lostLinks());
  }

  /** Adds slope and intercept of the least-squares line of a cost over the number of links. */
  private static void addLinearFit(
      ObjectNode report, List<Point> points, String name, ToDoubleFunction<Point> cost) {
    double meanLinks = points.stream().mapToDouble(Point::links).average().orElse(0);
    double meanCost = points.stream().mapToDouble(cost).average().orElse(0);
    double sumOfProducts = 0;
    double sumOfSquares = 0;
    for (Point point : points) {
      sumOfProducts += (point.links() - meanLinks) * (cost.applyAsDouble(point) - meanCost);
      sumOfSquares += (point.links() - meanLinks) * (point.links() - meanLinks);
    }
    double slope = sumOfSquares == 0 ? 0 : sumOfProducts / sumOfSquares;
    ObjectNode fit = report.putObject(name);
    fit.put("slope", slope);
    fit.put("intercept", meanCost - slope * meanLinks);
  }
}
