package org.clementinequay.core.claim;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.platform.CommitResult;
import org.clementinequay.core.platform.ObjectStore;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowKey;
import org.clementinequay.core.platform.TableService;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Claims idempotency keys by conditional inserts that are grouped into transactions. Each attempt
 * has a unique token, so the effect of a commit whose answer was lost is determined by reading the
 * row back. The process keeps track of the tokens that it abandoned, so that it can release a key
 * whose row was written after the claim had been refused. Thread-safe.
 */
public final class ClaimService {
  /** Maximum number of rows written in one transaction. */
  public static final int MAX_BATCH = 256;

  /** Pause before a retry after a call that the store did not answer. */
  public static final Duration RETRY_PAUSE = Duration.ofMillis(20);

  /**
   * Time after which a write whose answer was lost can no longer take effect. The platform's
   * clients time out after a few seconds, so this includes a wide margin.
   */
  public static final Duration LATE_EFFECT_WINDOW = Duration.ofSeconds(60);

  /**
   * Maximum number of tokens that a process keeps track of. One needs about 400 bytes, so the total
   * is about 20 MB. Beyond this number, claims are refused before anything is written.
   */
  public static final int MAX_TOKENS = 50_000;

  private final ClaimStore store;
  private final RuntimeClock clock;
  private final Incarnation self;
  private final AtomicLong lastTokenNumber = new AtomicLong();
  private final ConcurrentMap<ClaimToken, ClaimAttempt> attemptsByToken = new ConcurrentHashMap<>();

  // The claim writer reads the size on every iteration; LinkedBlockingQueue counts its elements,
  // whereas ConcurrentLinkedQueue would traverse them.
  private final Queue<ClaimAttempt> unrecordedAttempts = new LinkedBlockingQueue<>();
  private final Queue<ClaimAttempt> abandoned = new ConcurrentLinkedQueue<>();
  private final Queue<ClaimAttempt> awaitingLateWrites = new ConcurrentLinkedQueue<>();

  /** Creates the claim service of the process with the incarnation. */
  public ClaimService(
      TableService table, ObjectStore objects, RuntimeClock clock, Incarnation self) {
    this.store = new ClaimStore(table, objects);
    this.clock = Objects.requireNonNull(clock);
    this.self = Objects.requireNonNull(self);
  }

  /**
   * Result of one call of {@link #round}.
   *
   * @param undecided attempts that must be passed to another round
   * @param storeAnswered whether the store answered; if not, the caller pauses before another round
   */
  public record Round(List<ClaimAttempt> undecided, boolean storeAnswered) {}

  /**
   * Creates an attempt. It must be passed to {@link #round} until a round no longer returns it as
   * undecided, even if it is abandoned in the meantime.
   */
  public ClaimAttempt open(ClaimRequest request) {
    ClaimToken token = nextToken();
    ClaimAttempt attempt = new ClaimAttempt(request, token, clock.now());
    if (attemptsByToken.size() >= MAX_TOKENS) {
      attempt.abandon();
    } else {
      attemptsByToken.put(token, attempt);
    }
    return attempt;
  }

  /** Returns a token that no other attempt of this process has. */
  ClaimToken nextToken() {
    return new ClaimToken(self, lastTokenNumber.incrementAndGet());
  }

  /** Claims keys and blocks until every claim is decided. Results are in the order of requests. */
  public List<ClaimResult> claim(List<ClaimRequest> requests) throws InterruptedException {
    List<ClaimAttempt> attempts = requests.stream().map(this::open).toList();
    List<ClaimAttempt> undecided = attempts;
    while (!undecided.isEmpty()) {
      Round round = round(undecided);
      undecided = round.undecided();
      if (!round.storeAnswered()) {
        clock.sleep(RETRY_PAUSE);
      }
    }
    return attempts.stream().map(attempt -> attempt.result().join()).toList();
  }

  /**
   * Tries once to decide each attempt, up to one batch. Of several attempts for the same key, one
   * is tried in each round.
   */
  public Round round(Collection<ClaimAttempt> attempts) {
    Map<ClaimKey, ClaimAttempt> batchByKey = new LinkedHashMap<>();
    for (ClaimAttempt attempt : attempts) {
      abandonIfPastDeadline(attempt);
      if (!attempt.isDecided() && batchByKey.size() < MAX_BATCH) {
        batchByKey.putIfAbsent(attempt.request().key(), attempt);
      }
    }
    boolean storeAnswered = batchByKey.isEmpty() || commitBatch(List.copyOf(batchByKey.values()));
    List<ClaimAttempt> undecided = new ArrayList<>();
    for (ClaimAttempt attempt : attempts) {
      if (!attempt.isDecided()) {
        undecided.add(attempt);
      } else if (attempt.neverSent()) {
        cleanUpUnsent(attempt);
      }
    }
    return new Round(undecided, storeAnswered);
  }

  /**
   * Refuses all claims whose deadline has passed, including those for which another thread is
   * waiting in {@link #round}.
   */
  public void abandonPastDeadline() {
    attemptsByToken.values().forEach(this::abandonIfPastDeadline);
  }

