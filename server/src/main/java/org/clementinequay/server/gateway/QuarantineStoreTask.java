package org.clementinequay.server.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.quarantine.PartQuarantine;
import org.clementinequay.core.quarantine.SharedPart;

/**
 * Keeps the quarantined parts of prompts in the platform's store, so that they outlive a loss of
 * all hosts at once. Only the readers of a failure domain call the store: once after their start
 * and when a quarantine begins or ends.
 */
final class QuarantineStoreTask {
  private static final Duration INTERVAL = Duration.ofMillis(500);
  private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

  /** Time after the start in which links come up, from which the readers are known. */
  private static final long START_DELAY_NANOS = 1_500_000_000L;

  private final Gateway gateway;
  private final PlatformStore platform;
  private final StoreReaderRole role;
  private final DependencyStatusLog dependency;
  private final long startNanos;
  private final Set<SharedPart> stored = new HashSet<>();
  private boolean hasRead;

  QuarantineStoreTask(Gateway gateway, PlatformStore platform, StoreReaderRole role) {
    this.gateway = gateway;
    this.platform = platform;
    this.role = role;
    this.dependency = new DependencyStatusLog("quarantined parts", gateway.log);
    this.startNanos = gateway.clock.nanoTime();
  }

  Duration step() {
    if (gateway.clock.nanoTime() - startNanos < START_DELAY_NANOS || !role.isReader()) {
      return INTERVAL;
    }
    try {
      if (!hasRead) {
        read();
      }
      writeChanges();
      dependency.succeeded();
      return INTERVAL;
    } catch (PlatformException e) {
      dependency.failed(e);
      return RETRY_DELAY;
    }
  }

  private void read() throws PlatformException {
    List<SharedPart> parts = platform.quarantinedParts();
    stored.addAll(parts);
    parts.forEach(part -> gateway.crashGuard.quarantine(part, PartQuarantine.DURATION));
    hasRead = true;
  }

  private void writeChanges() throws PlatformException {
    Set<SharedPart> current =
        gateway.crashGuard.quarantinedParts().stream()
            .map(PartQuarantine.Entry::part)
            .collect(Collectors.toSet());
    for (SharedPart part : current) {
      if (!stored.contains(part)) {
        platform.storeQuarantinedPart(part);
        stored.add(part);
      }
    }
    for (SharedPart part : Set.copyOf(stored)) {
      if (!current.contains(part)) {
        platform.removeQuarantinedPart(part);
        stored.remove(part);
      }
    }
  }
}
