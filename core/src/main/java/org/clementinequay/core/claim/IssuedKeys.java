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
 * Issues idempotency keys and tracks their use. Only the in-memory state of the issuer decides
 * about a key, so requests are processed even while the store is down; answers are recorded in the
 * claim table afterwards. Once the issuer has stopped, the outcome of a key without a recorded
 * answer stays unknown permanently. Thread-safe; no method blocks.
 */
public final class IssuedKeys {
  /**
   * Time after issue within which a key must be used for the first time. It bounds the memory of
   * the issuer; callers request a key immediately before their call.
   */
  public static final Duration LIFETIME = Duration.ofMinutes(10);

  /** Maximum number of keys kept in memory, about 300 bytes each without the answers. */
  public static final int MAX_KEYS = 100_000;

  /**
   * Number of answers not yet recorded in the store at which no more keys are issued. With answers
   * of 8 KB this is 80 MB; it covers an outage of 200 s at 50 such calls a second.
   */
  public static final int MAX_UNRECORDED = 10_000;

  private final ClaimService service;
  private final RuntimeClock clock;
  private final String domain;
  private final Map<Long, KeyUse> usesByNumber = new LinkedHashMap<>();

  /** Use of one key; the attempt is null until a request runs under the key. */
  private static final class KeyUse {
    final String account;
    final long issuedNanos;
    ClaimAttempt attempt;

    KeyUse(String account, long issuedNanos) {
      this.account = account;
      this.issuedNanos = issuedNanos;
    }
  }

  /** Creates the issuer of one process, which records answers through its claim service. */
  public IssuedKeys(ClaimService service, RuntimeClock clock, String domain) {
    this.service = Objects.requireNonNull(service);
    this.clock = Objects.requireNonNull(clock);
    this.domain = Objects.requireNonNull(domain);
  }

  /**
   * Issues a key for one request of an account.
   *
   * @throws RequestFailedException if too many keys are in memory or too many answers are not yet
   *     recorded
   */
  public synchronized IssuedKey issue(String account) throws RequestFailedException {
    evictExpired();
    if (usesByNumber.size() >= MAX_KEYS || service.unrecordedCompletions() >= MAX_UNRECORDED) {
      throw RequestFailedException.notRun(
          RefusalReason.OVERLOADED, "too many idempotency keys are in use");
    }
    ClaimToken token = service.nextToken();
    usesByNumber.put(token.number(), new KeyUse(account, clock.nanoTime()));
    return new IssuedKey(domain, token.claimer(), token.number());
  }

  /**
   * Decides a request under a key that this process issued. The result is empty if the answer is in
   * the store or the key is not in memory; {@link ClaimService#lookUp} then distinguishes the two.
   * If there is no row, the outcome of the key is unknown.
   */
  public synchronized Optional<ClaimResult> begin(IssuedKey key, ClaimRequest request) {
    KeyUse use = usesByNumber.get(key.number());
    if (use == null || !use.account.equals(request.key().account())) {
      return Optional.empty();
    }
    if (use.attempt == null) {
      return isExpired(use) ? Optional.empty() : Optional.of(grant(key, request, use));
    }
    if (!use.attempt.request().bodyHash().equals(request.bodyHash())) {
      return Optional.of(new ClaimResult.Refused(RefusalReason.IDEMPOTENCY_KEY_REUSED));
    }
    if (use.attempt.isRecorded()) {
      return Optional.empty();
    }
    return Optional.of(
        use.attempt
            .answer()
            .<ClaimResult>map(ClaimResult.Completed::new)
            .orElseGet(() -> new ClaimResult.InProgress(key.issuer())));
  }

  private ClaimResult grant(IssuedKey key, ClaimRequest request, KeyUse use) {
    ClaimToken token = new ClaimToken(key.issuer(), key.number());
    use.attempt = new ClaimAttempt(request, token, clock.now());
    use.attempt.grant();
    return new ClaimResult.Granted(use.attempt);
  }

  /** Ends a grant with the answer of the upstream, which is recorded in the store later. */
  public void complete(ClaimAttempt attempt, StoredAnswer answer) {
    service.complete(attempt, answer);
  }

  /**
   * Ends a grant under which no byte was sent; the key may be used again. For a grant whose request
   * was sent but not answered no method is called, and repeated requests get the outcome unknown.
   */
  public synchronized void release(ClaimAttempt attempt) {
    KeyUse use = usesByNumber.get(attempt.token().number());
    if (use != null && use.attempt == attempt) {
      use.attempt = null;
    }
  }

  private boolean isExpired(KeyUse use) {
    return clock.nanoTime() - use.issuedNanos > LIFETIME.toNanos();
  }

  /** Removes expired keys from memory; their answers can still be looked up in the store. */
  private void evictExpired() {
    Iterator<KeyUse> oldest = usesByNumber.values().iterator();
    while (oldest.hasNext() && isExpired(oldest.next())) {
      oldest.remove();
    }
  }
}
