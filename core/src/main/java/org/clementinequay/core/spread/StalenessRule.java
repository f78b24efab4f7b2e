package org.clementinequay.core.spread;

import java.time.Duration;
import java.util.Objects;
import org.clementinequay.core.config.VersionState;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Restricts a host that may have missed a withdrawal. A host that could not refresh its
 * configuration for {@link #MAX_AGE} stops using versions that are being rolled out and goes on
 * with the live ones.
 */
public final class StalenessRule {
  /**
   * Three times the bound within which a configuration is in force everywhere (5 s); shorter limits
   * would stop roll-outs at every short outage of the table service.
   */
  public static final Duration MAX_AGE = Duration.ofSeconds(15);

  private final CurrentRevision keeper;
  private final RuntimeClock clock;

  /** Creates the rule for the revision in force on this host. */
  public StalenessRule(CurrentRevision keeper, RuntimeClock clock) {
    this.keeper = Objects.requireNonNull(keeper);
    this.clock = Objects.requireNonNull(clock);
  }

  /** Returns whether the last successful refresh is too long ago, or there was none. */
  public boolean isStale() {
    return keeper
        .nanosSinceRefresh(clock.nanoTime())
        .map(age -> age > MAX_AGE.toNanos())
        .orElse(true);
  }

  /** Returns whether versions in this state may be used now. */
  public boolean permits(VersionState state) {
    return state != VersionState.ROLLING_OUT || !isStale();
  }
}
