package org.clementinequay.server.peer;

import java.util.Objects;
import org.clementinequay.core.Incarnation;

/**
 * Identity that an entry host presents when a link opens.
 *
 * @param incarnation incarnation of its process
 * @param host its name, unique in the deployment
 * @param domain its failure domain
 * @param region its region
 * @param weight its capacity relative to other hosts, greater than 0 and finite
 */
public record PeerIdentity(
    Incarnation incarnation, String host, String domain, String region, double weight) {
  /** Rejects missing parts and a weight that is not positive and finite. */
  public PeerIdentity {
    Objects.requireNonNull(incarnation);
    Objects.requireNonNull(host);
    Objects.requireNonNull(domain);
    Objects.requireNonNull(region);
    if (!(weight > 0) || Double.isInfinite(weight)) {
      throw new IllegalArgumentException("weight is not positive and finite: " + weight);
    }
  }

  static PeerIdentity fromHello(PeerMessage.Hello hello) throws InvalidFrameException {
    try {
      return new PeerIdentity(
          new Incarnation(hello.incarnation()),
          hello.host(),
          hello.domain(),
          hello.region(),
          hello.weight());
    } catch (IllegalArgumentException | NullPointerException e) {
      throw new InvalidFrameException("hello is incomplete or invalid: " + hello, e);
    }
  }

  PeerMessage.Hello toHello(int protocol) {
    return new PeerMessage.Hello(protocol, incarnation.id(), host, domain, region, weight);
  }
}
