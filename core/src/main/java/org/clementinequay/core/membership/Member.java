package org.clementinequay.core.membership;

import java.util.Objects;

/**
 * Entry host that other hosts may link to and that may hold the lease of a duty. Members are
 * ordered by name.
 *
 * @param name unique name of the host
 * @param domain failure domain of the host
 */
public record Member(String name, String domain) implements Comparable<Member> {
  /** Creates a member; both components must be non-null. */
  public Member {
    Objects.requireNonNull(name);
    Objects.requireNonNull(domain);
  }

  @Override
  public int compareTo(Member other) {
    return name.compareTo(other.name);
  }
}
