package org.clementinequay.server.pipeline;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.clementinequay.core.config.AccessPolicy;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.config.Upstream;

/** A revision of the configuration with the lookup tables of the request path. Immutable. */
public final class ActiveConfiguration {
  private final RevisionedConfiguration revisionedConfiguration;
  private final AccessPolicy access;
  private final Map<String, List<Upstream>> upstreamsByTarget = new HashMap<>();

  /** Builds the lookup tables for a revision. */
  public ActiveConfiguration(RevisionedConfiguration revisionedConfiguration) {
    this.revisionedConfiguration = revisionedConfiguration;
    this.access = new AccessPolicy(revisionedConfiguration.configuration());
    for (Upstream upstream : revisionedConfiguration.configuration().upstreams()) {
      for (String target : upstream.serves()) {
        upstreamsByTarget.merge(
            target, List.of(upstream), (a, b) -> Stream.concat(a.stream(), b.stream()).toList());
      }
    }
  }

  /** Returns the revision number, starting at 1. */
  public long revision() {
    return revisionedConfiguration.revision();
  }

  public RouterConfiguration document() {
    return revisionedConfiguration.configuration();
  }

  /** Returns the revision with its hash and its text as submitted. */
  public RevisionedConfiguration revisionedConfiguration() {
    return revisionedConfiguration;
  }

  /** Returns the policy that decides which versions and routes an account may use. */
  public AccessPolicy access() {
    return access;
  }

  /**
   * Returns the upstreams that serve a target, {@code model@version} or the name of a route; empty
   * if none does.
   */
  public List<Upstream> upstreamsServing(String target) {
    return upstreamsByTarget.getOrDefault(target, List.of());
  }
}
