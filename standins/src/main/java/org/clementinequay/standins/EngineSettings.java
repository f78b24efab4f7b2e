package org.clementinequay.standins;

import java.util.Set;

/**
 * Behaviour of a stand-in engine.
 *
 * @param versions versions it serves, {@code model@version}
 * @param slots streams that run at the same time; further ones queue by priority
 * @param firstTokenMillis time from the start of a stream to its first token, in milliseconds
 * @param tokenMillis time between tokens, in milliseconds
 * @param checksFencing whether orders with an old fencing number are refused
 */
public record EngineSettings(
    Set<String> versions,
    int slots,
    double firstTokenMillis,
    double tokenMillis,
    boolean checksFencing) {
  /** Copies the set. */
  public EngineSettings {
    versions = Set.copyOf(versions);
  }
}
