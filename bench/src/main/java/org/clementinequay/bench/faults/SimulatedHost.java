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

/** One process: the claim decisions of the core, and fakes for the rest. Times in milliseconds. */
final class SimulatedHost {
  private static final long STORE_LATENCY = 5;

  /** Longer than the pause of the service, which would make the run five times as long. */
  private static final long RETRY_PAUSE = 100;

  private static final long LINK_LATENCY = 1;
  private static final long CLAIM_TIMEOUT = 2_000;
  private static final long MAINTENANCE_INTERVAL = 200;
  private static final long OUTCOME_INTERVAL = 1_000;
  private static final int MIN_SERVICE = 50;
  private static final int MAX_SERVICE = 500;
  private static final StoredAnswer ANSWER =
      StoredAnswer.of(200, "text/plain", "stamped".getBytes(StandardCharsets.UTF_8));

  private final World world;
  private final String domain;
  private final Incarnation incarnation;
  private final ClaimService claims;
  private final IssuedKeys issued;
  private final List<Runnable> onDeath = new ArrayList<>();
  private boolean recordingScheduled;
  private boolean releaseScheduled;
  private long diedAt = -1;

  SimulatedHost(World world, String domain) {
    this.world = world;
    this.domain = domain;
    this.incarnation = Incarnation.random(world.random);
    this.claims =
        new ClaimService(new FaultyTable(world, domain), world.objects, world.clock, incarnation);
    this.issued = new IssuedKeys(claims, world.clock, domain);
  }

  boolean alive() {
    return diedAt < 0;
  }

  long diedAt() {
    return diedAt;
  }

  String domain() {
    return domain;
  }

  Incarnation incarnation() {
    return incarnation;
  }

  void kill() {
    diedAt = world.now();
    List.copyOf(onDeath).forEach(Runnable::run);
    onDeath.clear();
  }

  IssuedKey issue() throws RequestFailedException {
    return issued.issue(Operation.ACCOUNT);
  }

  /** Serves one try of an operation; the reply is called once, unless a fault takes it away. */
  void serve(Operation operation, Consumer<Reply> reply) {
    Consumer<Reply> guarded = untilDeath(reply);
    Optional<IssuedKey> key = IssuedKey.parse(operation.key());
    if (key.isEmpty()) {
      claim(operation, guarded);
      return;
    }
    Optional<SimulatedHost> issuer = world.linkedIssuer(this, key.get().issuer());
    if (issuer.isEmpty()) {
      guarded.accept(lookUp(operation, Reply.UNKNOWN));
    } else if (issuer.get() == this) {
      runIssued(operation, key.get(), guarded);
    } else {
      Consumer<Reply> viaIssuer = issuer.get().untilDeath(guarded);
      world.after(
          LINK_LATENCY,
          () -> {
            if (issuer.get().alive()) {
              issuer.get().runIssued(operation, key.get(), viaIssuer);
            }
          });
    }
  }

  /** Turns the death of this host into a broken connection, unless the reply came before. */
  private Consumer<Reply> untilDeath(Consumer<Reply> reply) {
    boolean[] done = new boolean[1];
    Consumer<Reply> once =
        value -> {
          if (!done[0]) {
            done[0] = true;
            reply.accept(value);
          }
        };
    Runnable broken = () -> once.accept(Reply.BROKEN);
    onDeath.add(broken);
    return value -> {
      onDeath.remove(broken);
      once.accept(value);
    };
  }

  private ClaimRequest request(Operation operation) {
    return ClaimRequest.of(
        new ClaimKey(Operation.ACCOUNT, operation.key()),
        operation.body(),
        world.clock.nanoTime() + CLAIM_TIMEOUT * 1_000_000);
  }

  private void claim(Operation operation, Consumer<Reply> reply) {
    round(operation, claims.open(request(operation)), reply);
  }

  private void round(Operation operation, ClaimAttempt attempt, Consumer<Reply> reply) {
    if (!alive()) {
      return;
    }
    ClaimService.Round round = claims.round(List.of(attempt));
    long pause = round.storeAnswered() ? STORE_LATENCY : RETRY_PAUSE;
    if (round.undecided().isEmpty()) {
      world.after(STORE_LATENCY, () -> decided(operation, attempt, reply));
    } else {
      world.after(pause, () -> round(operation, attempt, reply));
    }
  }

  private void decided(Operation operation, ClaimAttempt attempt, Consumer<Reply> reply) {
    scheduleRelease();
    ClaimResult result = attempt.result().join();
    if (result instanceof ClaimResult.Granted) {
      execute(operation, () -> claims.complete(attempt, ANSWER), 0, reply);
    } else {
      reply.accept(Reply.of(result));
    }
  }

  private void runIssued(Operation operation, IssuedKey key, Consumer<Reply> reply) {
    Optional<ClaimResult> result = issued.begin(key, request(operation));
    if (result.isEmpty()) {
      reply.accept(lookUp(operation, Reply.UNKNOWN));
    } else if (result.get() instanceof ClaimResult.Granted granted) {
      Runnable end = () -> issued.complete(granted.attempt(), ANSWER);
      execute(operation, end, OUTCOME_INTERVAL, reply);
    } else {
      reply.accept(Reply.of(result.get()));
    }
  }

  private Reply lookUp(Operation operation, Reply otherwise) {
    try {
      return claims.lookUp(request(operation)).map(Reply::of).orElse(otherwise);
    } catch (PlatformException e) {
      return otherwise;
    }
  }

  private void execute(Operation operation, Runnable end, long recordDelay, Consumer<Reply> reply) {
    if (!alive()) {
      return;
    }
    operation.executed();
    world.after(
        world.random.nextInt(MIN_SERVICE, MAX_SERVICE),
        () -> {
          if (alive()) {
            end.run();
            scheduleRecording(recordDelay);
            reply.accept(Reply.ANSWERED);
          }
        });
  }

  private void scheduleRecording(long delay) {
    if (!recordingScheduled) {
      recordingScheduled = true;
      world.after(delay, this::record);
    }
  }

  private void record() {
    recordingScheduled = false;
    if (!alive()) {
      return;
    }
    try {
      claims.recordCompletions();
      if (claims.unrecordedCompletions() > 0) {
        scheduleRecording(STORE_LATENCY);
      }
    } catch (PlatformException e) {
      scheduleRecording(MAINTENANCE_INTERVAL);
    }
  }

  private void scheduleRelease() {
    if (!releaseScheduled) {
      releaseScheduled = true;
      world.after(MAINTENANCE_INTERVAL, this::releaseAbandoned);
    }
  }

  private void releaseAbandoned() {
    releaseScheduled = false;
    if (!alive()) {
      return;
    }
    try {
      claims.removeAbandonedRows();
    } catch (PlatformException e) {
      scheduleRelease();
    }
  }
}
