package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * Counts attempts that were given up for silence as slow answers of their version while traffic
 * moves to another one. Without them a slow version is judged only by the answers that were fast
 * enough. Upstreams that accept no connection are left out: they are dark or cut off, which says
 * nothing about the version.
 */
final class StalledAttemptTask {
  private static final Duration INTERVAL = Duration.ofMillis(100);

  private final Gateway gateway;
  private final UpstreamProbe probe;

  StalledAttemptTask(Gateway gateway, UpstreamProbe probe) {
    this.gateway = gateway;
    this.probe = probe;
  }

  Duration step() {
    List<StalledAttempt> stalled = gateway.takeStalled();
    if (stalled.isEmpty()) {
      return INTERVAL;
    }
    Map<String, UpstreamProbe.Result> results =
        probe.probeAll(stalled.stream().map(attempt -> attempt.upstream().address()).toList());
    for (StalledAttempt attempt : stalled) {
      if (results.get(attempt.upstream().address()) == UpstreamProbe.Result.CONNECTED) {
        gateway
            .shift(attempt.upstream().service())
            .ifPresent(
                shift ->
                    shift.recordAnswer(
                        gateway.hostName,
                        attempt.route(),
                        attempt.upstream().version(),
                        false,
                        true));
      }
    }
    return INTERVAL;
  }
}
