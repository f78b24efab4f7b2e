package org.clementinequay.bench.faults;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.RequestFailedException;
import org.clementinequay.core.claim.ClaimAttempt;
import org.clementinequay.core.claim.ClaimKey;
import org.clementinequay.core.claim.ClaimRequest;
import org.clementinequay.core.claim.ClaimResult;
import org.clementinequay.core.claim.ClaimService;
import org.clementinequay.core.claim.IssuedKey;
import org.clementinequay.core.claim.IssuedKeys;
import org.clementinequay.core.claim.StoredAnswer;
import org.clementinequay.core.platform.PlatformException;

/**
 * Simulated entry host process. It runs the claim logic of the core against an in-memory store; the
 * network and the calls to upstreams are simulated as delays. Times are in milliseconds of virtual
 * time.
 */
final class SimulatedHost {
  private static final long STORE_LATENCY_MILLIS = 5;

  /**
   * Delay before a claim round is repeated when the store did not answer. Longer than the delay
   * that the claim service uses, with which a run would take five times as long.
   */
  private static final long STORE_RETRY_MILLIS = 100;

  private static final long LINK_LATENCY_MILLIS = 1;
  private static final long CLAIM_TIMEOUT_MILLIS = 2_000;
  private static final long MAINTENANCE_INTERVAL_MILLIS = 200;
  private static final long ISSUED_RECORD_DELAY_MILLIS = 1_000;
  private static final int MIN_SERVICE_MILLIS = 50;
  private static final int MAX_SERVICE_MILLIS = 500;
  private static final StoredAnswer ANSWER =
      StoredAnswer.of(200, "text/plain", "stamped".getBytes(StandardCharsets.UTF_8));

  private final Simulation simulation;
  private final String domain;
  private final Incarnation incarnation;
  private final ClaimService claims;
  private final IssuedKeys issuedKeys;
  private final List<Runnable> onKill = new ArrayList<>();
  private boolean recordingScheduled;
  private boolean releaseScheduled;
  private long killedAtMillis = -1;

  SimulatedHost(Simulation simulation, String domain) {
    this.simulation = simulation;
    this.domain = domain;
    this.incarnation = Incarnation.random(simulation.random);
    this.claims =
        new ClaimService(
            new FaultyTable(simulation, domain), simulation.objects, simulation.clock, incarnation);
    this.issuedKeys = new IssuedKeys(claims, simulation.clock, domain);
  }

  boolean isAlive() {
    return killedAtMillis < 0;
  }

  long killedAtMillis() {
    return killedAtMillis;
  }

  String domain() {
    return domain;
  }

  Incarnation incarnation() {
    return incarnation;
  }

  void kill() {
    killedAtMillis = simulation.nowMillis();
    List.copyOf(onKill).forEach(Runnable::run);
    onKill.clear();
  }

  IssuedKey issueKey() throws RequestFailedException {
    return issuedKeys.issue(Operation.ACCOUNT);
  }

  /**
   * Serves one attempt of an operation. Calls {@code reply} at most once; if the host is killed
   * first, with {@link Reply#BROKEN}.
   */
  void serve(Operation operation, Consumer<Reply> reply) {
    Consumer<Reply> guardedReply = breakOnKill(reply);
    Optional<IssuedKey> issuedKey = IssuedKey.parse(operation.key());
    if (issuedKey.isEmpty()) {
      startClaim(operation, guardedReply);
      return;
    }
    Optional<SimulatedHost> issuer = simulation.findLinkedIssuer(this, issuedKey.get().issuer());
    if (issuer.isEmpty()) {
      guardedReply.accept(lookUp(operation, Reply.UNKNOWN));
    } else if (issuer.get() == this) {
      runWithIssuedKey(operation, issuedKey.get(), guardedReply);
    } else {
      Consumer<Reply> viaIssuer = issuer.get().breakOnKill(guardedReply);
      simulation.scheduleAfter(
          LINK_LATENCY_MILLIS,
          () -> {
            if (issuer.get().isAlive()) {
              issuer.get().runWithIssuedKey(operation, issuedKey.get(), viaIssuer);
            }
          });
    }
  }

