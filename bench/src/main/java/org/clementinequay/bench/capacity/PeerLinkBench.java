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
 * Measures what links between entry hosts cost, at several link counts, and fits a straight line to
 * each cost. The star has one host with as many links as a host has at the expected size.
 */
public final class PeerLinkBench {
  private static final int SETTLE_SECONDS = 5;
  private static final int WARM_UP_HOSTS = 16;
  private static final int WARM_UP_SECONDS = 20;
  private static final int REVISIONS = 5;
  private static final long SETTLE_MILLIS = 300;
  private static final double NANOS_PER_MILLI = 1e6;

  private static final String HEADER =
      "| shape | hosts | links | bytes/s | bytes/s per link | processor ms/s | heap per link"
          + " | threads | revision ms, median | worst | links lost |\n"
          + "|---|---|---|---|---|---|---|---|---|---|---|\n";

  private PeerLinkBench() {}

  /**
   * Result for one group of hosts; costs are those of its first host.
   *
   * @param hosts number of hosts
   * @param links links of the first host
   * @param bytesPerSecond bytes of frames sent and received in a second
   * @param processorMillis processor time in a second, in milliseconds
   * @param heapPerLink heap of one end of a link, in bytes
   * @param threads threads
   * @param spreadMillis median time until a new revision is in force at all hosts
   * @param spreadWorstMillis longest such time
   * @param lostLinks links lost after the start, over all hosts
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

  /** Runs the measurement; options are --hosts, --star, --seconds and --document-bytes. */
  public static void run(List<String> args) throws Exception {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> sizes =
        parser
            .accepts("hosts", "sizes of full meshes")
            .withRequiredArg()
            .ofType(Integer.class)
            .withValuesSeparatedBy(',')
            .defaultsTo(2, 4, 8, 16, 32);
    OptionSpec<Integer> star =
        parser
            .accepts("star", "links of the host in the middle of a star, 0 for none")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(70);
    OptionSpec<Integer> seconds =
        parser
            .accepts("seconds", "length of each measurement")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(10);
    OptionSpec<Integer> document =
        parser
            .accepts("document-bytes", "size of the configuration document")
            .withRequiredArg()
            .ofType(Integer.class)
            .defaultsTo(50_000);
    OptionSet options = parser.parse(args.toArray(String[]::new));
    ObjectMapper mapper = new ObjectMapper();
    ObjectNode json = mapper.createObjectNode();
    ArrayNode points = json.putArray("meshes");
    List<Point> meshes = new ArrayList<>();
    // The compiler's work would otherwise be charged to the smallest mesh.
    measure(WARM_UP_HOSTS, false, WARM_UP_SECONDS, options.valueOf(document));
    StringBuilder table = new StringBuilder(HEADER);
    for (int size : options.valuesOf(sizes)) {
      Point point = measure(size, false, options.valueOf(seconds), options.valueOf(document));
      table.append(row("mesh", point));
      meshes.add(point);
      points.add(mapper.valueToTree(point));
    }
    if (options.valueOf(star) > 0) {
      Point point =
          measure(
              options.valueOf(star) + 1, true, options.valueOf(seconds), options.valueOf(document));
      table.append(row("star", point));
      json.set("star", mapper.valueToTree(point));
    }
    slope(json, meshes, "bytes_per_second_per_link", Point::bytesPerSecond);
    slope(json, meshes, "processor_ms_per_second_per_link", Point::processorMillis);
    // At the end, because log lines go to the same stream.
    System.out.println(table);
    System.out.println(json.toPrettyString());
  }

  private static Point measure(int size, boolean star, int seconds, int documentBytes)
      throws Exception {
    long heapBefore = usedHeap();
    try (PeerGroup group = new PeerGroup(size, star)) {
      TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
      double ends = star ? 2.0 * (size - 1) : (double) size * (size - 1);
      double heapPerLink = (usedHeap() - heapBefore) / ends;
      long lost = group.lostLinks();
      long bytes = group.trafficBytes();
      long processor = group.processorNanos();
      long start = System.nanoTime();
      TimeUnit.SECONDS.sleep(seconds);
      double elapsed = (System.nanoTime() - start) / (double) TimeUnit.SECONDS.toNanos(1);
      double bytesPerSecond = (group.trafficBytes() - bytes) / elapsed;
      double processorMillis = (group.processorNanos() - processor) / NANOS_PER_MILLI / elapsed;
      int threads = group.threads();
      long[] spread = new long[REVISIONS];
      for (int i = 0; i < REVISIONS; i++) {
        spread[i] = group.spread(i + 1, documentBytes);
        Thread.sleep(SETTLE_MILLIS);
      }
      long[] sorted = LongStream.of(spread).sorted().toArray();
      return new Point(
          size,
          group.links(),
          bytesPerSecond,
          processorMillis,
          heapPerLink,
          threads,
          sorted[REVISIONS / 2] / NANOS_PER_MILLI,
          sorted[REVISIONS - 1] / NANOS_PER_MILLI,
          group.lostLinks() - lost);
    }
  }

  private static long usedHeap() throws InterruptedException {
    for (int i = 0; i < 2; i++) {
      System.gc();
      Thread.sleep(SETTLE_MILLIS);
    }
    return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
  }

  private static String row(String shape, Point point) {
    return String.format(
        Locale.ROOT,
        "| %s | %d | %d | %.0f | %.1f | %.2f | %.0f | %d | %.1f | %.1f | %d |%n",
        shape,
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

  /** Adds the least-squares line of a cost over the link count. */
  private static void slope(
      ObjectNode json, List<Point> points, String name, ToDoubleFunction<Point> cost) {
    double meanLinks = points.stream().mapToDouble(Point::links).average().orElse(0);
    double meanCost = points.stream().mapToDouble(cost).average().orElse(0);
    double products = 0;
    double squares = 0;
    for (Point point : points) {
      products += (point.links() - meanLinks) * (cost.applyAsDouble(point) - meanCost);
      squares += (point.links() - meanLinks) * (point.links() - meanLinks);
    }
    double slope = squares == 0 ? 0 : products / squares;
    ObjectNode line = json.putObject(name);
    line.put("slope", slope);
    line.put("intercept", meanCost - slope * meanLinks);
  }
}
