package org.clementinequay.bench.path;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Open-loop load of streamed chat completions: requests start at a fixed rate, whether earlier ones
 * have ended or not, and times count from the planned start, so that a slow answer delays no other
 * request and hides no wait.
 */
final class LoadGenerator implements AutoCloseable {
  private static final long MAX_NANOS = TimeUnit.MINUTES.toNanos(5);
  private static final int MAX_CONNECTIONS = 16_384;
  private static final int THREADS = 32;

  private final HttpClient client;

  LoadGenerator() throws Exception {
    ClientConnector connector = new ClientConnector();
    QueuedThreadPool threads = new QueuedThreadPool(THREADS, 4);
    connector.setExecutor(threads);
    connector.setSelectors(2);
    client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
    client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS);
    client.start();
  }

  /**
   * One phase of load.
   *
   * @param urls addresses that the requests go to in turn
   * @param model model that the requests name
   * @param apiKey API key of the caller
   * @param ratePerSecond requests that start each second
   * @param tokens tokens of each answer
   * @param seconds length of the phase
   */
  record Load(
      String[] urls, String model, String apiKey, double ratePerSecond, int tokens, int seconds) {}

  /** What was seen in a phase. */
  static final class Observed {
    final Histogram firstToken = new ConcurrentHistogram(MAX_NANOS, 3);
    final Histogram gap = new ConcurrentHistogram(MAX_NANOS, 3);
    final LongAdder whole = new LongAdder();
    final LongAdder failed = new LongAdder();
    final LongAdder tokens = new LongAdder();
    volatile double elapsedSeconds;
  }

  Observed run(Load load) throws InterruptedException {
    Observed result = new Observed();
    AtomicInteger open = new AtomicInteger();
    int count = (int) (load.ratePerSecond() * load.seconds());
    long start = System.nanoTime();
    for (int i = 0; i < count; i++) {
      long planned = start + (long) (i * 1e9 / load.ratePerSecond());
      while (System.nanoTime() < planned) {
        LockSupport.parkNanos(Math.min(1_000_000, planned - System.nanoTime()));
      }
      open.incrementAndGet();
      send(load, i, planned, result, open);
    }
    while (open.get() > 0) {
      Thread.sleep(5);
    }
    result.elapsedSeconds = (System.nanoTime() - start) / 1e9;
    return result;
  }

  private void send(Load load, int number, long planned, Observed result, AtomicInteger open) {
    String body =
        "{\"model\":\""
            + load.model()
            + "\",\"messages\":[{\"role\":\"user\",\"content\":\"tag "
            + number
            + "\"}],\"stream\":true,\"max_tokens\":"
            + load.tokens()
            + "}";
    Request request =
        client
            .newRequest(load.urls()[number % load.urls().length] + "/v1/chat/completions")
            .method("POST")
            .headers(
                headers ->
                    headers
                        .put("Authorization", "Bearer " + load.apiKey())
                        .put("X-Attempt-Id", "00000000000000000000000000000000-" + number + ".1"))
            .body(new StringRequestContent("application/json", body))
            .timeout(2, TimeUnit.MINUTES);
    Stream stream = new Stream(planned, result);
    request.onResponseContent((response, buffer) -> stream.content(buffer));
    request.send(
        (Result outcome) -> {
          open.decrementAndGet();
          boolean good =
              outcome.isSucceeded() && outcome.getResponse().getStatus() == 200 && stream.ended;
          (good && stream.tokens == load.tokens() ? result.whole : result.failed).increment();
        });
  }

  @Override
  public void close() throws Exception {
    client.stop();
  }

  /** Counts the tokens of one stream by a marker that stands once in each token's event. */
  private static final class Stream {
    private static final byte[] TOKEN = "\"content\":\"w".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] END = "[DONE]".getBytes(StandardCharsets.US_ASCII);

    private final Observed result;
    private long lastNanos;
    private boolean started;
    private int tokenMatch;
    private int endMatch;
    private int tokens;
    private boolean ended;

    private Stream(long plannedNanos, Observed result) {
      this.lastNanos = plannedNanos;
      this.result = result;
    }

    private void content(ByteBuffer buffer) {
      int before = tokens;
      while (buffer.hasRemaining()) {
        scan(buffer.get());
      }
      int arrived = tokens - before;
      if (arrived > 0) {
        long now = System.nanoTime();
        (started ? result.gap : result.firstToken).recordValue(Math.max(0, now - lastNanos));
        started = true;
        lastNanos = now;
        result.tokens.add(arrived);
      }
    }

    private void scan(byte next) {
      tokenMatch = next == TOKEN[tokenMatch] ? tokenMatch + 1 : next == TOKEN[0] ? 1 : 0;
      if (tokenMatch == TOKEN.length) {
        tokens++;
        tokenMatch = 0;
      }
      endMatch = next == END[endMatch] ? endMatch + 1 : next == END[0] ? 1 : 0;
      if (endMatch == END.length) {
        ended = true;
        endMatch = 0;
      }
    }
  }
}