  private void abandonIfPastDeadline(ClaimAttempt attempt) {
    if (clock.nanoTime() - attempt.request().deadlineNanos() >= 0) {
      attempt.abandon();
    }
  }

  private void cleanUpUnsent(ClaimAttempt attempt) {
    if (attempt.rowMayExist()) {
      abandoned.add(attempt);
    } else {
      attemptsByToken.remove(attempt.token());
    }
  }

  private boolean commitBatch(List<ClaimAttempt> attempts) {
    List<ClaimAttempt> batch = attempts;
    while (!batch.isEmpty()) {
      CommitResult result;
      try {
        result = store.writeClaims(batch);
      } catch (PlatformUnavailableException e) {
        return false;
      } catch (PlatformException e) {
        batch.forEach(attempt -> attempt.markRowMayExist(clock.nanoTime()));
        return readBack(batch);
      }
      if (result.committed()) {
        batch.forEach(this::grant);
        return true;
      }
      Set<RowKey> conflicts = new HashSet<>(result.conflicts());
      List<ClaimAttempt> withoutConflict = new ArrayList<>();
      List<ClaimAttempt> withConflict = new ArrayList<>();
      for (ClaimAttempt attempt : batch) {
        (conflicts.contains(attempt.request().key().rowKey()) ? withConflict : withoutConflict)
            .add(attempt);
      }
      if (!readBack(withConflict)) {
        return false;
      }
      batch = withoutConflict;
    }
    return true;
  }

  private void grant(ClaimAttempt attempt) {
    attempt.markRowMayExist(clock.nanoTime());
    abandonIfPastDeadline(attempt);
    attempt.grant();
  }

  private boolean readBack(List<ClaimAttempt> attempts) {
    for (ClaimAttempt attempt : attempts) {
      try {
        Optional<Row> row = store.read(attempt.request().key());
        if (row.isPresent()) {
          decideByStoredRow(attempt, row.get());
        } else {
          attempt.insertOnNextWrite();
        }
      } catch (PlatformException e) {
        return false;
      }
    }
    return true;
  }

  private void decideByStoredRow(ClaimAttempt attempt, Row row) {
    Optional<ClaimRow> decoded = ClaimRow.tryDecode(row);
    if (decoded.isEmpty()) {
      // The state of the earlier request is unknown, so this one must not be sent.
      attempt.abandon();
      return;
    }
    ClaimRow content = decoded.get();
    if (content.token().equals(attempt.token())) {
      grant(attempt);
      return;
    }
    Optional<ClaimAttempt> ownAttempt = Optional.ofNullable(attemptsByToken.get(content.token()));
    if (ownAttempt.isPresent() && ownAttempt.get().neverSent()) {
      attempt.replaceOnNextWrite(row);
    } else if (!content.bodyHash().equals(attempt.request().bodyHash())) {
      attempt.decide(new ClaimResult.Refused(RefusalReason.IDEMPOTENCY_KEY_REUSED));
    } else {
      ClaimResult stored = content.state().resultForRepeat(content);
      attempt.decide(
          ownAttempt
              .flatMap(ClaimAttempt::answer)
              .<ClaimResult>map(ClaimResult.Completed::new)
              .orElseGet(() -> withBody(stored)));
    }
  }

  /** Loads the body of a large answer; if that fails, returns the result without the body. */
  private ClaimResult withBody(ClaimResult result) {
    if (result instanceof ClaimResult.Completed completed) {
      try {
        return new ClaimResult.Completed(store.load(completed.answer()));
      } catch (PlatformException e) {
        return result;
      }
    }
    return result;
  }

  /**
   * Ends a grant with the answer of the upstream. Repeated requests on this host receive the answer
   * immediately; {@link #recordCompletions} makes it durable.
   */
  public void complete(ClaimAttempt attempt, StoredAnswer answer) {
    attempt.setAnswer(answer);
    unrecordedAttempts.add(attempt);
  }

  /** Ends a grant under which no byte was sent; the key can be claimed again. */
  public void release(ClaimAttempt attempt) {
    attempt.markReleased();
    abandoned.add(attempt);
  }

  /**
   * Ends a grant whose request was sent but not answered; repeated requests get the outcome {@code
   * unknown}.
   */
  public void leaveUnknown(ClaimAttempt attempt) {
    attemptsByToken.remove(attempt.token());
  }

  /** Returns the number of answers that are not yet recorded in the store. */
  public int unrecordedCompletions() {
    return unrecordedAttempts.size();
  }

  /** Returns the number of tokens that this process keeps track of. */
  public int trackedTokens() {
    return attemptsByToken.size();
  }

