package org.clementinequay.core.spread;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.clementinequay.core.config.RevisionedConfiguration;

/**
 * Holds the configuration revision in force on this host. The revision number never decreases (rule
 * R10 in {@code docs/design.md}). A newer revision is announced to the peers before it is applied,
 * so that a host that fails after acting on a revision has already passed it on. Safe for
 * concurrent use.
 */
public final class CurrentRevision {
  private final Consumer<RevisionedConfiguration> announceToPeers;
  private final List<Consumer<RevisionedConfiguration>> listeners = new CopyOnWriteArrayList<>();
  private volatile RevisionedConfiguration current;
  private volatile RefreshTime lastRefreshTime;

  private record RefreshTime(long nanos) {}

  /**
   * Creates a holder that has no revision yet.
   *
   * @param announceToPeers announces a newer revision to the peers; called before the revision is
   *     applied and must not block
   */
  public CurrentRevision(Consumer<RevisionedConfiguration> announceToPeers) {
    this.announceToPeers = Objects.requireNonNull(announceToPeers);
  }

  /** Adds a listener that is called with each new revision after it came into force. */
  public void addListener(Consumer<RevisionedConfiguration> listener) {
    listeners.add(Objects.requireNonNull(listener));
  }

  /** Returns the revision in force, or empty before the first one, while the host is not ready. */
  public Optional<RevisionedConfiguration> configuration() {
    return Optional.ofNullable(current);
  }

  /** Returns the number of the revision in force, or 0 before the first one. */
  public long number() {
    RevisionedConfiguration inForce = current;
    return inForce == null ? 0 : inForce.revision();
  }

  /**
   * Puts the given revision in force if it is newer than the current one.
   *
   * @return whether the revision was newer
   */
  public synchronized boolean activateIfNewer(RevisionedConfiguration candidate) {
    if (candidate.revision() <= number()) {
      return false;
    }
    try {
      announceToPeers.accept(candidate);
    } finally {
      // A failed announcement must not keep this host on an old revision.
      current = candidate;
    }
    listeners.forEach(listener -> listener.accept(candidate));
    return true;
  }

  /**
   * Records that the head row was read and that the revision in force is at least as new.
   *
   * @param startedNanos monotonic time just before the read; the time after the read would not
   *     account for how long the read took
   */
  public synchronized void recordRefresh(long startedNanos) {
    RefreshTime previous = lastRefreshTime;
    if (previous == null || startedNanos - previous.nanos() > 0) {
      lastRefreshTime = new RefreshTime(startedNanos);
    }
  }

  /**
   * Returns the time since the last refresh, in nanoseconds, or empty before the first refresh.
   *
   * @param nowNanos current monotonic time
   */
  public Optional<Long> nanosSinceRefresh(long nowNanos) {
    return Optional.ofNullable(lastRefreshTime)
        .map(refresh -> Math.max(0, nowNanos - refresh.nanos()));
  }
}
