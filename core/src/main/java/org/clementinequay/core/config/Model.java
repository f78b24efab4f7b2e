package org.clementinequay.core.config;

import java.util.List;
import java.util.Optional;

/**
 * A model that callers can request, with its versions.
 *
 * @param name name that callers use
 * @param versions versions of the model, oldest first
 */
public record Model(String name, List<VersionSpec> versions) {
  /** Copies the list of versions. */
  public Model {
    versions = List.copyOf(versions);
  }

  /** Returns the version of the given name, or empty if the model has no such version. */
  public Optional<VersionSpec> version(String versionName) {
    return versions.stream().filter(v -> v.name().equals(versionName)).findFirst();
  }
}
