package org.clementinequay.core.claim;

import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.RequestFailedException;
import org.clementinequay.core.time.RuntimeClock;

/**
 * The keys that this process issued. A key is decided by the memory of its issuer alone, so that
 * requests go on while the store is down; answers are recorded in the claim table afterwards. When
 * the issuer is gone, a key without a recorded answer is unknown for ever. Safe for concurrent use;
 * no method blocks.
 */
public final class IssuedKeys {
  /**
   * Time in which a key may be used for the first time. It bounds the memory of the issuer; a
   * caller asks for a key right before its call.
   */
  public static final Duration LIFETIME = Duration.ofMinutes(10);

  /** Greatest number of keys remembered, about 300 bytes each without the answers. */
  public static final int MAX_KEYS = 100_000;

  /**
   * Number of answers that wait for the store at which no more keys are issued. With answers of 8
   * KB this is 80 MB; it covers an outage of 200 s at 50 such calls a second.
   */
  public static final int MAX_UNRECORDED = 10_000;

  private final ClaimService service;
  private final RuntimeClock clock;
  private final String domain;
  private final Map<Long, Use> uses = new LinkedHashMap<>();

  /** What became of one key. */
  private static final class Use {
    final String account;
    final long issuedNanos;
    ClaimAttempt attempt;

    Use(String account, long issuedNanos) {
      this.account = account;
      this.issuedNanos = issuedNanos;
    }
  }

  /** Creates the keys of a process; answers are recorded through its claim service. */
  public IssuedKeys(ClaimService service, RuntimeClock clock, String domain) {
    this.service = Objects.requireNonNull(service);
    this.clock = Objects.requireNonNull(clock);
    this.domain = Objects.requireNonNull(domain);
  }

  /**
   * Issues a key for one request of an account.
   *
   * @throws RequestFailedException if too many keys are remembered, or too many answers wait for
   *     the store
   */
  public synchronized IssuedKey issue(String account) throws RequestFailedException {
    forgetExpired();
    if (uses.size() >= MAX_KEYS || service.unrecordedCompletions() >= MAX_UNRECORDED) {
      throw RequestFailedException.notRun(
          RefusalReason.OVERLOADED, "too many idempotency keys are in use");
    }
    ClaimToken token = service.nextToken();
    uses.put(token.number(), new Use(account, clock.nanoTime()));
    return new IssuedKey(domain, token.claimer(), token.number());
  }

  /**
   * Decides a request under a key of this process. An empty result means that the answer is in the
   * store, or that the key is not remembered; {@link ClaimService#lookUp} then tells which, and
   * without a row the key is unknown.
   */
  public synchronized Optional<ClaimResult> begin(IssuedKey key, ClaimRequest request) {
    Use use = uses.get(key.number());
    if (use == null || !use.account.equals(request.key().account())) {
      return Optional.empty();
    }
    if (use.attempt == null) {
      return expired(use) ? Optional.empty() : Optional.of(grant(key, request, use));
    }
    if (!use.attempt.request().bodyHash().equals(request.bodyHash())) {
      return Optional.of(new ClaimResult.Refused(RefusalReason.IDEMPOTENCY_KEY_REUSED));
    }
    if (use.attempt.recorded()) {
      return Optional.empty();
    }
    return Optional.of(
        use.attempt
            .answer()
            .<ClaimResult>map(ClaimResult.Completed::new)
            .orElseGet(() -> new ClaimResult.InProgress(key.issuer())));
  }

  private ClaimResult grant(IssuedKey key, ClaimRequest request, Use use) {
    ClaimToken token = new ClaimToken(key.issuer(), key.number());
    use.attempt = new ClaimAttempt(request, token, clock.now());
    use.attempt.grant();
    return new ClaimResult.Granted(use.attempt);
  }

  /** Ends a grant with the answer of the upstream; it is recorded later. */
  public void complete(ClaimAttempt attempt, StoredAnswer answer) {
    service.complete(attempt, answer);
  }

  /**
   * Ends a grant under which no byte was sent; the key may be used again. A grant whose request was
   * sent and got no answer is just left, and its repeats are told unknown.
   */
  public synchronized void release(ClaimAttempt attempt) {
    Use use = uses.get(attempt.token().number());
    if (use != null && use.attempt == attempt) {
      use.attempt = null;
    }
  }

  private boolean expired(Use use) {
    return clock.nanoTime() - use.issuedNanos > LIFETIME.toNanos();
  }

  /** Forgets keys that are too old to be used; their answers are looked up in the store. */
  private void forgetExpired() {
    Iterator<Use> oldest = uses.values().iterator();
    while (oldest.hasNext() && expired(oldest.next())) {
      oldest.remove();
    }
  }
}
