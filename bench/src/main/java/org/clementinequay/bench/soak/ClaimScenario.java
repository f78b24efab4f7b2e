package org.clementinequay.bench.soak;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.claim.ClaimAttempt;
import org.clementinequay.core.claim.ClaimKey;
import org.clementinequay.core.claim.ClaimRequest;
import org.clementinequay.core.claim.ClaimResult;
import org.clementinequay.core.claim.ClaimService;
import org.clementinequay.core.claim.StoredAnswer;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowFields;
import org.clementinequay.core.platform.TableService;

/**
 * Runs callers on several hosts that share idempotency keys while hosts are paused, partitioned and
 * killed. History events, with the key and the number of the submission: {@code submitted}, {@code
 * executed}, and the answers {@code ran}, {@code not_run}, {@code reused} and {@code unknown}.
 */
final class ClaimScenario {
  private static final int HOSTS = 3;
  private static final int CALLERS = 3;
  private static final int SHARED_KEYS = 6;

  /** Interval after which new shared keys replace the old ones, so that some are always unused. */
  private static final long KEY_INTERVAL_NANOS = Duration.ofSeconds(4).toNanos();

  private static final int LARGE_BODY_BYTES = StoredAnswer.MAX_INLINE_BYTES + 1;
  private static final Duration MAX_THINK_TIME = Duration.ofMillis(800);
  private static final Duration MAX_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration FAULT_FREE_TIMEOUT = Duration.ofSeconds(5);
  private static final Duration MAX_IDLE_WAIT = Duration.ofMinutes(1);
  private static final Duration RECORD_INTERVAL = Duration.ofMillis(200);

  /**
   * Time before the end at which submissions stop, so that rows of refused claims can be removed.
   */
  private static final Duration SETTLE_TIME =
      ClaimService.LATE_EFFECT_WINDOW.plus(Duration.ofSeconds(20));

  private final SoakRun run;
  private final List<Host> hosts = new ArrayList<>();
  private final Set<String> deadIncarnations = new HashSet<>();
  private final Set<String> keysWithLostAnswer = new HashSet<>();
  private long submissionCount;

  ClaimScenario(SoakRun run) {
    this.run = run;
  }

  void execute() throws PlatformException {
    for (int i = 0; i < HOSTS; i++) {
      startHost("host" + i);
    }
    new ProcessFaults(run, () -> hosts.stream().map(host -> host.process).toList(), this::restart)
        .start(2, List.of(ProcessFaults.Kind.values()));
    run.runToEnd();
    checkExecutions();
    checkAnswers();
    checkRows();
  }

  private void startHost(String name) {
    Host host = new Host(run.scheduler().process(name));
    hosts.add(host);
    host.process.start("claim writer", host::writeClaims);
    host.process.start("answer recorder", host::recordAnswers);
    for (int i = 0; i < CALLERS; i++) {
      host.process.start("caller" + i, host::submitRequests);
    }
  }

  private void restart(VirtualScheduler.Process victim) {
    victim.kill();
    hosts.stream()
        .filter(host -> host.process == victim)
        .forEach(host -> deadIncarnations.add(host.incarnation.id()));
    hosts.removeIf(host -> host.process == victim);
    startHost(victim.name() + "'");
  }

  private TableService claimTable() {
    TableService table = run.platform().table();
    if (run.hasMutant(Mutant.CLAIM_WITHOUT_INSERT_IF_ABSENT)) {
      return MutatedTable.ignoreExpectedVersions(table, write -> true);
    }
    return run.hasMutant(Mutant.LOST_CLAIM_AS_NOT_WRITTEN)
        ? MutatedTable.lostAnswerAsRefused(table)
        : table;
  }

  private record Submission(long number, String key, String body) {}

  private final class Host {
    final VirtualScheduler.Process process;
    final Incarnation incarnation = Incarnation.random(run.random());
    final ClaimService claims;
    final List<ClaimAttempt> openedAttempts = new ArrayList<>();

    Host(VirtualScheduler.Process process) {
      this.process = process;
      claims = new ClaimService(claimTable(), run.platform().store(), process.clock(), incarnation);
    }

