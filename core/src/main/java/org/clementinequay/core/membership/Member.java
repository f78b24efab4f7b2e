package org.clementinequay.core.membership;

import java.util.Objects;

/**
 * An entry host as a candidate for links and duties.
 *
 * @param name unique name of the host
 * @param domain failure domain
 */
public record Member(String name, String domain) implements Comparable<Member> {
  /** Rejects missing parts. */
  public Member {
    Objects.requireNonNull(name);
    Objects.requireNonNull(domain);
  }

  @Override
  public int compareTo(Member other) {
    return name.compareTo(other.name);
  }
}
