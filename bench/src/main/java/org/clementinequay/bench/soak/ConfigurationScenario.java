package org.clementinequay.bench.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.TableService;
import org.clementinequay.core.spread.ConfigurationPublisher;
import org.clementinequay.core.spread.PublishResult;
import org.clementinequay.core.spread.RevisionRecord;
import org.clementinequay.core.spread.StalenessRule;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Runs operators that submit concurrent changes of the configuration while hosts read it. History
 * events: {@code head} (a read of the head row returned this revision; the detail is the virtual
 * time of its start), {@code accepted}, {@code superseded}, {@code refused} and {@code unknown}
 * (answers to the submission in the key), and {@code in_force} (a host activated the revision; the
 * detail is the hash of the document).
 */
final class ConfigurationScenario {
  private static final int OPERATORS = 3;
  private static final Duration MAX_EDIT_TIME = Duration.ofSeconds(6);
  private static final Duration MAX_RETRY_WAIT = Duration.ofSeconds(2);

  /**
   * Time before the end at which operators stop, so that all hosts can activate the last revision.
   */
  private static final Duration SETTLE_TIME = Duration.ofSeconds(10);

  private static final int HOSTS = 4;

  /** Time within which every live host must activate an accepted revision. */
  private static final long ACTIVATION_LIMIT_NANOS = Duration.ofSeconds(5).toNanos();

  private final SoakRun run;
  private final FakeNetwork network;
  private final List<ConfigurationHost> hosts = new ArrayList<>();
  private final List<VirtualScheduler.Process> operators = new ArrayList<>();
  private final TreeMap<Long, Long> acceptedRevisionByNanos = new TreeMap<>();
  private int submissionCount;

  ConfigurationScenario(SoakRun run) {
    this.run = run;
    network = new FakeNetwork(run);
  }

