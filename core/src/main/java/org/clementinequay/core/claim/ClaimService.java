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
 * carries a token of its own, so that a lost answer is settled by reading the row back, and the
 * process remembers which of its tokens it gave up, so that it can free a key whose row was written
 * after the claim had been refused. All methods may be called by several threads.
 */
public final class ClaimService {
  /** Greatest number of rows that one transaction writes. */
  public static final int MAX_BATCH = 256;

  /** Pause after a call that the store did not answer. */
  public static final Duration RETRY_PAUSE = Duration.ofMillis(20);

  /**
   * Time after which a write whose answer was lost can no longer take effect. The platform's
   * clients give up after a few seconds, so this leaves a wide margin.
   */
  public static final Duration LATE_EFFECT_WINDOW = Duration.ofSeconds(60);

  /**
   * Greatest number of tokens that a process remembers. One needs about 400 bytes, so the bound is
   * about 20 MB. Beyond it, claims are refused before anything is written.
   */
  public static final int MAX_TOKENS = 50_000;

  private final ClaimStore store;
  private final RuntimeClock clock;
  private final Incarnation self;
  private final AtomicLong lastNumber = new AtomicLong();
  private final ConcurrentMap<ClaimToken, ClaimAttempt> tokens = new ConcurrentHashMap<>();

  // Its size is asked for in every turn of the writer, which a linked queue without a counter would
  // answer by walking through it.
  private final Queue<ClaimAttempt> unrecorded = new LinkedBlockingQueue<>();
  private final Queue<ClaimAttempt> abandoned = new ConcurrentLinkedQueue<>();
  private final Queue<ClaimAttempt> settling = new ConcurrentLinkedQueue<>();

  /** Creates the service of one process. */
  public ClaimService(
      TableService table, ObjectStore objects, RuntimeClock clock, Incarnation self) {
    this.store = new ClaimStore(table, objects);
    this.clock = Objects.requireNonNull(clock);
    this.self = Objects.requireNonNull(self);
  }

  /**
   * Result of one round.
   *
   * @param undecided attempts that need another round
   * @param storeAnswered whether the store answered; if not, the caller pauses before it retries
   */
  public record Round(List<ClaimAttempt> undecided, boolean storeAnswered) {}

  /**
   * Opens an attempt. It must be passed to {@link #round} until a round no longer returns it, even
   * if it is abandoned in the meantime.
   */
  public ClaimAttempt open(ClaimRequest request) {
    ClaimToken token = nextToken();
    ClaimAttempt attempt = new ClaimAttempt(request, token, clock.now());
    if (tokens.size() >= MAX_TOKENS) {
      attempt.abandon();
    } else {
      tokens.put(token, attempt);
    }
    return attempt;
  }

  /** Returns a token that no other attempt of this process has. */
  ClaimToken nextToken() {
    return new ClaimToken(self, lastNumber.incrementAndGet());
  }

  /** Claims a batch and blocks until every claim is decided. */
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

  /** Tries once to decide each attempt. Attempts for the same key are decided one after another. */
  public Round round(Collection<ClaimAttempt> attempts) {
    Map<ClaimKey, ClaimAttempt> chosen = new LinkedHashMap<>();
    for (ClaimAttempt attempt : attempts) {
      abandonIfLate(attempt);
      if (!attempt.isDecided() && chosen.size() < MAX_BATCH) {
        chosen.putIfAbsent(attempt.request().key(), attempt);
      }
    }
    boolean answered = chosen.isEmpty() || commit(List.copyOf(chosen.values()));
    List<ClaimAttempt> undecided = new ArrayList<>();
    for (ClaimAttempt attempt : attempts) {
      if (!attempt.isDecided()) {
        undecided.add(attempt);
      } else if (attempt.neverSent()) {
        retire(attempt);
      }
    }
    return new Round(undecided, answered);
  }

  /**
   * Refuses all claims whose deadline is over, also those for which another thread waits in {@link
   * #round}.
   */
  public void abandonPastDeadline() {
    tokens.values().forEach(this::abandonIfLate);
  }

  private void abandonIfLate(ClaimAttempt attempt) {
    if (clock.nanoTime() - attempt.request().deadlineNanos() >= 0) {
      attempt.abandon();
    }
  }

