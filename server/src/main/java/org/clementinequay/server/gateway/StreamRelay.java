package org.clementinequay.server.gateway;

import java.nio.ByteBuffer;
import org.clementinequay.core.dispatch.CorruptStreamException;
import org.eclipse.jetty.util.Callback;

/**
 * Relays the events of one attempt to the caller as they arrive, and measures them. The lock of the
 * forwarder guards its state.
 */
final class StreamRelay {
  /** Number of events that a stream must exceed before its time per token is measured. */
  private static final int TOKEN_TIME_EVENT_THRESHOLD = 4;

  /**
   * Time after the first event from which the upstream has outlived the beginning of the answer, in
   * nanoseconds.
   */
  private static final long BEGINNING_NANOS = 300_000_000L;

  private final RequestForwarder forwarder;
  private final Gateway gateway;
  private final String upstreamId;
  private long firstEventNanos;
  private long firstEventId;
  private boolean beginningRecorded;

  StreamRelay(RequestForwarder forwarder, String upstreamId) {
    this.forwarder = forwarder;
    this.gateway = forwarder.gateway;
    this.upstreamId = upstreamId;
  }

  /** Returns whether an event of this attempt was relayed. */
  boolean begun() {
    return firstEventId != 0;
  }

  /**
   * Passes the complete events on, if there are any; returns whether there were.
   *
   * @throws CorruptStreamException if the bytes continue no sound stream; {@code next} is called
   */
  boolean relay(ResponseHead head, ByteBuffer bytes, Callback next) throws CorruptStreamException {
    byte[] completeEvents;
    try {
      completeEvents = forwarder.events.feed(bytes);
    } catch (CorruptStreamException e) {
      forwarder.openCalls.add(next::succeeded);
      throw e;
    }
    if (completeEvents.length == 0) {
      forwarder.openCalls.add(next::succeeded);
      return false;
    }
    send(head, completeEvents, next);
    if (hasOutlivedBeginning()) {
      recordBeginning();
    }
    return true;
  }

  private void send(ResponseHead head, byte[] completeEvents, Callback next) {
    if (!begun()) {
      firstEventNanos = gateway.clock.nanoTime();
      firstEventId = forwarder.events.lastId();
    }
    if (!forwarder.committed) {
      forwarder.commit(head, firstEventNanos, upstreamId);
    }
    Callback sent =
        Callback.from(
            next::succeeded,
            failure -> {
              next.succeeded();
              forwarder.callerDisconnected();
            });
    forwarder.openCalls.addInOrder(
        () -> forwarder.response.sendPart(ByteBuffer.wrap(completeEvents), sent));
  }

  /** Returns whether the upstream has outlived the beginning of the answer. */
  boolean hasOutlivedBeginning() {
    return begun() && gateway.clock.nanoTime() - firstEventNanos >= BEGINNING_NANOS;
  }

  /** Records for the guard against crashes that the prompt let an upstream begin its answer. */
  void recordBeginning() {
    if (!beginningRecorded) {
      beginningRecorded = true;
      gateway.crashGuard.answerBegun(forwarder.service, forwarder.sharedPartIds);
    }
  }

  /**
   * Returns the upstream's time per token in milliseconds, relative to the reference model, also of
   * a stream that broke off; NaN if too few events were relayed.
   */
  double tokenMillis() {
    long generated = forwarder.events.lastId() - firstEventId;
    if (!begun() || generated <= TOKEN_TIME_EVENT_THRESHOLD) {
      return Double.NaN;
    }
    AttemptPlacement placement = forwarder.placement;
    return (gateway.clock.nanoTime() - firstEventNanos)
        / 1e6
        / (generated * placement.tokensPerEvent())
        / placement.weight();
  }
}
