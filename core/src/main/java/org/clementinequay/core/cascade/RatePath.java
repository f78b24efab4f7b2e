package org.clementinequay.core.cascade;

import java.util.List;
import java.util.stream.Collectors;
import org.clementinequay.core.ModelVersion;

/**
 * A version together with the versions whose drafts were rejected before it. Rates are kept per
 * path because a request whose cheap draft failed is harder than the average request.
 *
 * @param text the versions in order, separated by {@code >}
 */
public record RatePath(String text) {
  /** Makes the path of a list of versions, of which the last is the one that answers. */
  public RatePath(List<ModelVersion> versions) {
    this(versions.stream().map(ModelVersion::toString).collect(Collectors.joining(">")));
  }

  /** Returns the path that continues this one with a further version. */
  public RatePath then(ModelVersion version) {
    return new RatePath(text + ">" + version);
  }

  @Override
  public String toString() {
    return text;
  }
}
