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
 * Callers on several hosts use the same idempotency keys while hosts are paused, cut off and
 * killed. Events, with the key and the number of the submission: {@code submitted}, {@code
 * executed}, and the answers {@code ran}, {@code not_run}, {@code reused} and {@code unknown}.
 */
final class ClaimScenario {
  private static final int HOSTS = 3;
  private static final int CALLERS = 3;
  private static final int SHARED_KEYS = 6;

  /** Shared keys change with this interval, so that some are unused at any time. */
  private static final long KEY_INTERVAL_NANOS = Duration.ofSeconds(4).toNanos();

  private static final int LARGE_BODY = StoredAnswer.MAX_INLINE_BYTES + 1;
  private static final Duration LONGEST_THINK_TIME = Duration.ofMillis(800);
  private static final Duration LONGEST_DEADLINE = Duration.ofSeconds(3);
  private static final Duration QUIET_DEADLINE = Duration.ofSeconds(5);
  private static final Duration IDLE = Duration.ofMinutes(1);
  private static final Duration RECORD_INTERVAL = Duration.ofMillis(200);

  /** Calls stop early enough for rows of refused claims to be removed before the end. */
  private static final Duration SETTLE =
      ClaimService.LATE_EFFECT_WINDOW.plus(Duration.ofSeconds(20));

