package org.clementinequay.bench.capacity;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.management.ManagementFactory;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.Outcome;
import org.clementinequay.core.RequestId;
import org.clementinequay.core.billing.AttemptState;
import org.clementinequay.core.billing.BillBatch;
import org.clementinequay.core.billing.BillLedger;
import org.clementinequay.core.billing.BillRecord;
import org.clementinequay.core.billing.BillStore;
import org.clementinequay.core.billing.BilledAttempt;
import org.clementinequay.core.cascade.LearnedRates;
import org.clementinequay.core.cascade.RateKey;
import org.clementinequay.core.cascade.RatePath;
import org.clementinequay.core.claim.ClaimKey;
import org.clementinequay.core.claim.ClaimRequest;
import org.clementinequay.core.claim.ClaimService;
import org.clementinequay.core.config.AccountLimits;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.limit.AccountLimiter;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryObjectStore;
import org.clementinequay.core.platform.memory.InMemoryTableService;
import org.clementinequay.core.time.SystemClock;
import org.clementinequay.server.document.DocumentParser;
import org.clementinequay.server.pipeline.ActiveConfiguration;

/**
 * Cost of each further upstream, version, client account, claim, bill record and learned rate, as
 * processor time, heap and bytes. Single-threaded; the processor time is that of this thread.
 */
public final class CapacityBench {
  private static final Incarnation SELF = new Incarnation("0123456789abcdef0123456789abcdef");
  private static final int WARM_UP = 5;
  private static final int REPEATS = 15;

  private final ObjectMapper json = new ObjectMapper();
  private final ObjectNode figures = json.createObjectNode();

  private CapacityBench() {}

  /** Prints the slopes as a table and as JSON. */
  public static void run(List<String> args) throws Exception {
    CapacityBench slopes = new CapacityBench();
    slopes.configuration();
    slopes.claims();
    slopes.bills();
    slopes.policies();
    System.out.println(slopes.figures.toPrettyString());
  }

