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
 * Claims the idempotency key of a call to a non-idempotent route before any byte of the call is
 * sent. On other requests a key has no effect, so that they do not depend on the store.
 */
public final class ClaimFilter implements Filter {
  /**
   * Maximum wait for a claim, after which the call is refused as not-run; its caller may repeat it.
   */
  static final Duration CLAIM_TIMEOUT = Duration.ofSeconds(2);

  private final ClaimWriter writer;
  private final RuntimeClock clock;

  /** Creates a filter; claim deadlines are on the monotonic clock of {@code clock}. */
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
    long latestDeadlineNanos = clock.nanoTime() + CLAIM_TIMEOUT.toNanos();
    long deadlineNanos = Math.min(exchange.deadlineNanos, latestDeadlineNanos);
    byte[] content = ClaimedContent.of(exchange.route.name(), exchange.request().body());
    writer
        .claim(ClaimRequest.of(claimKey, content, deadlineNanos))
        .whenComplete(
            (result, failure) -> {
              if (failure != null) {
                next.fail(
                    RequestFailedException.notRun(
                        RefusalReason.CLAIM_UNCONFIRMED,
                        "the idempotency key could not be claimed"));
              } else {
                handleResult(exchange, result, next);
              }
            });
  }

  private static void handleResult(Exchange exchange, ClaimResult result, Next next) {
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
              RefusalReason.REQUEST_IN_PROGRESS,
              "the request ran, but its answer cannot be read now"));
      return;
    }
    exchange.answer = Answer.ofRoute(stored.status(), stored.contentType(), stored.body().get());
    next.proceed();
  }
}