    void writeClaims() {
      List<ClaimAttempt> undecided = new ArrayList<>();
      while (true) {
        undecided.addAll(openedAttempts);
        openedAttempts.clear();
        ClaimService.Round round = claims.round(undecided);
        undecided = new ArrayList<>(round.undecided());
        if (!round.storeAnswered()) {
          run.scheduler().sleep(ClaimService.RETRY_PAUSE);
        } else if (undecided.isEmpty()) {
          run.scheduler().await(() -> !openedAttempts.isEmpty(), MAX_IDLE_WAIT);
        }
      }
    }

    void recordAnswers() {
      while (true) {
        run.scheduler().sleep(RECORD_INTERVAL);
        try {
          claims.recordCompletions();
          if (!run.hasMutant(Mutant.ABANDONED_CLAIM_KEPT)) {
            claims.removeAbandonedRows();
          }
        } catch (PlatformException e) {
          // Both calls keep unfinished work and retry it the next time.
        }
      }
    }

    void submitRequests() throws PlatformException {
      while (!run.remainingLessThan(SETTLE_TIME)) {
        run.sleepUpTo(MAX_THINK_TIME);
        submissionCount++;
        boolean newKey = run.random().nextInt(4) == 0;
        long interval = run.scheduler().nowNanos() / KEY_INTERVAL_NANOS;
        String sharedKey = "shared" + interval + "-" + run.random().nextInt(SHARED_KEYS);
        String key = newKey ? "fresh" + submissionCount : sharedKey;
        String body = run.random().nextInt(10) == 0 ? "other body" : "body";
        submit(new Submission(submissionCount, key, newKey ? "body" : body));
      }
    }

    private void submit(Submission submission) throws PlatformException {
      addEvent(submission, "submitted", submission.body());
      long timeoutNanos =
          run.faultsEnded()
              ? FAULT_FREE_TIMEOUT.toNanos()
              : run.random().nextLong(1, MAX_TIMEOUT.toNanos());
      long deadlineNanos = process.clock().nanoTime() + timeoutNanos;
      boolean stillSent = run.hasMutant(Mutant.REFUSED_CLAIM_STILL_SENT);
      long claimDeadlineNanos = stillSent ? deadlineNanos + MAX_IDLE_WAIT.toNanos() : deadlineNanos;
      ClaimAttempt attempt =
          claims.open(
              ClaimRequest.of(
                  new ClaimKey("account", submission.key()),
                  submission.body().getBytes(StandardCharsets.UTF_8),
                  claimDeadlineNanos));
      openedAttempts.add(attempt);
      run.scheduler().await(attempt::isDecided, Duration.ofNanos(timeoutNanos));
      if (stillSent && !attempt.isDecided()) {
        addEvent(submission, "not_run", "");
        run.scheduler().await(attempt::isDecided, MAX_IDLE_WAIT);
      }
      attempt.abandon();
      handleResult(submission, attempt.result().join());
    }

    private void handleResult(Submission submission, ClaimResult result) {
      if (result instanceof ClaimResult.Granted granted) {
        send(submission, granted.attempt());
      } else if (result instanceof ClaimResult.Completed completed) {
        try {
          addEvent(submission, "ran", text(claims.load(completed.answer())));
        } catch (PlatformException e) {
          addEvent(submission, "unknown", "body not readable");
        }
      } else if (result instanceof ClaimResult.InProgress) {
        addEvent(submission, "unknown", "in progress");
      } else if (result instanceof ClaimResult.Refused refused) {
        boolean reused = refused.reason() == RefusalReason.IDEMPOTENCY_KEY_REUSED;
        addEvent(submission, reused ? "reused" : "not_run", "");
      }
    }

