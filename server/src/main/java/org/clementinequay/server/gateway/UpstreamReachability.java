package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import org.clementinequay.core.dispatch.SilenceRule.Evidence;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Finds out by a connection whether silent upstreams are alive. Its task probes those that wait at
 * the same time; while nothing is silent it does nothing.
 */
final class UpstreamReachability {
  /** Maximum number of upstreams that wait for a probe; further ones are asked for again. */
  private static final int MAX_PENDING = 64;

  /** Maximum number of results that are kept; the oldest yields. */
  private static final int MAX_RESULTS = 1024;

  /** Least time between two probes of an upstream, in nanoseconds; each opens a connection. */
  private static final long INTERVAL_NANOS = 1_000_000_000L;

  private final RuntimeClock clock;
  private final UpstreamProbe probe;
  private final BlockingQueue<UpstreamInstance> pending = new ArrayBlockingQueue<>(MAX_PENDING);
  private final Map<String, Probed> results =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Probed> eldest) {
          return size() > MAX_RESULTS;
        }
      };

  private record Probed(long nanos, Evidence evidence) {}

  UpstreamReachability(RuntimeClock clock, UpstreamProbe probe) {
    this.clock = clock;
    this.probe = probe;
  }

  /**
   * Returns what is known of an upstream since the given time or from the last second, and has it
   * probed if the last probe is older than that.
   */
  synchronized Evidence evidence(UpstreamInstance upstream, long sinceNanos) {
    Probed probed = results.get(upstream.id());
    boolean recent = probed != null && clock.nanoTime() - probed.nanos() < INTERVAL_NANOS;
    if (!recent && !pending.contains(upstream)) {
      pending.offer(upstream);
    }
    boolean known = recent || probed != null && probed.nanos() - sinceNanos >= 0;
    return known ? probed.evidence() : Evidence.NONE;
  }

  /** Returns the number of upstreams that wait for a probe. */
  int pendingProbes() {
    return pending.size();
  }

  /** Waits for an upstream to probe, and probes it with all others that wait. */
  Duration step() throws InterruptedException {
    List<UpstreamInstance> upstreams = new ArrayList<>();
    upstreams.add(pending.take());
    pending.drainTo(upstreams);
    long begun = clock.nanoTime();
    Map<String, UpstreamProbe.Result> probed =
        probe.probeAll(upstreams.stream().map(UpstreamInstance::address).toList());
    synchronized (this) {
      for (UpstreamInstance upstream : upstreams) {
        results.remove(upstream.id());
        results.put(upstream.id(), new Probed(begun, evidenceOf(probed.get(upstream.address()))));
      }
    }
    return Duration.ZERO;
  }

  private static Evidence evidenceOf(UpstreamProbe.Result result) {
    return result == UpstreamProbe.Result.CONNECTED
        ? Evidence.ACCEPTS_CONNECTIONS
        : Evidence.UNREACHABLE;
  }
}
