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
 * Measures the incremental cost of each upstream, version, client account, claim, bill record and
 * learned rate in processor time, heap and bytes. Single-threaded: the processor time is that of
 * the calling thread.
 */
public final class CapacityBench {
  private static final Incarnation INCARNATION =
      new Incarnation("0123456789abcdef0123456789abcdef");
  private static final int WARM_UP_ROUNDS = 5;
  private static final int MEASURED_ROUNDS = 15;

  private final ObjectMapper mapper = new ObjectMapper();
  private final ObjectNode results = mapper.createObjectNode();

  private CapacityBench() {}

  /** Runs all measurements, then prints the results as a table and as JSON; takes no options. */
  public static void run(List<String> args) throws Exception {
    CapacityBench bench = new CapacityBench();
    bench.measureConfiguration();
    bench.measureClaims();
    bench.measureBills();
    bench.measurePolicyReports();
    System.out.println(bench.results.toPrettyString());
  }

  private static long threadCpuNanos() {
    return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
  }

  private static long usedHeapBytes() {
    System.gc();
    System.gc();
    Runtime runtime = Runtime.getRuntime();
    return runtime.totalMemory() - runtime.freeMemory();
  }

  /** Prints one result and adds it to the JSON, where the key is made of name and unit. */
  private void addResult(String name, double value, String unit) {
    System.out.printf(Locale.ROOT, "%-52s %12.2f %s%n", name, value, unit);
    results.put(name + " (" + unit + ")", value);
  }

  private void measureConfiguration() {
    int[][] sizes = {{10, 14, 4}, {100, 150, 8}, {300, 600, 13}};
    for (int[] size : sizes) {
      String text = configurationDocument(size[0], size[1], size[2]);
      double minMillis = Double.MAX_VALUE;
      for (int i = 0; i < WARM_UP_ROUNDS + MEASURED_ROUNDS; i++) {
        long cpuNanosBefore = threadCpuNanos();
        activate(text);
        minMillis = Math.min(minMillis, (threadCpuNanos() - cpuNanosBefore) / 1e6);
      }
      List<ActiveConfiguration> retained = new ArrayList<>();
      long heapBytesBefore = usedHeapBytes();
      for (int i = 0; i < MEASURED_ROUNDS; i++) {
        retained.add(activate(text));
      }
      double heapBytes = (usedHeapBytes() - heapBytesBefore) / (double) retained.size();
      String label = size[0] + " accounts, " + size[1] + " upstreams, " + size[2] + " versions: ";
      addResult(label + "document", text.length() / 1e3, "KB");
      addResult(label + "processor time of a change", minMillis, "ms");
      addResult(label + "heap", heapBytes / 1e3, "KB");
    }
  }

  private static ActiveConfiguration activate(String text) {
    RouterConfiguration parsed = DocumentParser.parseAccepted(text).orElseThrow();
    return new ActiveConfiguration(new RevisionedConfiguration(1, "", text, parsed));
  }

  private static String configurationDocument(int accounts, int upstreams, int versions) {
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

  private void measureClaims() throws InterruptedException {
    for (int batchSize : new int[] {1, 16, 256}) {
      ClaimService service =
          new ClaimService(
              new InMemoryTableService(CallHook.NONE),
              new InMemoryObjectStore(CallHook.NONE),
              new SystemClock(),
              INCARNATION);
      int rounds = 20_000 / batchSize;
      int nextKey = claimBatches(service, batchSize, rounds, 0);
      long cpuNanosBefore = threadCpuNanos();
      claimBatches(service, batchSize, rounds, nextKey);
      double microsPerClaim =
          (threadCpuNanos() - cpuNanosBefore) / 1e3 / (rounds * (double) batchSize);
      addResult("claim, " + batchSize + " in a transaction: processor time", microsPerClaim, "us");
      addResult(
          "claim, " + batchSize + " in a transaction: store writes",
          1.0 / batchSize,
          "transactions");
    }
  }

  private static int claimBatches(ClaimService service, int batchSize, int rounds, int firstKey)
      throws InterruptedException {
    int nextKey = firstKey;
    long deadlineNanos = System.nanoTime() + 60_000_000_000L;
    for (int round = 0; round < rounds; round++) {
      List<ClaimRequest> requests = new ArrayList<>();
      for (int i = 0; i < batchSize; i++) {
        requests.add(
            ClaimRequest.of(
                new ClaimKey("account", "key-" + nextKey++), new byte[64], deadlineNanos));
      }
      service.claim(requests);
    }
    return nextKey;
  }

  private void measureBills() throws Exception {
    BillStore store =
        new BillStore(
            new InMemoryTableService(CallHook.NONE), new InMemoryObjectStore(CallHook.NONE));
    BillLedger ledger = new BillLedger(INCARNATION);
    int recordCount = 50_000;
    long heapBytesBefore = usedHeapBytes();
    long cpuNanosBefore = threadCpuNanos();
    for (int i = 1; i <= recordCount; i++) {
      ledger.add(billRecord(i));
    }
    double addMicros = (threadCpuNanos() - cpuNanosBefore) / 1e3 / recordCount;
    addResult("bill record: processor time to keep", addMicros, "us");
    addResult(
        "bill record: heap until sealed",
        (usedHeapBytes() - heapBytesBefore) / (double) recordCount,
        "bytes");
    addResult("bill record: line", billRecord(recordCount).toLine().length(), "bytes");
    cpuNanosBefore = threadCpuNanos();
    int batches = 0;
    for (Optional<BillBatch> batch = ledger.batchToWrite();
        batch.isPresent();
        batch = ledger.batchToWrite()) {
      store.write(batch.get());
      ledger.markWritten(batch.get());
      batches++;
    }
    addResult(
        "bill record: processor time to seal",
        (threadCpuNanos() - cpuNanosBefore) / 1e3 / recordCount,
        "us");
    addResult("bill batch: records", recordCount / (double) batches, "records");
  }

  private static BillRecord billRecord(int sequence) {
    BilledAttempt attempt =
        new BilledAttempt(1, "m@v1", "upstream-1", AttemptState.ACCEPTED, 700, 396, 1888);
    return new BillRecord(
        new RequestId(INCARNATION, sequence),
        "account-1",
        "sheet",
        "m",
        Outcome.RAN,
        Instant.EPOCH,
        List.of(attempt));
  }

  private void measurePolicyReports() throws Exception {
    for (int accounts : new int[] {10, 100, 300}) {
      AccountLimiter limiter = new AccountLimiter(INCARNATION);
      limiter.setMembers(Map.of(INCARNATION, 1.0));
      LearnedRates rates = new LearnedRates(INCARNATION);
      RatePath path = new RatePath(List.of(ModelVersion.parse("m@v1")));
      for (int i = 0; i < accounts; i++) {
        limiter.tryAcquire("account-" + i, new AccountLimits(10, 10, 10), 0);
        rates.record(new RateKey("account-" + i, "sheet", path, RateKey.Kind.PASS), true, 0);
      }
      double limitReportBytes = mapper.writeValueAsBytes(limiter.rebalance(1_000_000_000L)).length;
      double rateReportBytes = mapper.writeValueAsBytes(rates.report(1)).length;
      addResult(
          "limit report, " + accounts + " accounts",
          limitReportBytes / accounts,
          "bytes an account");
      addResult(
          "rate report, " + accounts + " accounts", rateReportBytes / accounts, "bytes a rate");
    }
  }
}
