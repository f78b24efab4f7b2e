package org.clementinequay.server.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;

/** Counters of the links since the start of the process. Safe for use by several threads. */
public final class PeerStatistics {
  /** What is counted. */
  public enum Counter {
    /** Bytes of frames written, with their prefixes. */
    BYTES_SENT,
    /** Bytes of frames read, with their prefixes. */
    BYTES_RECEIVED,
    /** Links that came up. */
    LINKS_OPENED,
    /** Links dropped because heartbeats went unanswered for the progress timeout. */
    LINKS_SILENT,
    /** Links that ended in any other way. */
    LINKS_CLOSED,
    /** Connections closed because another one to the same process is kept. */
    DUPLICATE_CONNECTIONS,
    /** Connections closed because the other end is this process. */
    OWN_CONNECTIONS,
    /** Connections refused because a later process of that host has had a link. */
    STALE_CONNECTIONS,
    /** Connections refused because of the protocol version. */
    PROTOCOL_MISMATCHES,
    /** Frames that were oversized, malformed or out of order; each closes its connection. */
    INVALID_FRAMES,
    /**
     * Connections that did not come up within the handshake timeout, were lost before they came up,
     * or were rejected because too many others had not come up yet.
     */
    HANDSHAKES_FAILED,
    /** Messages of a type that this release does not know. */
    UNKNOWN_MESSAGES,
    /** Messages not sent because the queue of the link was full. */
    QUEUE_FULL,
    /** Readings of the host list that failed. */
    HOST_LIST_FAILURES,
    /** Exceptions thrown by listeners. */
    LISTENER_FAILURES
  }

  private final Map<Counter, LongAdder> counters = new EnumMap<>(Counter.class);

  PeerStatistics() {
    for (Counter counter : Counter.values()) {
      counters.put(counter, new LongAdder());
    }
  }

  /** Returns the value of a counter. */
  public long value(Counter counter) {
    return counters.get(counter).sum();
  }

  void add(Counter counter, long amount) {
    counters.get(counter).add(amount);
  }
}
