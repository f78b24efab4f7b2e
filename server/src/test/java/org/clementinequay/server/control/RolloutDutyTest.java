package org.clementinequay.server.control;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.config.VersionSpec;
import org.clementinequay.core.config.VersionState;
import org.clementinequay.core.lease.LeaseCandidate;
import org.clementinequay.core.lease.LeaseGuard;
import org.clementinequay.core.lease.LeaseStore;
import org.clementinequay.core.lease.LeaseTiming;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.RowKey;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryObjectStore;
import org.clementinequay.core.platform.memory.InMemoryTableService;
import org.clementinequay.core.rollout.LocalRolloutMonitor;
import org.clementinequay.core.rollout.RolloutState;
import org.clementinequay.core.rollout.VersionCounts;
import org.clementinequay.core.spread.ConfigurationPublisher;
import org.clementinequay.core.spread.RevisionRecord;
import org.clementinequay.core.time.ManualClock;
import org.clementinequay.server.document.DocumentParser;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Tests of roll-outs that start, are interrupted, or continue under another holder of the lease.
 */
public final class RolloutDutyTest {
  private static final ModelVersion CANDIDATE = ModelVersion.parse("m@v2");
  private static final ModelVersion LIVE = ModelVersion.parse("m@v1");
  private static final String DOCUMENT =
      """
      {"domains": [], "classes": [], "cascades": [], "routes": [], "upstreams": [], "accounts": [],
       // The comment stays.
       "models": [{"name": "m", "versions": [
         {"name": "v1", "state": "live", "promptMicrosPerToken": 1, "completionMicrosPerToken": 1},
         {"name": "v2", "state": "rolling-out", "share": 0.3,
          "promptMicrosPerToken": 1, "completionMicrosPerToken": 1}]}]}
      """;

  /** Rounds of the holder of the lease. */
  public static final class Rounds {
    private ManualClock clock;
    private InMemoryTableService table;
    private ConfigurationPublisher publisher;
    private RolloutDuty duty;
    private LeaseCandidate candidate;
    private LeaseGuard guard;

    @BeforeMethod
    public void acquireLease() throws Exception {
      clock = new ManualClock(Instant.parse("2026-12-04T12:00:00Z"));
      table = new InMemoryTableService(CallHook.NONE);
      publisher = new ConfigurationPublisher(table, new InMemoryObjectStore(CallHook.NONE), clock);
      publisher.publish(0, "first", "morning", DOCUMENT);
      RolloutEvidence evidence =
          new RolloutEvidence(new LocalRolloutMonitor(9), (version, reason) -> {});
      duty = new RolloutDuty(table, publisher, this::inForce, evidence, clock);
      Incarnation self = new Incarnation("0123456789abcdef0123456789abcdef");
      LeaseTiming timing = LeaseTiming.PRODUCTION;
      candidate = new LeaseCandidate(new LeaseStore(table), duty.name(), self, timing, clock);
      assertTrue(candidate.step(true));
      guard = new LeaseGuard(duty.name(), candidate::lease, timing.orderMargin());
    }

    private Optional<RevisionedConfiguration> inForce() {
      try {
        RevisionRecord head = publisher.head().orElseThrow();
        String text = publisher.document(head.hash()).orElseThrow();
        return Optional.of(
            new RevisionedConfiguration(
                head.revision(),
                head.hash(),
                text,
                DocumentParser.parseAccepted(text).orElseThrow()));
      } catch (PlatformException e) {
        throw new IllegalStateException(e);
      }
    }

    private VersionSpec spec(ModelVersion version) {
      return inForce().orElseThrow().configuration().version(version).orElseThrow();
    }

    private void storeRow(RolloutState.Status status, int stage) throws Exception {
      RolloutState state =
          new RolloutState(status, stage, 0, VersionCounts.NONE, VersionCounts.NONE);
      RowKey key = new RowKey(RolloutDuty.TABLE, CANDIDATE.toString());
      table.commit(List.of(RowWrite.insert(key, state.encode())));
    }

    /** Guards against a roll-out that starts with the share in the operator's document. */
    @Test
    public void beginsWithTheFirstStage() {
      duty.runOnce(guard);
      assertEquals(spec(CANDIDATE).share(), 0.01);
      assertTrue(inForce().orElseThrow().text().contains("// The comment stays."));
      duty.runOnce(guard);
      assertEquals(inForce().orElseThrow().revision(), 2, "no revision without a change");
    }

    /** Guards against a stop that is lost because the holder failed before it published it. */
    @Test
    public void finishesAStopOfAnEarlierHolder() throws Exception {
      storeRow(RolloutState.Status.STOPPED, 1);
      duty.runOnce(guard);
      assertEquals(spec(CANDIDATE).state(), VersionState.CLOSING);
      duty.runOnce(guard);
      assertTrue(table.scan(RolloutDuty.TABLE, "", "", 10).isEmpty(), "row of an ended roll-out");
    }

    /** Guards against a completed roll-out that leaves two versions live, or none. */
    @Test
    public void finishesACompletionOfAnEarlierHolder() throws Exception {
      storeRow(RolloutState.Status.COMPLETED, 3);
      duty.runOnce(guard);
      assertEquals(spec(CANDIDATE).state(), VersionState.LIVE);
      assertEquals(spec(LIVE).state(), VersionState.CLOSING);
    }

    /** Guards against a holder that continues after a pause during which its lease expired. */
    @Test
    public void doesNothingAfterTheLeaseExpired() throws Exception {
      storeRow(RolloutState.Status.STOPPED, 1);
      clock.advance(Duration.ofSeconds(60));
      duty.runOnce(guard);
      assertEquals(inForce().orElseThrow().revision(), 1);
    }
  }

  /** The monitor that stops versions on the evidence of one host. */
  public static final class LocalMonitor {
    /** Guards against a bad version that gets new sessions until the holder of the lease acts. */
    @Test
    public void stopsABadVersionOnLocalEvidence() {
      LocalRolloutMonitor monitor = new LocalRolloutMonitor(9);
      StringBuilder stoppedVersions = new StringBuilder();
      RolloutEvidence evidence =
          new RolloutEvidence(monitor, (version, reason) -> stoppedVersions.append(version));
      evidence.applyConfiguration(DocumentParser.parseAccepted(DOCUMENT).orElseThrow());
      for (int i = 0; i < 200 && !monitor.isStopped(CANDIDATE); i++) {
        evidence.answerRated(LIVE, true);
        evidence.answerRated(CANDIDATE, false);
      }
      assertTrue(monitor.isStopped(CANDIDATE));
      assertEquals(stoppedVersions.toString(), CANDIDATE.toString(), "stop reported once");
    }
  }
}
