package org.clementinequay.server.gateway;

import java.time.Duration;
import org.clementinequay.core.platform.PlatformException;

/** Reads the list of upstreams at a fixed interval. */
final class InstanceListTask {
  /**
   * Time between reads. An upstream must not receive new requests later than 2 s after it announced
   * that it is leaving.
   */
  private static final Duration INTERVAL = Duration.ofMillis(1050);

  private static final Duration RETRY_DELAY = Duration.ofMillis(150);

  private final Gateway gateway;
  private final PlatformStore platform;
  private final DependencyStatusLog dependency;

  InstanceListTask(Gateway gateway, PlatformStore platform) {
    this.gateway = gateway;
    this.platform = platform;
    this.dependency = new DependencyStatusLog("list of upstreams", gateway.log);
  }

  Duration step() {
    try {
      gateway.updateInstances(platform.instances());
      dependency.succeeded();
      return INTERVAL;
    } catch (PlatformException e) {
      dependency.failed(e);
      return RETRY_DELAY;
    }
  }
}