  private void retire(ClaimAttempt attempt) {
    if (attempt.rowPossible()) {
      abandoned.add(attempt);
    } else {
      tokens.remove(attempt.token());
    }
  }

  private boolean commit(List<ClaimAttempt> attempts) {
    List<ClaimAttempt> batch = attempts;
    while (!batch.isEmpty()) {
      CommitResult result;
      try {
        result = store.claim(batch);
      } catch (PlatformUnavailableException e) {
        return false;
      } catch (PlatformException e) {
        batch.forEach(attempt -> attempt.markRowPossible(clock.nanoTime()));
        return readBack(batch);
      }
      if (result.committed()) {
        batch.forEach(this::grant);
        return true;
      }
      Set<RowKey> conflicts = new HashSet<>(result.conflicts());
      List<ClaimAttempt> free = new ArrayList<>();
      List<ClaimAttempt> taken = new ArrayList<>();
      for (ClaimAttempt attempt : batch) {
        (conflicts.contains(attempt.request().key().rowKey()) ? taken : free).add(attempt);
      }
      if (!readBack(taken)) {
        return false;
      }
      batch = free;
    }
    return true;
  }

  private void grant(ClaimAttempt attempt) {
    attempt.markRowPossible(clock.nanoTime());
    abandonIfLate(attempt);
    attempt.grant();
  }

  private boolean readBack(List<ClaimAttempt> attempts) {
    for (ClaimAttempt attempt : attempts) {
      try {
        Optional<Row> row = store.read(attempt.request().key());
        if (row.isPresent()) {
          judge(attempt, row.get());
        } else {
          attempt.insertNext();
        }
      } catch (PlatformException e) {
        return false;
      }
    }
    return true;
  }

  private void judge(ClaimAttempt attempt, Row row) {
    Optional<ClaimRow> readable = ClaimRow.readable(row);
    if (readable.isEmpty()) {
      // Nothing is known about the earlier request, and this one is not sent.
      attempt.abandon();
      return;
    }
    ClaimRow content = readable.get();
    if (content.token().equals(attempt.token())) {
      grant(attempt);
      return;
    }
    Optional<ClaimAttempt> own = Optional.ofNullable(tokens.get(content.token()));
    if (own.isPresent() && own.get().neverSent()) {
      attempt.replaceNext(row);
    } else if (!content.bodyHash().equals(attempt.request().bodyHash())) {
      attempt.decide(new ClaimResult.Refused(RefusalReason.IDEMPOTENCY_KEY_REUSED));
    } else {
      ClaimResult stored = content.state().answerToRepeat(content);
      attempt.decide(
          own.flatMap(ClaimAttempt::answer)
              .<ClaimResult>map(ClaimResult.Completed::new)
              .orElseGet(() -> withBody(stored)));
    }
  }

