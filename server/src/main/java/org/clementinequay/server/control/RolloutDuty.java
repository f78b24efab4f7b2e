package org.clementinequay.server.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.Model;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.config.VersionSpec;
import org.clementinequay.core.config.VersionState;
import org.clementinequay.core.lease.LeaseGuard;
import org.clementinequay.core.lease.LeaseNotHeldException;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowKey;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.platform.TableService;
import org.clementinequay.core.rollout.RolloutState;
import org.clementinequay.core.rollout.StageController;
import org.clementinequay.core.rollout.StageDecision;
import org.clementinequay.core.spread.ConfigurationPublisher;
import org.clementinequay.core.spread.PublishResult;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.document.DocumentEditor;

/**
 * Advances, completes or stops roll-outs. The row of a roll-out is written before the configuration
 * is changed to match it, so that another holder of the lease can take over after any step: it
 * reads the row and updates the configuration. The row is deleted once the configuration shows that
 * the roll-out has ended.
 */
public final class RolloutDuty implements LeasedDuty {
  /** Table that has one row for each roll-out, under the name of its version. */
  public static final String TABLE = "rollouts";

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String OPERATOR = "rollout";
  private static final double SHARE_TOLERANCE = 1e-9;

  private final TableService table;
  private final ConfigurationPublisher publisher;
  private final Supplier<Optional<RevisionedConfiguration>> configuration;
  private final RolloutEvidence evidence;
  private final RuntimeClock clock;

  /**
   * Creates the duty.
   *
   * @param configuration returns the configuration in force on this host
   */
  public RolloutDuty(
      TableService table,
      ConfigurationPublisher publisher,
      Supplier<Optional<RevisionedConfiguration>> configuration,
      RolloutEvidence evidence,
      RuntimeClock clock) {
    this.table = table;
    this.publisher = publisher;
    this.configuration = configuration;
    this.evidence = evidence;
    this.clock = clock;
  }

  @Override
  public String name() {
    return "rollouts";
  }

  @Override
  public void runOnce(LeaseGuard guard) {
    Optional<RevisionedConfiguration> current = configuration.get();
    if (current.isEmpty()) {
      return;
    }
    try {
      deleteEndedRows(current.get(), guard);
      for (Model model : current.get().configuration().models()) {
        Optional<ModelVersion> live = RolloutEvidence.liveVersion(model);
        for (VersionSpec spec : model.versions()) {
          if (spec.state() == VersionState.ROLLING_OUT && live.isPresent()) {
            advance(current.get(), new ModelVersion(model.name(), spec.name()), live.get(), guard);
          }
        }
      }
    } catch (LeaseNotHeldException e) {
      logger.atInfo().log(
          "lease not held; the next holder continues the roll-outs: %s", e.getMessage());
    } catch (PlatformException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "cannot read or write the state of roll-outs; retrying: %s", e.getMessage());
    }
  }

  private void deleteEndedRows(RevisionedConfiguration current, LeaseGuard guard)
      throws PlatformException, LeaseNotHeldException {
    for (Row row : table.scan(TABLE, "", "", 1000)) {
      ModelVersion version = ModelVersion.parse(row.key().key());
      boolean running =
          current
              .configuration()
              .version(version)
              .map(VersionSpec::state)
              .filter(state -> state == VersionState.ROLLING_OUT)
              .isPresent();
      if (!running) {
        guard.check();
        table.commit(List.of(RowWrite.delete(row)));
      }
    }
  }

  private void advance(
      RevisionedConfiguration current, ModelVersion version, ModelVersion live, LeaseGuard guard)
      throws PlatformException, LeaseNotHeldException {
    RowKey key = new RowKey(TABLE, version.toString());
    Optional<Row> row = table.read(key);
    long now = clock.now().toEpochMilli();
    RolloutState state;
    if (row.isEmpty()) {
      state = RolloutState.begin(now, evidence.total(version), evidence.total(live));
      guard.check();
      if (!table.commit(List.of(RowWrite.insert(key, state.encode()))).committed()) {
        return;
      }
    } else {
      StageDecision decision =
          new StageController(current.configuration().weights())
              .decide(
                  RolloutState.parse(row.get().value()),
                  evidence.total(version),
                  evidence.total(live),
                  now);
      state = decision.state();
      if (decision.changed()) {
        guard.check();
        if (!table.commit(List.of(RowWrite.replace(row.get(), state.encode()))).committed()) {
          return;
        }
        logger.atInfo().log("roll-out of %s: %s, %s", version, state.status(), decision.reason());
      }
    }
    updateConfiguration(current, version, live, state, guard);
  }

  private void updateConfiguration(
      RevisionedConfiguration current,
      ModelVersion version,
      ModelVersion live,
      RolloutState state,
      LeaseGuard guard)
      throws PlatformException, LeaseNotHeldException {
    VersionSpec spec = current.configuration().version(version).orElseThrow();
    Optional<String> newText =
        switch (state.status()) {
          case COMPLETED ->
              DocumentEditor.withVersionState(current.text(), version, VersionState.LIVE, 0)
                  .flatMap(t -> DocumentEditor.withVersionState(t, live, VersionState.CLOSING, 0));
          case STOPPED ->
              DocumentEditor.withVersionState(current.text(), version, VersionState.CLOSING, 0);
          default ->
              Math.abs(spec.share() - StageController.share(state)) < SHARE_TOLERANCE
                  ? Optional.empty()
                  : DocumentEditor.withVersionState(
                      current.text(),
                      version,
                      VersionState.ROLLING_OUT,
                      StageController.share(state));
        };
    if (newText.isEmpty()) {
      return;
    }
    String submissionId =
        String.join(
            "-",
            OPERATOR,
            version.toString(),
            Long.toString(current.revision()),
            state.status().name(),
            Integer.toString(state.stage()));
    guard.check();
    PublishResult result =
        publisher.publish(current.revision(), submissionId, OPERATOR, newText.get());
    if (result instanceof PublishResult.Conflict conflict) {
      logger.atInfo().log(
          "roll-out of %s: retrying the change after a conflict with revision %d of %s",
          version, conflict.current().revision(), conflict.current().operator());
    }
  }
}
