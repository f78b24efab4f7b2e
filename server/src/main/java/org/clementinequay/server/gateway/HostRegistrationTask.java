package org.clementinequay.server.gateway;

import java.time.Duration;
import org.clementinequay.core.platform.HostEntry;
import org.clementinequay.core.platform.PlatformException;

/** Registers this host in the list of entry hosts, retrying until the store accepts it. */
final class HostRegistrationTask {
  private static final Duration RETRY_DELAY = Duration.ofMillis(500);

  /**
   * Pause after the registration; the entry stays until it is replaced, so nothing is left to do.
   */
  private static final Duration PAUSE_WHEN_DONE = Duration.ofDays(1);

  private final HostRegistry registry;
  private final HostEntry self;
  private final DependencyStatusLog dependency;

  HostRegistrationTask(HostRegistry registry, HostEntry self, DecisionLog log) {
    this.registry = registry;
    this.self = self;
    this.dependency = new DependencyStatusLog("list of entry hosts", log);
  }

  Duration step() {
    try {
      registry.register(self);
      dependency.succeeded();
      return PAUSE_WHEN_DONE;
    } catch (PlatformException e) {
      dependency.failed(e);
      return RETRY_DELAY;
    }
  }
}
