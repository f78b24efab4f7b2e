package org.clementinequay.bench.soak;

import java.util.Locale;

/** A mechanism that is disabled on purpose, to show that the checks detect its absence. */
public enum Mutant {
  /** The head row is written without a comparison of its version. */
  HEAD_WITHOUT_COMPARE(Scenario.CONFIGURATION, "R10, R14"),
  /** A commit whose answer was lost counts as refused. */
  LOST_PUBLISH_AS_REFUSED(Scenario.CONFIGURATION, "R12, R28"),
  /** A document of a peer is activated even if its revision is lower. */
  LOWER_REVISION_ACCEPTED(Scenario.CONFIGURATION, "R10"),
  /** Hosts do not announce revisions to each other. */
  REVISION_NOT_ANNOUNCED(Scenario.CONFIGURATION, "R10, R19"),
  /** Hosts do not poll the head row. */
  HEAD_NOT_POLLED(Scenario.CONFIGURATION, "R10"),
  /** A host that could not refresh its configuration does not count as stale. */
  STALENESS_IGNORED(Scenario.CONFIGURATION, "R2"),
  /** A claim is written even if another claim has the key. */
  CLAIM_WITHOUT_INSERT_IF_ABSENT(Scenario.CLAIMS, "R7, R12"),
  /** A claim whose answer was lost counts as not written. */
  LOST_CLAIM_AS_NOT_WRITTEN(Scenario.CLAIMS, "R12, R28"),
  /** Rows of abandoned claims are not removed. */
  ABANDONED_CLAIM_KEPT(Scenario.CLAIMS, "R12"),
  /** The deadline answers not-run without abandoning the claim. */
  REFUSED_CLAIM_STILL_SENT(Scenario.CLAIMS, "R6, R12"),
  /** The claim of a request that was sent and got no answer is released. */
  SENT_CLAIM_RELEASED(Scenario.CLAIMS, "R7, R12"),
  /** A lease is written without a comparison of the version of its row. */
  LEASE_WITHOUT_COMPARE(Scenario.LEASES, "R28"),
  /** A candidate takes over as soon as the lease duration has passed on its own clock. */
  TAKE_OVER_WITHOUT_MARGIN(Scenario.LEASES, "R28"),
  /** Orders are sent until the lease expires. */
  GUARD_WITHOUT_MARGIN(Scenario.LEASES, "R28"),
  /** The validity of a lease is measured by the wall clock. */
  LEASE_ON_WALL_CLOCK(Scenario.LEASES, "R28"),
  /** Orders carry a fencing number that no upstream rejects as outdated. */
  ORDERS_WITHOUT_FENCING(Scenario.LEASES, "R24, R28"),
  /** A new holder does not wait for pending orders of the former holder. */
  NO_WAIT_FOR_FORMER_ORDERS(Scenario.LEASES, "R24, R28"),
  /**
   * A holder assumes that its last order took effect and does not read the state of the upstream.
   */
  NO_READ_BACK_OF_STATE(Scenario.LEASES, "R24, R28"),
  /** The final event is released before another host holds the record. */
  BILL_RELEASED_BEFORE_COPY(Scenario.BILLING, "R4"),
  /** Copies are dropped before their records are durable. */
  COPY_DROPPED_BEFORE_SEAL(Scenario.BILLING, "R4"),
  /** No host is told that a link to another host is down. */
  DEAD_HOST_NOT_FLUSHED(Scenario.BILLING, "R4"),
  /** A batch that the object store refused counts as written. */
  REFUSED_BATCH_AS_WRITTEN(Scenario.BILLING, "R4, R28"),
  /** A bill concatenates batches instead of forming the union by request id. */
  BILL_WITHOUT_UNION(Scenario.BILLING, "R4, R12");

  private final Scenario scenario;
  private final String requirements;

  Mutant(Scenario scenario, String requirements) {
    this.scenario = scenario;
    this.requirements = requirements;
  }

  /** Returns the scenario whose checks must catch the mutant. */
  public Scenario scenario() {
    return scenario;
  }

  /** Returns the numbers of the requirements that depend on the mechanism, separated by commas. */
  public String requirements() {
    return requirements;
  }

  /** Returns the name on the command line, in lower case with hyphens. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
