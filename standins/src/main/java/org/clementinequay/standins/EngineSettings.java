package org.clementinequay.standins;

import java.util.Set;

/**
 * Parameters of a stand-in engine.
 *
 * @param versions model versions loaded at the start, {@code model@version}
 * @param slots maximum number of concurrent streams; further streams are queued by priority
 * @param firstTokenMillis time from the start of a stream to its first token, in milliseconds
 * @param tokenMillis time between tokens, in milliseconds
 * @param checksFencing whether orders with an outdated fencing number are rejected
 */
public record EngineSettings(
    Set<String> versions,
    int slots,
    double firstTokenMillis,
    double tokenMillis,
    boolean checksFencing) {
  /** Stores an immutable copy of {@code versions}. */
  public EngineSettings {
    versions = Set.copyOf(versions);
  }
}
