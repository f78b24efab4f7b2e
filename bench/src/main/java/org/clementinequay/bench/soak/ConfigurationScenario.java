package org.clementinequay.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.TableService;
import org.clementinequay.core.spread.ConfigurationPublisher;
import org.clementinequay.core.spread.PublishResult;
import org.clementinequay.core.spread.RevisionRecord;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Operators race to change the configuration while hosts read it. Events: {@code head} (a read
 * returned this revision; the detail is the virtual time of its start), {@code accepted}, {@code
 * superseded}, {@code refused} and {@code unknown} (answers to the submission in the key).
 */
final class ConfigurationScenario {
  private static final int OPERATORS = 3;
  private static final Duration LONGEST_EDIT = Duration.ofSeconds(6);
  private static final Duration LONGEST_RETRY_WAIT = Duration.ofSeconds(2);

  /** Operators stop this long before the end, so that the last revision can spread. */
  private static final Duration SETTLE = Duration.ofSeconds(10);

  private final SoakRun run;
  private int submissions;

  ConfigurationScenario(SoakRun run) {
    this.run = run;
  }

  void execute() throws PlatformException {
    List<VirtualScheduler.Process> operators = new ArrayList<>();
    for (int i = 0; i < OPERATORS; i++) {
      VirtualScheduler.Process operator = run.scheduler().process("operator" + i);
      operators.add(operator);
      operator.start("edit", () -> operate(operator));
    }
    new ProcessFaults(run, () -> operators, VirtualScheduler.Process::kill)
        .start(
            2,
            List.of(
                ProcessFaults.Kind.PAUSE,
                ProcessFaults.Kind.PARTITION,
                ProcessFaults.Kind.WALL_CLOCK));
    run.runToEnd();
    check();
  }

  private TableService publisherTable() {
    TableService table = run.platform().table();
    if (run.mutated(Mutant.HEAD_WITHOUT_COMPARE)) {
      return MutatedTable.unconditional(table, write -> true);
    }
    return run.mutated(Mutant.LOST_PUBLISH_AS_REFUSED)
        ? MutatedTable.lostAsUnavailable(table)
        : table;
  }

  private void operate(VirtualScheduler.Process operator) throws Exception {
    RuntimeClock clock = operator.clock();
    ConfigurationPublisher publisher =
        new ConfigurationPublisher(publisherTable(), run.platform().store(), clock);
    long known = 0;
    while (!run.lessThanLeft(SETTLE)) {
      run.sleepUpTo(LONGEST_EDIT);
      long start = run.scheduler().nowNanos();
      try {
        known = publisher.head().map(RevisionRecord::revision).orElse(0L);
        run.history().add(operator.name(), "head", "", known, Long.toString(start));
      } catch (PlatformException e) {
        // The operator edits on top of the revision that was shown last.
      }
      submit(operator, publisher, known);
    }
  }

  private void submit(
      VirtualScheduler.Process operator, ConfigurationPublisher publisher, long base)
      throws Exception {
    submissions++;
    String id = "submission" + submissions;
    String kind = "unknown";
    long revision = 0;
    boolean asked = true;
    while (asked) {
      asked = false;
      try {
        PublishResult result = publisher.publish(base, id, operator.name(), "document of " + id);
        if (result instanceof PublishResult.Accepted accepted) {
          kind = "accepted";
          revision = accepted.record().revision();
        } else if (result instanceof PublishResult.Lost lost) {
          kind = "superseded";
          revision = lost.winner().revision();
        }
      } catch (PlatformUnavailableException e) {
        kind = kind.equals("unknown") && revision == 0 ? "refused" : kind;
      } catch (AnswerLostException e) {
        // Half of the operators ask again, as the contract of the publisher tells them to.
        revision = -1;
        asked = run.random().nextBoolean();
        run.sleepUpTo(LONGEST_RETRY_WAIT);
      }
    }
    run.history().add(operator.name(), kind, id, revision, Long.toString(base));
  }

  private void check() throws PlatformException {
    ConfigurationPublisher truth =
        new ConfigurationPublisher(
            run.platform().rows(),
            run.platform().objects(),
            run.scheduler().process("checker").clock());
    Optional<RevisionRecord> head = truth.head();
    long last = head.map(RevisionRecord::revision).orElse(0L);
    Map<String, Long> revisionBySubmission = new HashMap<>();
    for (long number = 1; number <= last; number++) {
      Optional<RevisionRecord> row = truth.revision(number);
      if (row.isEmpty() || truth.document(row.get().hash()).isEmpty()) {
        run.violate("revision " + number + " or its document is missing");
        continue;
      }
      Long earlier = revisionBySubmission.put(row.get().submissionId(), number);
      if (earlier != null) {
        run.violate(row.get().submissionId() + " is in force twice: " + earlier + ", " + number);
      }
    }
    if (truth.revision(last + 1).isPresent() || !head.equals(truth.revision(last))) {
      run.violate("the head row does not name the last revision " + last);
    }
    checkAnswers(revisionBySubmission);
    checkHeadReads();
  }

  private void checkAnswers(Map<String, Long> revisionBySubmission) {
    boolean acceptedInQuiet = false;
    for (History.Event event : run.history().events("accepted")) {
      acceptedInQuiet |= event.atNanos() > run.quietFromNanos();
      Long stored = revisionBySubmission.get(event.key());
      if (stored == null || stored != event.number()) {
        run.violate(event.key() + " was accepted as " + event.number() + ", stored: " + stored);
      }
    }
    if (!acceptedInQuiet) {
      run.violate("no submission was accepted after the end of faults");
    }
    for (String kind : List.of("refused", "superseded")) {
      for (History.Event event : run.history().events(kind)) {
        if (revisionBySubmission.containsKey(event.key())) {
          run.violate(event.key() + " was " + kind + " but is in the history");
        }
      }
    }
  }

  /** A read that starts after a submission was answered must see its revision or a later one. */
  private void checkHeadReads() {
    List<History.Event> accepted = run.history().events("accepted");
    for (History.Event read : run.history().events("head")) {
      long start = Long.parseLong(read.detail());
      for (History.Event event : accepted) {
        if (event.atNanos() < start && event.number() > read.number()) {
          run.violate("head " + read.number() + " was read after " + event.number());
        }
      }
    }
  }
}
