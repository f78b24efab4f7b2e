package org.clementinequay.core.rollout;

import org.clementinequay.core.platform.RowFields;

/**
 * Progress of a roll-out, as stored in its row of the table service. A new holder of the roll-out's
 * lease can resume from the row alone.
 *
 * @param status whether the roll-out is running or how it ended
 * @param stage index into {@link StageController#SHARES}
 * @param stageStartMillis wall-clock time at which the stage began, in milliseconds
 * @param candidateAtStageStart counts of the candidate when the stage began
 * @param liveAtStageStart counts of the live version when the stage began
 */
public record RolloutState(
    Status status,
    int stage,
    long stageStartMillis,
    VersionCounts candidateAtStageStart,
    VersionCounts liveAtStageStart) {
  /** Returns the state at the start of the first stage. */
  public static RolloutState begin(long nowMillis, VersionCounts candidate, VersionCounts live) {
    return new RolloutState(Status.RUNNING, 0, nowMillis, candidate, live);
  }

  /** Parses the value of a row as written by {@link #encode}. */
  public static RolloutState parse(String value) {
    RowFields fields = RowFields.parse(value);
    return new RolloutState(
        Status.valueOf(fields.text("status")),
        (int) fields.number("stage"),
        fields.number("stage_start_ms"),
        counts(fields, "candidate_"),
        counts(fields, "live_"));
  }

  /** Returns the value to store in the row; {@link #parse} reads it. */
  public String encode() {
    RowFields.Builder builder =
        RowFields.builder()
            .text("status", status.name())
            .number("stage", stage)
            .number("stage_start_ms", stageStartMillis);
    add(builder, "candidate_", candidateAtStageStart);
    add(builder, "live_", liveAtStageStart);
    return builder.encode();
  }

  RolloutState withStatus(Status newStatus) {
    return new RolloutState(
        newStatus, stage, stageStartMillis, candidateAtStageStart, liveAtStageStart);
  }

  private static void add(RowFields.Builder builder, String prefix, VersionCounts counts) {
    builder
        .number(prefix + "answers", counts.answers())
        .number(prefix + "errors", counts.errors())
        .number(prefix + "rated", counts.rated())
        .number(prefix + "bad", counts.bad());
  }

  private static VersionCounts counts(RowFields fields, String prefix) {
    return new VersionCounts(
        fields.number(prefix + "answers"),
        fields.number(prefix + "errors"),
        fields.number(prefix + "rated"),
        fields.number(prefix + "bad"));
  }

  /** Whether a roll-out is running or how it ended. */
  public enum Status {
    RUNNING,
    /** All stages passed; the holder of the lease makes the version live. */
    COMPLETED,
    /** The version is worse than the live one; it gets no new sessions. */
    STOPPED
  }
}
