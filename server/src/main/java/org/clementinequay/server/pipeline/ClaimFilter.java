package org.clementinequay.server.pipeline;

import java.time.Duration;
import java.util.Optional;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.RequestFailedException;
import org.clementinequay.core.claim.ClaimKey;
import org.clementinequay.core.claim.ClaimRequest;
import org.clementinequay.core.claim.ClaimResult;
import org.clementinequay.core.claim.StoredAnswer;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.claim.ClaimWriter;

/**
 * Claims the idempotency key of a call that must not be repeated before a byte of it is sent. A key
 * on any other request has no effect, so that those requests do not depend on the store.
 */
public final class ClaimFilter implements Filter {
  /** Longest wait for a claim; the caller of a call refused as not-run may repeat it. */
  static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(2);

  private final ClaimWriter writer;
  private final RuntimeClock clock;

  /** Creates the stage. */
  public ClaimFilter(ClaimWriter writer, RuntimeClock clock) {
    this.writer = writer;
    this.clock = clock;
  }

  @Override
  public void apply(Exchange exchange, Next next) throws RequestFailedException {
    Optional<String> key = exchange.request().idempotencyKey();
    boolean needsClaim = exchange.route != null && !exchange.route.idempotent() && key.isPresent();
    if (!needsClaim) {
      next.proceed();
      return;
    }
    ClaimKey claimKey = ClaimKey.fromCaller(exchange.account.name(), key.get());
    long latest = clock.nanoTime() + CLAIM_TIMEOUT.toNanos();
    long deadline = Math.min(exchange.deadlineNanos, latest);
    byte[] claimed = ClaimBody.of(exchange.route.name(), exchange.request().body());
    writer
        .claim(ClaimRequest.of(claimKey, claimed, deadline))
        .whenComplete(
            (result, failure) -> {
              if (failure != null) {
                next.fail(
                    RequestFailedException.notRun(
                        RefusalReason.CLAIM_UNCONFIRMED, "the claim could not be made"));
              } else {
                decided(exchange, result, next);
              }
            });
  }

  private static void decided(Exchange exchange, ClaimResult result, Next next) {
    if (result.failure().isPresent()) {
      next.fail(result.failure().get());
    } else if (result instanceof ClaimResult.Granted granted) {
      exchange.claim = Optional.of(granted.attempt());
      next.proceed();
    } else if (result instanceof ClaimResult.Completed completed) {
      replay(exchange, completed.answer(), next);
    }
  }

  private static void replay(Exchange exchange, StoredAnswer stored, Next next) {
    if (stored.body().isEmpty()) {
      next.fail(
          RequestFailedException.unknown(
              RefusalReason.REQUEST_IN_PROGRESS, "the request ran; its answer cannot be read now"));
      return;
    }
    exchange.answer = Answer.ofRoute(stored.status(), stored.contentType(), stored.body().get());
    next.proceed();
  }
}
