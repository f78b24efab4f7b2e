package org.clementinequay.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Parts of prompts whose requests are not sent to upstreams for a time. Thread-safe. */
public final class PartQuarantine {
  /** Time for which a part is kept from the upstreams. */
  public static final Duration DURATION = Duration.ofMinutes(10);

  /**
   * Time after which a part that was lifted may be added again; a host that has not heard of it yet
   * still announces the part.
   */
  static final Duration LIFT_TIME = Duration.ofSeconds(10);

  private final Map<SharedPart, Long> endNanos = new HashMap<>();
  private final Map<SharedPart, Long> liftedNanos = new HashMap<>();

  /**
   * A part in quarantine.
   *
   * @param part the part
   * @param remaining time until the quarantine ends
   */
  public record Entry(SharedPart part, Duration remaining) {}

  /** Adds a part; returns false if it is in quarantine already or was lifted just now. */
  public synchronized boolean add(SharedPart part, Duration duration, long nowNanos) {
    liftedNanos.values().removeIf(lifted -> nowNanos - lifted >= LIFT_TIME.toNanos());
    if (remaining(part, nowNanos).isPresent() || liftedNanos.containsKey(part)) {
      return false;
    }
    endNanos.put(part, nowNanos + duration.toNanos());
    return true;
  }

  /** Ends the quarantine of a part early; returns whether it was in quarantine. */
  public synchronized boolean lift(SharedPart part, long nowNanos) {
    boolean lifted = endNanos.remove(part) != null;
    if (lifted) {
      liftedNanos.put(part, nowNanos);
    }
    return lifted;
  }

  /** Removes the parts whose time is over and returns them. */
  public synchronized List<SharedPart> removeEnded(long nowNanos) {
    List<SharedPart> ended = new ArrayList<>();
    endNanos.forEach(
        (part, end) -> {
          if (nowNanos - end >= 0) {
            ended.add(part);
          }
        });
    ended.forEach(endNanos::remove);
    return ended;
  }

  /** Returns the time until requests with the part may be sent again; empty if they may now. */
  public synchronized Optional<Duration> remaining(SharedPart part, long nowNanos) {
    Long end = endNanos.get(part);
    return end == null || nowNanos - end >= 0
        ? Optional.empty()
        : Optional.of(Duration.ofNanos(end - nowNanos));
  }

  /** Returns the parts in quarantine. */
  public synchronized List<Entry> entries(long nowNanos) {
    List<Entry> entries = new ArrayList<>();
    endNanos.forEach(
        (part, end) -> {
          if (nowNanos - end < 0) {
            entries.add(new Entry(part, Duration.ofNanos(end - nowNanos)));
          }
        });
    return entries;
  }
}
