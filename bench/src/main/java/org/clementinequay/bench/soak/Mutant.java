package org.clementinequay.bench.soak;

import java.util.Locale;

/** A mechanism that is disabled, to prove that the checks notice its absence. */
public enum Mutant {
  /** The head row is written without regard to its version. */
  HEAD_WITHOUT_COMPARE(Scenario.CONFIGURATION, "R10, R14"),
  /** A commit whose answer was lost counts as refused. */
  LOST_PUBLISH_AS_REFUSED(Scenario.CONFIGURATION, "R12, R28"),
  /** A document of a peer is put in force whatever its revision. */
  LOWER_REVISION_ACCEPTED(Scenario.CONFIGURATION, "R10"),
  /** Hosts do not tell each other of revisions. */
  REVISION_NOT_ANNOUNCED(Scenario.CONFIGURATION, "R10, R19"),
  /** Hosts do not read the head row. */
  HEAD_NOT_POLLED(Scenario.CONFIGURATION, "R10"),
  /** A host that could not refresh its configuration goes on as before. */
  STALENESS_IGNORED(Scenario.CONFIGURATION, "R2"),
  /** A claim is written whether or not the key is taken. */
  CLAIM_WITHOUT_INSERT_IF_ABSENT(Scenario.CLAIMS, "R7, R12"),
  /** A claim whose answer was lost counts as not written. */
  LOST_CLAIM_AS_NOT_WRITTEN(Scenario.CLAIMS, "R12, R28"),
  /** Rows of claims that were given up stay. */
  ABANDONED_CLAIM_KEPT(Scenario.CLAIMS, "R12"),
  /** The deadline answers not-run without giving the claim up. */
  REFUSED_CLAIM_STILL_SENT(Scenario.CLAIMS, "R6, R12"),
  /** A claim that was sent and got no answer is freed. */
  SENT_CLAIM_RELEASED(Scenario.CLAIMS, "R7, R12"),
  /** A lease is written whether or not its row changed. */
  LEASE_WITHOUT_COMPARE(Scenario.LEASES, "R28"),
  /** A candidate takes over as soon as the duration is over on its own clock. */
  TAKE_OVER_WITHOUT_MARGIN(Scenario.LEASES, "R28"),
  /** Orders are sent to the last moment of the validity. */
  GUARD_WITHOUT_MARGIN(Scenario.LEASES, "R28"),
  /** The validity of a lease is measured by the wall clock. */
  LEASE_ON_WALL_CLOCK(Scenario.LEASES, "R28"),
  /** Orders carry a number that no upstream takes for old. */
  ORDERS_WITHOUT_FENCING(Scenario.LEASES, "R24, R28"),
  /** A new holder does not wait for the orders of the former one. */
  NO_WAIT_FOR_FORMER_ORDERS(Scenario.LEASES, "R24, R28"),
  /** A holder trusts its own orders and does not read the state of the upstream. */
  NO_READ_BACK_OF_STATE(Scenario.LEASES, "R24, R28"),
  /** The final event is released before another host holds the record. */
  BILL_RELEASED_BEFORE_COPY(Scenario.BILLING, "R4"),
  /** Copies are dropped although their records are not durable. */
  COPY_DROPPED_BEFORE_SEAL(Scenario.BILLING, "R4"),
  /** Nobody learns that a host is dead. */
  DEAD_HOST_NOT_FLUSHED(Scenario.BILLING, "R4"),
  /** A batch that the object store refused counts as written. */
  REFUSED_BATCH_AS_WRITTEN(Scenario.BILLING, "R4, R28"),
  /** A bill adds up batches instead of forming the union by request id. */
  BILL_WITHOUT_UNION(Scenario.BILLING, "R4, R12");

  private final Scenario scenario;
  private final String requirements;

  Mutant(Scenario scenario, String requirements) {
    this.scenario = scenario;
    this.requirements = requirements;
  }

  /** Returns the scenario in which the mutant must be caught. */
  public Scenario scenario() {
    return scenario;
  }

  /** Returns the numbers of the requirements that the mechanism serves. */
  public String requirements() {
    return requirements;
  }

  /** Returns the name on the command line. */
  public String label() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