  private final SoakRun run;
  private final List<Host> hosts = new ArrayList<>();
  private final Set<String> deadIncarnations = new HashSet<>();
  private final Set<String> answerLost = new HashSet<>();
  private long submissions;

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
      host.process.start("caller" + i, host::call);
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
    if (run.mutated(Mutant.CLAIM_WITHOUT_INSERT_IF_ABSENT)) {
      return MutatedTable.unconditional(table, write -> true);
    }
    return run.mutated(Mutant.LOST_CLAIM_AS_NOT_WRITTEN)
        ? MutatedTable.lostAsUnavailable(table)
        : table;
  }

  /** One submission of a caller. */
  private record Call(long number, String key, String body) {}

  private final class Host {
    final VirtualScheduler.Process process;
    final Incarnation incarnation = Incarnation.random(run.random());
    final ClaimService claims;
    final List<ClaimAttempt> opened = new ArrayList<>();

    Host(VirtualScheduler.Process process) {
      this.process = process;
      claims = new ClaimService(claimTable(), run.platform().store(), process.clock(), incarnation);
    }

    void writeClaims() {
      List<ClaimAttempt> undecided = new ArrayList<>();
      while (true) {
        undecided.addAll(opened);
        opened.clear();
        ClaimService.Round round = claims.round(undecided);
        undecided = new ArrayList<>(round.undecided());
        if (!round.storeAnswered()) {
          run.scheduler().sleep(ClaimService.RETRY_PAUSE);
        } else if (undecided.isEmpty()) {
          run.scheduler().await(() -> !opened.isEmpty(), IDLE);
        }
      }
    }

    void recordAnswers() {
      while (true) {
        run.scheduler().sleep(RECORD_INTERVAL);
        try {
          claims.recordCompletions();
          if (!run.mutated(Mutant.ABANDONED_CLAIM_KEPT)) {
            claims.removeAbandonedRows();
          }
        } catch (PlatformException e) {
          // Both keep what is left for the next call.
        }
      }
    }

    void call() throws PlatformException {
      while (!run.lessThanLeft(SETTLE)) {
        run.sleepUpTo(LONGEST_THINK_TIME);
        submissions++;
        boolean fresh = run.random().nextInt(4) == 0;
        long interval = run.scheduler().nowNanos() / KEY_INTERVAL_NANOS;
        String shared = "shared" + interval + "-" + run.random().nextInt(SHARED_KEYS);
        String key = fresh ? "fresh" + submissions : shared;
        String body = run.random().nextInt(10) == 0 ? "other body" : "body";
        submit(new Call(submissions, key, fresh ? "body" : body));
      }
    }

    private void submit(Call call) throws PlatformException {
      note(call, "submitted", call.body());
      long patience =
          run.quiet()
              ? QUIET_DEADLINE.toNanos()
              : run.random().nextLong(1, LONGEST_DEADLINE.toNanos());
      long deadline = process.clock().nanoTime() + patience;
      boolean mutated = run.mutated(Mutant.REFUSED_CLAIM_STILL_SENT);
      long givenUp = mutated ? deadline + IDLE.toNanos() : deadline;
      ClaimAttempt attempt =
          claims.open(
              ClaimRequest.of(
                  new ClaimKey("account", call.key()),
                  call.body().getBytes(StandardCharsets.UTF_8),
                  givenUp));
      opened.add(attempt);
      run.scheduler().await(attempt::isDecided, Duration.ofNanos(patience));
      if (mutated && !attempt.isDecided()) {
        note(call, "not_run", "");
        run.scheduler().await(attempt::isDecided, IDLE);
      }
      attempt.abandon();
      act(call, attempt.result().join());
    }

    private void act(Call call, ClaimResult result) {
      if (result instanceof ClaimResult.Granted granted) {
        send(call, granted.attempt());
      } else if (result instanceof ClaimResult.Completed completed) {
        try {
          note(call, "ran", text(claims.load(completed.answer())));
        } catch (PlatformException e) {
          note(call, "unknown", "body not readable");
        }
      } else if (result instanceof ClaimResult.InProgress) {
        note(call, "unknown", "in progress");
      } else if (result instanceof ClaimResult.Refused refused) {
        boolean reused = refused.reason() == RefusalReason.IDEMPOTENCY_KEY_REUSED;
        note(call, reused ? "reused" : "not_run", "");
      }
    }

    private void send(Call call, ClaimAttempt attempt) {
      if (!run.quiet() && run.random().nextInt(10) == 0) {
        note(call, "not_run", "no connection");
        claims.release(attempt);
        return;
      }
      run.platform().travel();
      String answer = "answer to " + call.number();
      note(call, "executed", answer);
      run.platform().travel();
      if (!run.quiet() && run.random().nextInt(10) == 0) {
        answerLost.add(call.key());
        if (run.mutated(Mutant.SENT_CLAIM_RELEASED)) {
          claims.release(attempt);
        } else {
          claims.leaveUnknown(attempt);
        }
        note(call, "unknown", "answer lost");
        return;
      }
      int padding = run.random().nextInt(10) == 0 ? LARGE_BODY : 0;
      byte[] body = (answer + " ".repeat(padding)).getBytes(StandardCharsets.UTF_8);
      claims.complete(attempt, StoredAnswer.of(200, "text/plain", body));
      note(call, "ran", answer);
    }

    private void note(Call call, String kind, String detail) {
      run.history().add(process.name(), kind, call.key(), call.number(), detail);
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
        run.violate("key executed " + executions.size() + " times: " + executions);
      }
      for (History.Event event : executions) {
        if (refused.contains(event.number())) {
          run.violate("executed after the answer not-run: " + event);
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
        run.violate("answer of another request: " + event + ", executed: " + execution);
      }
    }
    for (History.Event event : run.history().events("reused")) {
      if (bodiesOfKey.get(event.key()).size() < 2) {
        run.violate("key was not used with another body: " + event);
      }
    }
    Set<Long> ran = new HashSet<>();
    run.history().events("ran").forEach(event -> ran.add(event.number()));
    for (History.Event event : run.history().events("submitted")) {
      boolean mustRun = event.atNanos() > run.quietFromNanos() && event.key().startsWith("fresh");
      if (mustRun && !ran.contains(event.number())) {
        run.violate("not run although faults are over: " + event);
      }
    }
  }

  /** A live host must free the keys of requests that it refused, or they stay unusable. */
  private void checkRows() throws PlatformException {
    Set<String> executed = run.history().byKey("executed").keySet();
    for (Row row : run.platform().rows().scan(ClaimKey.TABLE, "", "", Integer.MAX_VALUE)) {
      RowFields fields = RowFields.parse(row.value());
      String key = row.key().key().substring(row.key().key().indexOf('/') + 1);
      String claimer = fields.text("token").substring(0, 32);
      boolean answered = fields.optionalText("status").isPresent();
      if (answered || deadIncarnations.contains(claimer)) {
        continue;
      }
      if (!executed.contains(key)) {
        run.violate("key " + key + " is held for a request that was never sent");
      } else if (!answerLost.contains(key)) {
        run.violate("the answer under key " + key + " was not recorded");
      }
    }
  }
}
