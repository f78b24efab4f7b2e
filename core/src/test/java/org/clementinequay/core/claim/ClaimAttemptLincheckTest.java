package org.clementinequay.core.claim;

import java.time.Instant;
import java.util.Random;
import org.clementinequay.core.Incarnation;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.testng.annotations.Test;

/**
 * Explores interleavings of the store's answer, the deadline and the check by a repeated request.
 */
public final class ClaimAttemptLincheckTest {
  private static final ClaimRequest REQUEST =
      new ClaimRequest(new ClaimKey("labelworks", "k"), "hash", 0);
  private static final ClaimToken TOKEN = new ClaimToken(Incarnation.random(new Random(1)), 1);

  /** Concurrent operations on one attempt; Lincheck creates an object for each run. */
  public static final class Operations {
    private final ClaimAttempt attempt = new ClaimAttempt(REQUEST, TOKEN, Instant.EPOCH);

    /** The store confirmed the claim. */
    @Operation
    public boolean grant() {
      return attempt.grant();
    }

    /** The deadline passed. */
    @Operation
    public boolean abandon() {
      return attempt.abandon();
    }

    /** A repeated request checks whether it may take over the key. */
    @Operation
    public boolean neverSent() {
      return attempt.neverSent();
    }
  }

  /** Guards against an attempt that is granted and yet reported as never sent. */
  @Test
  public void decisionIsLinearizable() {
    new ModelCheckingOptions()
        .iterations(5)
        .invocationsPerIteration(200)
        .threads(3)
        .actorsPerThread(2)
        .check(Operations.class);
  }
}
