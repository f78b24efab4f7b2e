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
 * Open-loop load generator for streamed chat completions. Requests start at a fixed rate, whether
 * or not earlier ones have ended, and latencies are measured from the planned start. A slow answer
 * therefore neither delays other requests nor hides their waiting time.
 */
final class LoadGenerator implements AutoCloseable {
  private static final long MAX_RECORDED_NANOS = TimeUnit.MINUTES.toNanos(5);
  private static final int MAX_CONNECTIONS = 16_384;
  private static final int MAX_THREADS = 32;

  private final HttpClient client;

  LoadGenerator() throws Exception {
    ClientConnector connector = new ClientConnector();
    QueuedThreadPool threadPool = new QueuedThreadPool(MAX_THREADS, 4);
    connector.setExecutor(threadPool);
    connector.setSelectors(2);
    client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
    client.setMaxRequestsQueuedPerDestination(MAX_CONNECTIONS);
    client.start();
  }

  /**
   * Parameters of one phase of constant load.
   *
   * @param urls base URLs, used in round-robin order
   * @param model model name sent in each request
   * @param apiKey API key sent in each request
   * @param ratePerSecond number of requests started per second
   * @param tokens number of tokens requested for each answer
   * @param seconds time during which requests are started, in seconds
   */
  record LoadPhase(
      String[] urls, String model, String apiKey, double ratePerSecond, int tokens, int seconds) {}

  /** Measurements of one phase; the histograms are in nanoseconds. */
  static final class PhaseResult {
    final Histogram firstTokenNanos = new ConcurrentHistogram(MAX_RECORDED_NANOS, 3);
    final Histogram tokenGapNanos = new ConcurrentHistogram(MAX_RECORDED_NANOS, 3);
    final LongAdder completed = new LongAdder();
    final LongAdder failed = new LongAdder();
    final LongAdder tokens = new LongAdder();
    volatile double elapsedSeconds;
  }

  PhaseResult run(LoadPhase phase) throws InterruptedException {
    PhaseResult result = new PhaseResult();
    AtomicInteger openRequests = new AtomicInteger();
    int requestCount = (int) (phase.ratePerSecond() * phase.seconds());
    long startNanos = System.nanoTime();
    for (int index = 0; index < requestCount; index++) {
      long plannedNanos = startNanos + (long) (index * 1e9 / phase.ratePerSecond());
      while (System.nanoTime() < plannedNanos) {
        LockSupport.parkNanos(Math.min(1_000_000, plannedNanos - System.nanoTime()));
      }
      openRequests.incrementAndGet();
      sendRequest(phase, index, plannedNanos, result, openRequests);
    }
    while (openRequests.get() > 0) {
      Thread.sleep(5);
    }
    result.elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
    return result;
  }

  private void sendRequest(
      LoadPhase phase,
      int requestNumber,
      long plannedNanos,
      PhaseResult result,
      AtomicInteger openRequests) {
    String body =
        "{\"model\":\""
            + phase.model()
            + "\",\"messages\":[{\"role\":\"user\",\"content\":\"tag "
            + requestNumber
            + "\"}],\"stream\":true,\"max_tokens\":"
            + phase.tokens()
            + "}";
    Request request =
        client
            .newRequest(phase.urls()[requestNumber % phase.urls().length] + "/v1/chat/completions")
            .method("POST")
            .headers(
                headers ->
                    headers
                        .put("Authorization", "Bearer " + phase.apiKey())
                        .put(
                            "X-Attempt-Id",
                            "00000000000000000000000000000000-" + requestNumber + ".1"))
            .body(new StringRequestContent("application/json", body))
            .timeout(2, TimeUnit.MINUTES);
    StreamScanner scanner = new StreamScanner(plannedNanos, result);
    request.onResponseContent((response, buffer) -> scanner.onContent(buffer));
    request.send(
        (Result outcome) -> {
          openRequests.decrementAndGet();
          boolean succeeded =
              outcome.isSucceeded()
                  && outcome.getResponse().getStatus() == 200
                  && scanner.endMarkerSeen;
          (succeeded && scanner.tokens == phase.tokens() ? result.completed : result.failed)
              .increment();
        });
  }

  @Override
  public void close() throws Exception {
    client.stop();
  }

  /**
   * Counts the tokens of one stream by a marker that occurs once in the event of each token, and
   * records when they arrive. Markers may be split across buffers.
   */
  private static final class StreamScanner {
    private static final byte[] TOKEN_MARKER =
        "\"content\":\"w".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] END_MARKER = "[DONE]".getBytes(StandardCharsets.US_ASCII);

    private final PhaseResult result;
    private long lastArrivalNanos;
    private boolean firstTokenSeen;
    private int tokenMarkerMatched;
    private int endMarkerMatched;
    private int tokens;
    private boolean endMarkerSeen;

    private StreamScanner(long plannedNanos, PhaseResult result) {
      this.lastArrivalNanos = plannedNanos;
      this.result = result;
    }

    private void onContent(ByteBuffer buffer) {
      int tokensBefore = tokens;
      while (buffer.hasRemaining()) {
        scanByte(buffer.get());
      }
      int newTokens = tokens - tokensBefore;
      if (newTokens > 0) {
        long now = System.nanoTime();
        (firstTokenSeen ? result.tokenGapNanos : result.firstTokenNanos)
            .recordValue(Math.max(0, now - lastArrivalNanos));
        firstTokenSeen = true;
        lastArrivalNanos = now;
        result.tokens.add(newTokens);
      }
    }

    private void scanByte(byte nextByte) {
      tokenMarkerMatched =
          nextByte == TOKEN_MARKER[tokenMarkerMatched]
              ? tokenMarkerMatched + 1
              : nextByte == TOKEN_MARKER[0] ? 1 : 0;
      if (tokenMarkerMatched == TOKEN_MARKER.length) {
        tokens++;
        tokenMarkerMatched = 0;
      }
      endMarkerMatched =
          nextByte == END_MARKER[endMarkerMatched]
              ? endMarkerMatched + 1
              : nextByte == END_MARKER[0] ? 1 : 0;
      if (endMarkerMatched == END_MARKER.length) {
        endMarkerSeen = true;
        endMarkerMatched = 0;
      }
    }
  }
}
