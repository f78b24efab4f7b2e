package org.clementinequay.server.gateway;

import java.util.Locale;
import org.clementinequay.core.dispatch.SilenceRule;
import org.clementinequay.core.dispatch.SilenceRule.Evidence;
import org.clementinequay.core.dispatch.StallRule;
import org.clementinequay.core.forward.UpstreamInstance;

/**
 * Judges the silence of the upstream of one attempt. The lock of the forwarder guards its state.
 */
final class SilenceStep {
  /** Time by which a silent upstream is probed before it may be given up, in milliseconds. */
  private static final long PROBE_LEAD_MILLIS = 200;

  /** Share of the attempts that need at most the usual time to the first event. */
  private static final double USUAL_QUANTILE = 0.9;

  private final RequestForwarder forwarder;
  private final Gateway gateway;
  private final UpstreamInstance instance;
  private final double prefillMillis;
  private final StreamRelay relay;
  private final long startedNanos;
  private long lastReceivedNanos;

  /**
   * Creates the step of an attempt that begins now.
   *
   * @param prefillMillis estimated time in which the upstream reads the prompt
   */
  SilenceStep(
      RequestForwarder forwarder,
      UpstreamInstance instance,
      double prefillMillis,
      StreamRelay relay) {
    this.forwarder = forwarder;
    this.gateway = forwarder.gateway;
    this.instance = instance;
    this.prefillMillis = prefillMillis;
    this.relay = relay;
    this.startedNanos = gateway.clock.nanoTime();
    this.lastReceivedNanos = startedNanos;
  }

  /**
   * Records progress: the head of a response or a new complete event. Other bytes are none, because
   * an upstream in trouble may send bytes without end that are no answer.
   */
  void recordReceived() {
    lastReceivedNanos = gateway.clock.nanoTime();
    gateway.engineSelector.recordReceived(instance.id(), lastReceivedNanos);
  }

  long millis(long nowNanos) {
    return (nowNanos - lastReceivedNanos) / 1_000_000;
  }

  /** Returns whether to give up the attempt; has the upstream probed in time if that is needed. */
  boolean isStalled(long nowNanos) {
    if (!needsEvidence()) {
      return exceedsBound(nowNanos, 0);
    }
    if (!exceedsBound(nowNanos, PROBE_LEAD_MILLIS)) {
      return false;
    }
    Evidence evidence = evidence();
    double usual = gateway.firstEventTimes.quantile(forwarder.service, USUAL_QUANTILE, nowNanos);
    return exceedsBound(nowNanos, 0)
        && SilenceRule.moves(
            forwarder.route,
            new SilenceRule.Silence(relay.begun(), millis(nowNanos), usual),
            evidence);
  }

  /** Returns whether the upstream is known to be alive although it is silent. */
  boolean isBusy() {
    return needsEvidence() && evidence() == Evidence.ACCEPTS_CONNECTIONS;
  }

  /** Returns the evidence for the log; empty if the silence alone decides. */
  String evidenceLabel() {
    return needsEvidence() ? evidence().name().toLowerCase(Locale.ROOT) : "";
  }

  private boolean exceedsBound(long nowNanos, long leadMillis) {
    long ageMillis = (gateway.clock.nanoTime() - startedNanos) / 1_000_000;
    long upstreamMillis =
        Math.min(ageMillis, gateway.engineSelector.silenceMillis(instance.id(), nowNanos));
    StallRule.Progress progress =
        new StallRule.Progress(
            relay.begun(),
            prefillMillis,
            gateway.engineSelector.outstanding(instance.id()) > 1,
            millis(nowNanos) + leadMillis,
            upstreamMillis + leadMillis);
    return StallRule.isStalled(forwarder.route, progress);
  }

  /** Returns whether this host sees too little of an engine to judge it by its silence alone. */
  private boolean needsEvidence() {
    return forwarder.route.kind().streaming() && gateway.sharesEngines(forwarder.service);
  }

  private Evidence evidence() {
    return gateway
        .reachability
        .map(reachability -> reachability.evidence(instance, lastReceivedNanos))
        .orElse(Evidence.UNREACHABLE);
  }
}