    private void send(Submission submission, ClaimAttempt attempt) {
      if (!run.faultsEnded() && run.random().nextInt(10) == 0) {
        addEvent(submission, "not_run", "no connection");
        claims.release(attempt);
        return;
      }
      run.platform().delayMessage();
      String answer = "answer to " + submission.number();
      addEvent(submission, "executed", answer);
      run.platform().delayMessage();
      if (!run.faultsEnded() && run.random().nextInt(10) == 0) {
        keysWithLostAnswer.add(submission.key());
        if (run.hasMutant(Mutant.SENT_CLAIM_RELEASED)) {
          claims.release(attempt);
        } else {
          claims.leaveUnknown(attempt);
        }
        addEvent(submission, "unknown", "answer lost");
        return;
      }
      int padding = run.random().nextInt(10) == 0 ? LARGE_BODY_BYTES : 0;
      byte[] body = (answer + " ".repeat(padding)).getBytes(StandardCharsets.UTF_8);
      claims.complete(attempt, StoredAnswer.of(200, "text/plain", body));
      addEvent(submission, "ran", answer);
    }

    private void addEvent(Submission submission, String kind, String detail) {
      run.history().add(process.name(), kind, submission.key(), submission.number(), detail);
    }
  }

  private static String text(StoredAnswer answer) {
    return new String(answer.body().orElseThrow(), StandardCharsets.UTF_8).strip();
  }

  private void checkExecutions() {
    Set<Long> refused = new HashSet<>();
    for (String kind : List.of("not_run", "reused")) {
      run.history().events(kind).forEach(event -> refused.add(event.number()));
    }
    for (List<History.Event> executions : run.history().byKey("executed").values()) {
      if (executions.size() > 1) {
        run.addViolation("key executed " + executions.size() + " times: " + executions);
      }
      for (History.Event event : executions) {
        if (refused.contains(event.number())) {
          run.addViolation("executed although the caller was answered not-run: " + event);
        }
      }
    }
  }

  private void checkAnswers() {
    Map<String, History.Event> executed = new HashMap<>();
    run.history().events("executed").forEach(event -> executed.put(event.key(), event));
    Map<Long, String> bodies = new HashMap<>();
    Map<String, Set<String>> bodiesOfKey = new HashMap<>();
    for (History.Event event : run.history().events("submitted")) {
      bodies.put(event.number(), event.detail());
      bodiesOfKey.computeIfAbsent(event.key(), key -> new HashSet<>()).add(event.detail());
    }
    for (History.Event event : run.history().events("ran")) {
      History.Event execution = executed.get(event.key());
      if (execution == null
          || !execution.detail().equals(event.detail())
          || !bodies.get(execution.number()).equals(bodies.get(event.number()))) {
        run.addViolation("answer of another request: " + event + ", executed: " + execution);
      }
    }
    for (History.Event event : run.history().events("reused")) {
      if (bodiesOfKey.get(event.key()).size() < 2) {
        run.addViolation(
            "answered as reused although all submissions of the key have the same body: " + event);
      }
    }
    Set<Long> ran = new HashSet<>();
    run.history().events("ran").forEach(event -> ran.add(event.number()));
    for (History.Event event : run.history().events("submitted")) {
      boolean mustHaveRun =
          event.atNanos() > run.faultsEndNanos() && event.key().startsWith("fresh");
      if (mustHaveRun && !ran.contains(event.number())) {
        run.addViolation("submission with a new key was not run after the end of faults: " + event);
      }
    }
  }

  /**
   * Checks that no claim of a live host remains without a recorded answer, unless the answer was
   * lost. A key whose refused request leaves its row behind would stay unusable.
   */
  private void checkRows() throws PlatformException {
    Set<String> executed = run.history().byKey("executed").keySet();
    for (Row row :
        run.platform().faultFreeTable().scan(ClaimKey.TABLE, "", "", Integer.MAX_VALUE)) {
      RowFields fields = RowFields.parse(row.value());
      String key = row.key().key().substring(row.key().key().indexOf('/') + 1);
      String claimant = fields.text("token").substring(0, 32);
      boolean answered = fields.optionalText("status").isPresent();
      if (answered || deadIncarnations.contains(claimant)) {
        continue;
      }
      if (!executed.contains(key)) {
        run.addViolation("key " + key + " is held for a request that was never sent");
      } else if (!keysWithLostAnswer.contains(key)) {
        run.addViolation("the answer under key " + key + " was not recorded");
      }
    }
  }
}
