package org.clementinequay.core.spread;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.clementinequay.core.config.RevisionedConfiguration;

/**
 * The configuration revision in force on this host. It never moves to a lower revision (R10). A
 * newer revision is passed to the peers before it is applied, so that a host that acts on a
 * revision and then fails has passed it on. Safe for use by several threads.
 */
public final class CurrentRevision {
  private final Consumer<RevisionedConfiguration> announcer;
  private final List<Consumer<RevisionedConfiguration>> listeners = new CopyOnWriteArrayList<>();
  private volatile RevisionedConfiguration current;
  private volatile Refresh lastRefresh;

  private record Refresh(long nanos) {}

  /**
   * Creates a keeper without a revision.
   *
   * @param announcer passes a newer revision to the peers; called before it is applied, must not
   *     block
   */
  public CurrentRevision(Consumer<RevisionedConfiguration> announcer) {
    this.announcer = Objects.requireNonNull(announcer);
  }

  /** Adds a listener that is called with each revision once it is in force. */
  public void addListener(Consumer<RevisionedConfiguration> listener) {
    listeners.add(Objects.requireNonNull(listener));
  }

  /** Returns the revision in force; empty before the first one, when the host is not ready. */
  public Optional<RevisionedConfiguration> configuration() {
    return Optional.ofNullable(current);
  }

  /** Returns the number of the revision in force, 0 before the first one. */
  public long number() {
    RevisionedConfiguration inForce = current;
    return inForce == null ? 0 : inForce.revision();
  }

  /**
   * Puts a revision in force if it is newer than the one in force.
   *
   * @return whether it was newer
   */
  public synchronized boolean activateIfNewer(RevisionedConfiguration offered) {
    if (offered.revision() <= number()) {
      return false;
    }
    try {
      announcer.accept(offered);
    } finally {
      // A peer that cannot be told must not keep this host on an old revision.
      current = offered;
    }
    listeners.forEach(listener -> listener.accept(offered));
    return true;
  }

  /**
   * Records that the head row was read and the revision in force is not older than it.
   *
   * @param startedNanos monotonic time just before the row was read; a later time would hide how
   *     long the read took
   */
  public synchronized void recordRefresh(long startedNanos) {
    Refresh last = lastRefresh;
    if (last == null || startedNanos - last.nanos() > 0) {
      lastRefresh = new Refresh(startedNanos);
    }
  }

  /**
   * Returns the time since the last successful refresh, in nanoseconds; empty before the first one.
   *
   * @param nowNanos monotonic time
   */
  public Optional<Long> nanosSinceRefresh(long nowNanos) {
    return Optional.ofNullable(lastRefresh).map(refresh -> Math.max(0, nowNanos - refresh.nanos()));
  }
}
