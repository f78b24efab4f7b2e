package org.clementinequay.server.pipeline;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.clementinequay.core.config.AccessPolicy;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.config.Upstream;

/** The configuration in force with the look-up tables that requests need. Immutable. */
public final class ActiveConfiguration {
  private final RevisionedConfiguration source;
  private final AccessPolicy access;
  private final Map<String, List<Upstream>> upstreamsByWork = new HashMap<>();

  /** Builds the tables of a revision. */
  public ActiveConfiguration(RevisionedConfiguration source) {
    this.source = source;
    this.access = new AccessPolicy(source.configuration());
    for (Upstream upstream : source.configuration().upstreams()) {
      for (String work : upstream.serves()) {
        upstreamsByWork.merge(
            work, List.of(upstream), (a, b) -> Stream.concat(a.stream(), b.stream()).toList());
      }
    }
  }

  /** Returns the number of the revision. */
  public long revision() {
    return source.revision();
  }

  /** Returns the document. */
  public RouterConfiguration document() {
    return source.configuration();
  }

  /** Returns the revision with its text. */
  public RevisionedConfiguration source() {
    return source;
  }

  /** Returns who may use what. */
  public AccessPolicy access() {
    return access;
  }

  /** Returns the upstreams that serve a version ({@code model@version}) or a route. */
  public List<Upstream> upstreamsOf(String work) {
    return upstreamsByWork.getOrDefault(work, List.of());
  }
}
