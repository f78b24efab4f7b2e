package org.clementinequay.core.config;

import java.util.List;
import java.util.Optional;

/**
 * A model and its versions.
 *
 * @param name name that callers use
 * @param versions versions, oldest first
 */
public record Model(String name, List<VersionSpec> versions) {
  /** Copies the list. */
  public Model {
    versions = List.copyOf(versions);
  }

  /** Returns the version of the given name. */
  public Optional<VersionSpec> version(String versionName) {
    return versions.stream().filter(v -> v.name().equals(versionName)).findFirst();
  }
}