  void execute() throws PlatformException {
    for (int i = 0; i < OPERATORS; i++) {
      startOperator("operator" + i);
    }
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(new ConfigurationHost(run, network, "host" + i, i == 0));
    }
    run.scheduler().observe(this::checkStaleness);
    new ProcessFaults(
            run, () -> hosts.stream().map(ConfigurationHost::process).toList(), this::restart)
        .start(2, List.of(ProcessFaults.Kind.values()));
    new ProcessFaults(run, () -> operators, this::restartOperator)
        .start(2, List.of(ProcessFaults.Kind.values()));
    run.runToEnd();
    check();
  }

  private void startOperator(String name) {
    VirtualScheduler.Process operator = run.scheduler().process(name);
    operators.add(operator);
    operator.start("edit", () -> submitEdits(operator));
  }

  /**
   * Simulates the death of the host that serves an operator, with a submission possibly pending.
   */
  private void restartOperator(VirtualScheduler.Process victim) {
    victim.kill();
    operators.remove(victim);
    startOperator(victim.name() + "'");
  }

  private void restart(VirtualScheduler.Process victim) {
    victim.kill();
    ConfigurationHost lost =
        hosts.stream().filter(host -> host.process() == victim).findFirst().orElseThrow();
    hosts.remove(lost);
    hosts.add(new ConfigurationHost(run, network, victim.name() + "'", lost.losesPlatform()));
  }

  /** Checks that a host counts as stale if it lacks a revision older than the staleness limit. */
  private void checkStaleness() {
    long before = run.scheduler().nowNanos() - StalenessRule.MAX_AGE.toNanos();
    Map.Entry<Long, Long> old = acceptedRevisionByNanos.floorEntry(before);
    for (ConfigurationHost host : hosts) {
      if (old != null && !host.stale() && host.revision() < old.getValue()) {
        run.addViolation(host.process().name() + " lacks " + old + " but does not count as stale");
        acceptedRevisionByNanos.clear();
        return;
      }
    }
  }

  private TableService publisherTable() {
    TableService table = run.platform().table();
    if (run.hasMutant(Mutant.HEAD_WITHOUT_COMPARE)) {
      return MutatedTable.ignoreExpectedVersions(table, write -> true);
    }
    return run.hasMutant(Mutant.LOST_PUBLISH_AS_REFUSED)
        ? MutatedTable.lostAnswerAsRefused(table)
        : table;
  }

  private void submitEdits(VirtualScheduler.Process operator) throws Exception {
    RuntimeClock clock = operator.clock();
    ConfigurationPublisher publisher =
        new ConfigurationPublisher(publisherTable(), run.platform().store(), clock);
    long knownRevision = 0;
    while (!run.remainingLessThan(SETTLE_TIME)) {
      run.sleepUpTo(MAX_EDIT_TIME);
      long start = run.scheduler().nowNanos();
      try {
        knownRevision = publisher.head().map(RevisionRecord::revision).orElse(0L);
        run.history().add(operator.name(), "head", "", knownRevision, Long.toString(start));
      } catch (PlatformException e) {
        // The operator edits on top of the last known revision.
      }
      submit(operator, publisher, knownRevision);
    }
  }

  private void submit(
      VirtualScheduler.Process operator, ConfigurationPublisher publisher, long base)
      throws Exception {
    submissionCount++;
    String id = "submission" + submissionCount;
    String kind = "unknown";
    long revision = 0;
    boolean retry = true;
    while (retry) {
      retry = false;
      try {
        PublishResult result = publisher.publish(base, id, operator.name(), "document of " + id);
        if (result instanceof PublishResult.Accepted accepted) {
          kind = "accepted";
          revision = accepted.record().revision();
        } else if (result instanceof PublishResult.Conflict lost) {
          kind = "superseded";
          revision = lost.current().revision();
        }
      } catch (PlatformUnavailableException e) {
        kind = kind.equals("unknown") && revision == 0 ? "refused" : kind;
      } catch (AnswerLostException e) {
        // Half of the operators retry, as the contract of the publisher demands.
        revision = -1;
        retry = run.random().nextBoolean();
        run.sleepUpTo(MAX_RETRY_WAIT);
      }
    }
    run.history().add(operator.name(), kind, id, revision, Long.toString(base));
    if (kind.equals("accepted")) {
      long highest =
          acceptedRevisionByNanos.isEmpty() ? 0 : acceptedRevisionByNanos.lastEntry().getValue();
      acceptedRevisionByNanos.put(run.scheduler().nowNanos(), Math.max(highest, revision));
    }
  }

  private void check() throws PlatformException {
    ConfigurationPublisher faultFreePublisher =
        new ConfigurationPublisher(
            run.platform().faultFreeTable(),
            run.platform().faultFreeStore(),
            run.scheduler().process("checker").clock());
    Optional<RevisionRecord> head = faultFreePublisher.head();
    long lastRevision = head.map(RevisionRecord::revision).orElse(0L);
    Map<String, Long> revisionBySubmission = new HashMap<>();
    for (long number = 1; number <= lastRevision; number++) {
      Optional<RevisionRecord> row = faultFreePublisher.revision(number);
      if (row.isEmpty() || faultFreePublisher.document(row.get().hash()).isEmpty()) {
        run.addViolation("revision " + number + " or its document is missing");
        continue;
      }
      Long earlier = revisionBySubmission.put(row.get().submissionId(), number);
      if (earlier != null) {
        run.addViolation(
            row.get().submissionId() + " is stored as two revisions: " + earlier + ", " + number);
      }
    }
    if (faultFreePublisher.revision(lastRevision + 1).isPresent()
        || !head.equals(faultFreePublisher.revision(lastRevision))) {
      run.addViolation("the head row does not refer to the last revision " + lastRevision);
    }
    checkAnswers(revisionBySubmission);
    checkHeadReads();
    checkActivations(faultFreePublisher);
  }

  private void checkActivations(ConfigurationPublisher faultFreePublisher)
      throws PlatformException {
    Map<String, TreeMap<Long, Long>> byHost = new HashMap<>();
    for (History.Event event : run.history().events("in_force")) {
      TreeMap<Long, Long> revisions =
          byHost.computeIfAbsent(event.process(), host -> new TreeMap<>());
      if (!revisions.isEmpty() && revisions.lastEntry().getValue() >= event.number()) {
        run.addViolation(
            "reverted to an older revision from "
                + revisions.lastEntry().getValue()
                + ": "
                + event);
      }
      revisions.put(event.atNanos(), event.number());
      Optional<RevisionRecord> row = faultFreePublisher.revision(event.number());
      if (row.isEmpty() || !row.get().hash().equals(event.detail())) {
        run.addViolation("active document is not the stored one: " + event);
      }
    }
    for (History.Event event : run.history().events("accepted")) {
      long limitNanos = Math.max(event.atNanos(), run.faultsEndNanos()) + ACTIVATION_LIMIT_NANOS;
      for (ConfigurationHost host : hosts) {
        Map.Entry<Long, Long> active =
            byHost.getOrDefault(host.process().name(), new TreeMap<>()).floorEntry(limitNanos);
        if (active == null || active.getValue() < event.number()) {
          run.addViolation(host.process().name() + " had " + active + " 5 s after " + event);
        }
      }
    }
  }

  private void checkAnswers(Map<String, Long> revisionBySubmission) {
    boolean acceptedAfterFaults = false;
    for (History.Event event : run.history().events("accepted")) {
      acceptedAfterFaults |= event.atNanos() > run.faultsEndNanos();
      Long stored = revisionBySubmission.get(event.key());
      if (stored == null || stored != event.number()) {
        run.addViolation(
            event.key() + " was accepted as " + event.number() + ", stored: " + stored);
      }
    }
    if (!acceptedAfterFaults) {
      run.addViolation("no submission was accepted after the end of faults");
    }
    for (String kind : List.of("refused", "superseded")) {
      for (History.Event event : run.history().events(kind)) {
        if (revisionBySubmission.containsKey(event.key())) {
          run.addViolation(event.key() + " was " + kind + " but is stored as a revision");
        }
      }
    }
  }

  /**
   * Checks that a read that starts after an accepted submission sees its revision or a later one.
   */
  private void checkHeadReads() {
    List<History.Event> accepted = run.history().events("accepted");
    for (History.Event read : run.history().events("head")) {
      long start = Long.parseLong(read.detail());
      for (History.Event event : accepted) {
        if (event.atNanos() < start && event.number() > read.number()) {
          run.addViolation("head " + read.number() + " was read after " + event.number());
        }
      }
    }
  }
}
