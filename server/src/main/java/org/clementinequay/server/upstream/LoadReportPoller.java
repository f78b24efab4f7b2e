package org.clementinequay.server.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.core.dispatch.UpstreamHealthTracker;
import org.clementinequay.core.placement.LoadReport;
import org.clementinequay.core.placement.UpstreamTracker;
import org.clementinequay.core.time.RuntimeClock;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;

/**
 * Polls every upstream for its load report. Once a report says that the upstream is leaving, this
 * host sends it no new work, and the listener passes the news to the peers.
 */
public final class LoadReportPoller implements Runnable {
  /** Polling interval; a sixth of the 3 s after which a leaving upstream must get no new work. */
  public static final Duration INTERVAL = Duration.ofMillis(500);

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TIMEOUT_MILLIS = 1000;
  private static final int STATUS_OK = 200;
  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpClient client;
  private final Supplier<List<Upstream>> upstreams;
  private final UpstreamHealthTracker health;
  private final UpstreamTracker tracker;
  private final RuntimeClock clock;
  private final LeavingListener leavingListener;

  /** Notified when an upstream starts or stops leaving. */
  public interface LeavingListener {
    /** Called once for each change. */
    void leavingChanged(String upstream, boolean leaving);
  }

  /** Creates a poller; {@link #run} needs its own thread and returns when that is interrupted. */
  public LoadReportPoller(
      HttpClient client,
      Supplier<List<Upstream>> upstreams,
      UpstreamHealthTracker health,
      UpstreamTracker tracker,
      RuntimeClock clock,
      LeavingListener leavingListener) {
    this.client = client;
    this.upstreams = upstreams;
    this.health = health;
    this.tracker = tracker;
    this.clock = clock;
    this.leavingListener = leavingListener;
  }

  @Override
  public void run() {
    while (!Thread.currentThread().isInterrupted()) {
      upstreams.get().forEach(this::poll);
      try {
        clock.sleep(INTERVAL);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void poll(Upstream upstream) {
    client
        .newRequest("http://" + upstream.address() + "/load")
        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .send(
            new BufferingResponseListener() {
              @Override
              public void onComplete(Result result) {
                if (result.isSucceeded() && result.getResponse().getStatus() == STATUS_OK) {
                  handleReport(upstream, getContent());
                }
              }
            });
  }

  private void handleReport(Upstream upstream, byte[] content) {
    try {
      JsonNode report = JSON.readTree(content);
      tracker.recordLoadReport(
          upstream.name(),
          new LoadReport(
              report.path("running").asInt(),
              report.path("queued").asInt(),
              report.path("tokens_per_second").asDouble(),
              clock.nanoTime()));
      boolean isLeaving = report.path("leaving").asBoolean();
      if (health.setLeaving(upstream.name(), isLeaving)) {
        leavingListener.leavingChanged(upstream.name(), isLeaving);
      }
    } catch (IOException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "load report of %s is not JSON", upstream.name());
    }
  }
}