  /**
   * Writes answers that are not yet recorded in the store, up to one batch.
   *
   * @throws PlatformException if some answers were not written; a later call retries them
   */
  public void recordCompletions() throws PlatformException {
    List<ClaimAttempt> batch = pollBatch(unrecordedAttempts);
    List<ClaimRow> rows = new ArrayList<>();
    List<ClaimAttempt> writable = new ArrayList<>();
    try {
      PlatformException offloadFailure = null;
      for (ClaimAttempt attempt : batch) {
        try {
          StoredAnswer answer = store.offload(attempt.token(), attempt.answer().orElseThrow());
          rows.add(attempt.claimedRow().completed(answer, clock.now()));
          writable.add(attempt);
        } catch (PlatformException e) {
          offloadFailure = e;
        }
      }
      if (!writable.isEmpty()) {
        store.writeCompletions(
            rows, writable.stream().map(attempt -> attempt.request().key()).toList());
        writable.forEach(attempt -> attemptsByToken.remove(attempt.token()));
        writable.forEach(ClaimAttempt::markRecorded);
      }
      if (offloadFailure != null) {
        throw offloadFailure;
      }
    } finally {
      batch.stream().filter(attempt -> !attempt.isRecorded()).forEach(unrecordedAttempts::add);
    }
  }

  /**
   * Removes rows that this process wrote under tokens that it abandoned, up to one batch. The
   * process stops tracking a token once its row is removed and no write with it can take effect any
   * more.
   *
   * @throws PlatformException if the removal failed; a later call retries it
   */
  public synchronized void removeAbandonedRows() throws PlatformException {
    ClaimAttempt oldest = awaitingLateWrites.peek();
    while (oldest != null && isPastLateEffectWindow(oldest)) {
      abandoned.add(awaitingLateWrites.remove());
      oldest = awaitingLateWrites.peek();
    }
    List<ClaimAttempt> batch = pollBatch(abandoned);
    boolean removed = false;
    try {
      removed = removeRows(batch);
    } finally {
      Queue<ClaimAttempt> next = removed ? awaitingLateWrites : abandoned;
      batch.stream().filter(this::isTracked).forEach(next::add);
    }
  }

  private boolean removeRows(List<ClaimAttempt> batch) throws PlatformException {
    List<Row> rows = new ArrayList<>();
    for (ClaimAttempt attempt : batch) {
      Optional<Row> row =
          store
              .read(attempt.request().key())
              .filter(storedRow -> hasToken(storedRow, attempt.token()));
      row.ifPresent(rows::add);
      if (row.isEmpty() && isPastLateEffectWindow(attempt)) {
        attemptsByToken.remove(attempt.token());
      }
    }
    return rows.isEmpty() || store.delete(rows).committed();
  }

  private static boolean hasToken(Row row, ClaimToken token) {
    return ClaimRow.tryDecode(row).filter(content -> content.token().equals(token)).isPresent();
  }

  private boolean isPastLateEffectWindow(ClaimAttempt attempt) {
    return clock.nanoTime() - attempt.lastWriteNanos() > LATE_EFFECT_WINDOW.toNanos();
  }

  private boolean isTracked(ClaimAttempt attempt) {
    return attemptsByToken.containsKey(attempt.token());
  }

  /**
   * Reads the recorded result of a key without claiming it; empty if there is no readable row.
   *
   * @throws PlatformException if the row could not be read
   */
  public Optional<ClaimResult> lookUp(ClaimRequest request) throws PlatformException {
    return store
        .read(request.key())
        .flatMap(ClaimRow::tryDecode)
        .map(
            content ->
                content.bodyHash().equals(request.bodyHash())
                    ? withBody(content.state().resultForRepeat(content))
                    : new ClaimResult.Refused(RefusalReason.IDEMPOTENCY_KEY_REUSED));
  }

  /**
   * Returns an answer with its body, which is read from the object store if necessary.
   *
   * @throws PlatformException if the body could not be read; the request has run nevertheless
   */
  public StoredAnswer load(StoredAnswer answer) throws PlatformException {
    return store.load(answer);
  }

  /**
   * Removes one page of rows whose answers are older than the retention time.
   *
   * @param afterKey last key of the previous page; empty for the first page
   * @return last key of this page; empty after the last page
   * @throws PlatformException if the call failed; the caller repeats the page
   */
  public String removeExpired(String afterKey) throws PlatformException {
    List<Row> page = store.scan(afterKey, MAX_BATCH);
    List<Row> expired = page.stream().filter(this::isRemovable).toList();
    if (!expired.isEmpty()) {
      store.delete(expired);
    }
    return page.size() < MAX_BATCH ? "" : page.get(page.size() - 1).key().key();
  }

  private boolean isRemovable(Row row) {
    return ClaimRow.tryDecode(row)
        .filter(content -> content.state().isRemovable(content, clock.now()))
        .isPresent();
  }

  private static List<ClaimAttempt> pollBatch(Queue<ClaimAttempt> queue) {
    List<ClaimAttempt> batch = new ArrayList<>();
    while (batch.size() < MAX_BATCH) {
      ClaimAttempt next = queue.poll();
      if (next == null) {
        break;
      }
      batch.add(next);
    }
    return batch;
  }
}
