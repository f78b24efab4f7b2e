package org.clementinequay.core.spread;

import java.time.Duration;
import java.util.Objects;
import org.clementinequay.core.config.VersionState;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Restricts a host that may have missed the withdrawal of a version. If the host could not refresh
 * its configuration for {@link #MAX_AGE}, it stops using versions that are being rolled out and
 * continues with live versions.
 */
public final class StalenessRule {
  /**
   * Three times the 5 s within which a configuration must be in force on all hosts. A shorter limit
   * would stop rollouts at every short outage of the table service.
   */
  public static final Duration MAX_AGE = Duration.ofSeconds(15);

  private final CurrentRevision currentRevision;
  private final RuntimeClock clock;

  /** Creates the rule for the host whose current revision is given. */
  public StalenessRule(CurrentRevision currentRevision, RuntimeClock clock) {
    this.currentRevision = Objects.requireNonNull(currentRevision);
    this.clock = Objects.requireNonNull(clock);
  }

  /** Returns whether the last refresh is older than {@link #MAX_AGE}, or there was none. */
  public boolean isStale() {
    return currentRevision
        .nanosSinceRefresh(clock.nanoTime())
        .map(age -> age > MAX_AGE.toNanos())
        .orElse(true);
  }

  /** Returns whether this host may currently use versions in the given state. */
  public boolean permits(VersionState state) {
    return state != VersionState.ROLLING_OUT || !isStale();
  }
}