  /** Reads a large answer from the object store; it stays without its body if that fails. */
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
   * Ends a grant with the answer of the upstream. Repeats on this host receive it at once; {@link
   * #recordCompletions} makes it durable.
   */
  public void complete(ClaimAttempt attempt, StoredAnswer answer) {
    attempt.answered(answer);
    unrecorded.add(attempt);
  }

  /** Ends a grant under which no byte was sent; the key becomes free. */
  public void release(ClaimAttempt attempt) {
    attempt.markReleased();
    abandoned.add(attempt);
  }

  /** Ends a grant whose request was sent and got no answer; repeats are told {@code unknown}. */
  public void leaveUnknown(ClaimAttempt attempt) {
    tokens.remove(attempt.token());
  }

  /** Returns the number of answers that are not yet in the store. */
  public int unrecordedCompletions() {
    return unrecorded.size();
  }

  /** Returns the number of tokens that this process remembers. */
  public int trackedTokens() {
    return tokens.size();
  }

  /**
   * Writes answers that are not yet in the store, up to one batch.
   *
   * @throws PlatformException if some answers have to be written again
   */
  public void recordCompletions() throws PlatformException {
    List<ClaimAttempt> batch = poll(unrecorded);
    List<ClaimRow> rows = new ArrayList<>();
    List<ClaimAttempt> ready = new ArrayList<>();
    try {
      PlatformException offloadFailure = null;
      for (ClaimAttempt attempt : batch) {
        try {
          StoredAnswer answer = store.offload(attempt.token(), attempt.answer().orElseThrow());
          rows.add(attempt.claimedRow().completed(answer, clock.now()));
          ready.add(attempt);
        } catch (PlatformException e) {
          offloadFailure = e;
        }
      }
      if (!ready.isEmpty()) {
        store.complete(rows, ready.stream().map(attempt -> attempt.request().key()).toList());
        ready.forEach(attempt -> tokens.remove(attempt.token()));
        ready.forEach(ClaimAttempt::markRecorded);
      }
      if (offloadFailure != null) {
        throw offloadFailure;
      }
    } finally {
      batch.stream().filter(attempt -> !attempt.recorded()).forEach(unrecorded::add);
    }
  }

  /**
   * Removes rows that this process wrote under tokens that it gave up, up to one batch. A token is
   * forgotten when its row is gone and no write with it can take effect any more.
   *
   * @throws PlatformException if the removal has to be repeated
   */
  public synchronized void removeAbandonedRows() throws PlatformException {
    ClaimAttempt oldest = settling.peek();
    while (oldest != null && settled(oldest)) {
      abandoned.add(settling.remove());
      oldest = settling.peek();
    }
    List<ClaimAttempt> batch = poll(abandoned);
    boolean removed = false;
    try {
      removed = remove(batch);
    } finally {
      Queue<ClaimAttempt> next = removed ? settling : abandoned;
      batch.stream().filter(this::remembered).forEach(next::add);
    }
  }

  private boolean remove(List<ClaimAttempt> batch) throws PlatformException {
    List<Row> rows = new ArrayList<>();
    for (ClaimAttempt attempt : batch) {
      Optional<Row> row =
          store.read(attempt.request().key()).filter(found -> holds(found, attempt.token()));
      row.ifPresent(rows::add);
      if (row.isEmpty() && settled(attempt)) {
        tokens.remove(attempt.token());
      }
    }
    return rows.isEmpty() || store.delete(rows).committed();
  }

  private static boolean holds(Row row, ClaimToken token) {
    return ClaimRow.readable(row).filter(content -> content.token().equals(token)).isPresent();
  }

  private boolean settled(ClaimAttempt attempt) {
    return clock.nanoTime() - attempt.lastWriteNanos() > LATE_EFFECT_WINDOW.toNanos();
  }

  private boolean remembered(ClaimAttempt attempt) {
    return tokens.containsKey(attempt.token());
  }

  /**
   * Reads what is recorded for a key without claiming it.
   *
   * @throws PlatformException if the row could not be read
   */
  public Optional<ClaimResult> lookUp(ClaimRequest request) throws PlatformException {
    return store
        .read(request.key())
        .flatMap(ClaimRow::readable)
        .map(
            content ->
                content.bodyHash().equals(request.bodyHash())
                    ? withBody(content.state().answerToRepeat(content))
                    : new ClaimResult.Refused(RefusalReason.IDEMPOTENCY_KEY_REUSED));
  }

  /**
   * Reads the body of an answer that is in the object store.
   *
   * @throws PlatformException if the body could not be read; the request has run nevertheless
   */
  public StoredAnswer load(StoredAnswer answer) throws PlatformException {
    return store.load(answer);
  }

  /**
   * Removes rows whose answers are older than the retention time, one page at a time.
   *
   * @param afterKey where the last page ended; empty to start
   * @return where this page ended; empty after the last page
   * @throws PlatformException if the page has to be repeated
   */
  public String removeExpired(String afterKey) throws PlatformException {
    List<Row> page = store.scan(afterKey, MAX_BATCH);
    List<Row> expired = page.stream().filter(this::removable).toList();
    if (!expired.isEmpty()) {
      store.delete(expired);
    }
    return page.size() < MAX_BATCH ? "" : page.get(page.size() - 1).key().key();
  }

  private boolean removable(Row row) {
    return ClaimRow.readable(row)
        .filter(content -> content.state().removable(content, clock.now()))
        .isPresent();
  }

  private static List<ClaimAttempt> poll(Queue<ClaimAttempt> queue) {
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
