package org.clementinequay.server.entry;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.clementinequay.core.session.SessionKey;

/**
 * What an entry host needs to know at its start.
 *
 * @param name name of the host
 * @param domain failure domain
 * @param region region
 * @param weight size relative to other entry hosts
 * @param callers address of the callers' listener, {@code host:port}
 * @param operators address of the operators' listener
 * @param peers address of the peers' listener
 * @param tableService address of the table service
 * @param objectStore address of the object store
 * @param hostDirectory address of the host list
 * @param ratingService address of the rating service
 * @param sessionKeys keys of session tokens; the first signs
 * @param platformTimeout longest time for one call to the platform
 * @param progressTimeout longest silence of an upstream connection
 * @param drainTimeout longest time for open requests at shutdown
 */
public record EntryHostOptions(
    String name,
    String domain,
    String region,
    double weight,
    String callers,
    String operators,
    String peers,
    String tableService,
    String objectStore,
    String hostDirectory,
    String ratingService,
    List<SessionKey> sessionKeys,
    Duration platformTimeout,
    Duration progressTimeout,
    Duration drainTimeout) {
  /** Rejects missing parts. */
  public EntryHostOptions {
    Objects.requireNonNull(name);
    Objects.requireNonNull(domain);
    sessionKeys = List.copyOf(sessionKeys);
  }
}