  private static long cpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static long usedHeap() {
    System.gc();
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  private void print(String name, double value, String unit) {
    System.out.printf(Locale.ROOT, "%-52s %12.2f %s%n", name, value, unit);
    figures.put(name + " (" + unit + ")", value);
  }

  private void configuration() {
    int[][] sizes = {{10, 14, 4}, {100, 150, 8}, {300, 600, 13}};
    for (int[] size : sizes) {
      String text = document(size[0], size[1], size[2]);
      double best = Double.MAX_VALUE;
      for (int i = 0; i < WARM_UP + REPEATS; i++) {
        long before = cpuNanos();
        activate(text);
        best = Math.min(best, (cpuNanos() - before) / 1e6);
      }
      List<ActiveConfiguration> kept = new ArrayList<>();
      long heapBefore = usedHeap();
      for (int i = 0; i < REPEATS; i++) {
        kept.add(activate(text));
      }
      double heap = (usedHeap() - heapBefore) / (double) kept.size();
      String label = size[0] + " accounts, " + size[1] + " upstreams, " + size[2] + " versions: ";
      print(label + "document", text.length() / 1e3, "KB");
      print(label + "processor time of a change", best, "ms");
      print(label + "heap", heap / 1e3, "KB");
    }
  }

  private static ActiveConfiguration activate(String text) {
    RouterConfiguration parsed = DocumentParser.parseAccepted(text).orElseThrow();
    return new ActiveConfiguration(new RevisionedConfiguration(1, "", text, parsed));
  }

  private static String document(int accounts, int upstreams, int versions) {
    StringBuilder text = new StringBuilder("{\"domains\":[{\"name\":\"a\",\"region\":\"r\"}],");
    text.append("\"classes\":[{\"name\":\"c\",\"priority\":0,\"deadlineMillis\":1000,");
    text.append("\"qualityTarget\":0.9}],\"models\":[{\"name\":\"m\",\"versions\":[");
    for (int i = 0; i < versions; i++) {
      text.append(i == 0 ? "" : ",").append("{\"name\":\"v").append(i);
      text.append("\",\"state\":\"live\",\"promptMicrosPerToken\":1,");
      text.append("\"completionMicrosPerToken\":3}");
    }
    text.append("]}],\"cascades\":[],\"routes\":[],\"upstreams\":[");
    for (int i = 0; i < upstreams; i++) {
      text.append(i == 0 ? "" : ",").append("{\"name\":\"upstream-").append(i);
      text.append("\",\"kind\":\"engine\",\"address\":\"10.0.0.1:8000\",\"domain\":\"a\",");
      text.append("\"serves\":[\"m@v").append(i % versions).append("\"],\"slots\":64,");
      text.append("\"checksFencing\":true}");
    }
    text.append("],\"accounts\":[");
    for (int i = 0; i < accounts; i++) {
      text.append(i == 0 ? "" : ",").append("{\"name\":\"account-").append(i);
      text.append("\",\"apiKeySha256\":[\"").append(String.format(Locale.ROOT, "%064x", i));
      text.append("\"],\"models\":[\"m\"],\"cascades\":[],\"routes\":[],\"limits\":{");
      text.append("\"requestsPerSecond\":10,\"burst\":10,\"concurrent\":10}}");
    }
    return text.append("],\"weights\":{\"cost\":1,\"latency\":1,\"exposure\":1}}").toString();
  }

  private void claims() throws InterruptedException {
    for (int batch : new int[] {1, 16, 256}) {
      ClaimService service =
          new ClaimService(
              new InMemoryTableService(CallHook.NONE),
              new InMemoryObjectStore(CallHook.NONE),
              new SystemClock(),
              SELF);
      int rounds = 20_000 / batch;
      int key = claim(service, batch, rounds, 0);
      long before = cpuNanos();
      claim(service, batch, rounds, key);
      double micros = (cpuNanos() - before) / 1e3 / (rounds * (double) batch);
      print("claim, " + batch + " in a transaction: processor time", micros, "us");
      print("claim, " + batch + " in a transaction: store writes", 1.0 / batch, "transactions");
    }
  }

  private static int claim(ClaimService service, int batch, int rounds, int firstKey)
      throws InterruptedException {
    int key = firstKey;
    long deadline = System.nanoTime() + 60_000_000_000L;
    for (int round = 0; round < rounds; round++) {
      List<ClaimRequest> requests = new ArrayList<>();
      for (int i = 0; i < batch; i++) {
        requests.add(
            ClaimRequest.of(new ClaimKey("account", "key-" + key++), new byte[64], deadline));
      }
      service.claim(requests);
    }
    return key;
  }

  private void bills() throws Exception {
    BillStore store =
        new BillStore(
            new InMemoryTableService(CallHook.NONE), new InMemoryObjectStore(CallHook.NONE));
    BillLedger ledger = new BillLedger(SELF);
    int count = 50_000;
    long heapBefore = usedHeap();
    long before = cpuNanos();
    for (int i = 1; i <= count; i++) {
      ledger.add(bill(i));
    }
    double add = (cpuNanos() - before) / 1e3 / count;
    print("bill record: processor time to keep", add, "us");
    print("bill record: heap until sealed", (usedHeap() - heapBefore) / (double) count, "bytes");
    print("bill record: line", bill(count).toLine().length(), "bytes");
    before = cpuNanos();
    int batches = 0;
    for (Optional<BillBatch> b = ledger.batchToWrite(); b.isPresent(); b = ledger.batchToWrite()) {
      store.write(b.get());
      ledger.markWritten(b.get());
      batches++;
    }
    print("bill record: processor time to seal", (cpuNanos() - before) / 1e3 / count, "us");
    print("bill batch: records", count / (double) batches, "records");
  }

  private static BillRecord bill(int sequence) {
    BilledAttempt attempt =
        new BilledAttempt(1, "m@v1", "upstream-1", AttemptState.ACCEPTED, 700, 396, 1888);
    return new BillRecord(
        new RequestId(SELF, sequence),
        "account-1",
        "sheet",
        "m",
        Outcome.RAN,
        Instant.EPOCH,
        List.of(attempt));
  }

  private void policies() throws Exception {
    for (int accounts : new int[] {10, 100, 300}) {
      AccountLimiter limiter = new AccountLimiter(SELF);
      limiter.setMembers(Map.of(SELF, 1.0));
      LearnedRates rates = new LearnedRates(SELF);
      RatePath path = new RatePath(List.of(ModelVersion.parse("m@v1")));
      for (int i = 0; i < accounts; i++) {
        limiter.tryAcquire("account-" + i, new AccountLimits(10, 10, 10), 0);
        rates.record(new RateKey("account-" + i, "sheet", path, RateKey.Kind.PASS), true, 0);
      }
      double limits = json.writeValueAsBytes(limiter.rebalance(1_000_000_000L)).length;
      double learned = json.writeValueAsBytes(rates.report(1)).length;
      print("limit report, " + accounts + " accounts", limits / accounts, "bytes an account");
      print("rate report, " + accounts + " accounts", learned / accounts, "bytes a rate");
    }
  }
}
