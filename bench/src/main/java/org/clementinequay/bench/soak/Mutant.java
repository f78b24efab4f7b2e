package org.clementinequay.bench.soak;

import java.util.Locale;

/** A mechanism that is disabled, to prove that the checks notice its absence. */
public enum Mutant {
  /** The head row is written without regard to its version. */
  HEAD_WITHOUT_COMPARE(Scenario.CONFIGURATION, "R10, R14"),
  /** A commit whose answer was lost counts as refused. */
  LOST_PUBLISH_AS_REFUSED(Scenario.CONFIGURATION, "R12, R28"),
  /** A claim is written whether or not the key is taken. */
  CLAIM_WITHOUT_INSERT_IF_ABSENT(Scenario.CLAIMS, "R7, R12"),
  /** A claim whose answer was lost counts as not written. */
  LOST_CLAIM_AS_NOT_WRITTEN(Scenario.CLAIMS, "R12, R28"),
  /** Rows of claims that were given up stay. */
  ABANDONED_CLAIM_KEPT(Scenario.CLAIMS, "R12"),
  /** The deadline answers not-run without giving the claim up. */
  REFUSED_CLAIM_STILL_SENT(Scenario.CLAIMS, "R6, R12"),
  /** A claim that was sent and got no answer is freed. */
  SENT_CLAIM_RELEASED(Scenario.CLAIMS, "R7, R12");

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