  /** Wraps a reply so that it reports a broken connection if this host is killed before it. */
  private Consumer<Reply> breakOnKill(Consumer<Reply> reply) {
    boolean[] replied = new boolean[1];
    Consumer<Reply> replyOnce =
        value -> {
          if (!replied[0]) {
            replied[0] = true;
            reply.accept(value);
          }
        };
    Runnable breakConnection = () -> replyOnce.accept(Reply.BROKEN);
    onKill.add(breakConnection);
    return value -> {
      onKill.remove(breakConnection);
      replyOnce.accept(value);
    };
  }

  private ClaimRequest claimRequest(Operation operation) {
    return ClaimRequest.of(
        new ClaimKey(Operation.ACCOUNT, operation.key()),
        operation.body(),
        simulation.clock.nanoTime() + CLAIM_TIMEOUT_MILLIS * 1_000_000);
  }

  private void startClaim(Operation operation, Consumer<Reply> reply) {
    runClaimRound(operation, claims.open(claimRequest(operation)), reply);
  }

  private void runClaimRound(Operation operation, ClaimAttempt attempt, Consumer<Reply> reply) {
    if (!isAlive()) {
      return;
    }
    ClaimService.Round round = claims.round(List.of(attempt));
    long delayMillis = round.storeAnswered() ? STORE_LATENCY_MILLIS : STORE_RETRY_MILLIS;
    if (round.undecided().isEmpty()) {
      simulation.scheduleAfter(
          STORE_LATENCY_MILLIS, () -> onClaimDecided(operation, attempt, reply));
    } else {
      simulation.scheduleAfter(delayMillis, () -> runClaimRound(operation, attempt, reply));
    }
  }

  private void onClaimDecided(Operation operation, ClaimAttempt attempt, Consumer<Reply> reply) {
    scheduleRelease();
    ClaimResult result = attempt.result().join();
    if (result instanceof ClaimResult.Granted) {
      execute(operation, () -> claims.complete(attempt, ANSWER), 0, reply);
    } else {
      reply.accept(Reply.of(result));
    }
  }

  private void runWithIssuedKey(Operation operation, IssuedKey issuedKey, Consumer<Reply> reply) {
    Optional<ClaimResult> result = issuedKeys.begin(issuedKey, claimRequest(operation));
    if (result.isEmpty()) {
      reply.accept(lookUp(operation, Reply.UNKNOWN));
    } else if (result.get() instanceof ClaimResult.Granted granted) {
      Runnable complete = () -> issuedKeys.complete(granted.attempt(), ANSWER);
      execute(operation, complete, ISSUED_RECORD_DELAY_MILLIS, reply);
    } else {
      reply.accept(Reply.of(result.get()));
    }
  }

  private Reply lookUp(Operation operation, Reply fallback) {
    try {
      return claims.lookUp(claimRequest(operation)).map(Reply::of).orElse(fallback);
    } catch (PlatformException e) {
      return fallback;
    }
  }

  private void execute(
      Operation operation, Runnable complete, long recordDelayMillis, Consumer<Reply> reply) {
    if (!isAlive()) {
      return;
    }
    operation.countExecution();
    simulation.scheduleAfter(
        simulation.random.nextInt(MIN_SERVICE_MILLIS, MAX_SERVICE_MILLIS),
        () -> {
          if (isAlive()) {
            complete.run();
            scheduleRecording(recordDelayMillis);
            reply.accept(Reply.ANSWERED);
          }
        });
  }

  private void scheduleRecording(long delayMillis) {
    if (!recordingScheduled) {
      recordingScheduled = true;
      simulation.scheduleAfter(delayMillis, this::record);
    }
  }

  private void record() {
    recordingScheduled = false;
    if (!isAlive()) {
      return;
    }
    try {
      claims.recordCompletions();
      if (claims.unrecordedCompletions() > 0) {
        scheduleRecording(STORE_LATENCY_MILLIS);
      }
    } catch (PlatformException e) {
      scheduleRecording(MAINTENANCE_INTERVAL_MILLIS);
    }
  }

  private void scheduleRelease() {
    if (!releaseScheduled) {
      releaseScheduled = true;
      simulation.scheduleAfter(MAINTENANCE_INTERVAL_MILLIS, this::releaseAbandoned);
    }
  }

  private void releaseAbandoned() {
    releaseScheduled = false;
    if (!isAlive()) {
      return;
    }
    try {
      claims.removeAbandonedRows();
    } catch (PlatformException e) {
      scheduleRelease();
    }
  }
}
