package org.clementinequay.core.cascade;

import java.util.List;
import java.util.stream.Collectors;
import org.clementinequay.core.ModelVersion;

/**
 * A version together with the versions whose drafts were rejected before it. Rates are kept per
 * path because a request whose cheap draft failed is harder than the average request.
 *
 * @param text the versions in order of trial, separated by {@code >}
 */
public record RatePath(String text) {
  /** Creates the path of a list of versions, of which the last one answers. */
  public RatePath(List<ModelVersion> versions) {
    this(versions.stream().map(ModelVersion::toString).collect(Collectors.joining(">")));
  }

  /** Returns the path of a version that is tried after this path's last draft was rejected. */
  public RatePath append(ModelVersion version) {
    return new RatePath(text + ">" + version);
  }

  @Override
  public String toString() {
    return text;
  }
}
