package org.clementinequay.core.rollout;

import org.clementinequay.core.platform.RowFields;

/**
 * Progress of a roll-out, as kept in its row; a new holder of the lease needs nothing else.
 *
 * @param status whether the roll-out goes on
 * @param stage index into {@link StageController#SHARES}
 * @param stageStartMillis wall-clock time at which the stage began, in milliseconds
 * @param candidateBefore counts of the candidate when the stage began
 * @param liveBefore counts of the live version when the stage began
 */
public record RolloutState(
    Status status,
    int stage,
    long stageStartMillis,
    VersionCounts candidateBefore,
    VersionCounts liveBefore) {
  /** Returns the state of a roll-out that begins now. */
  public static RolloutState begin(long nowMillis, VersionCounts candidate, VersionCounts live) {
    return new RolloutState(Status.RUNNING, 0, nowMillis, candidate, live);
  }

  /** Parses the value of a row. */
  public static RolloutState parse(String value) {
    RowFields fields = RowFields.parse(value);
    return new RolloutState(
        Status.valueOf(fields.text("status")),
        (int) fields.number("stage"),
        fields.number("stage_start_ms"),
        counts(fields, "candidate_"),
        counts(fields, "live_"));
  }

  /** Returns the value of the row. */
  public String encode() {
    RowFields.Builder builder =
        RowFields.builder()
            .text("status", status.name())
            .number("stage", stage)
            .number("stage_start_ms", stageStartMillis);
    add(builder, "candidate_", candidateBefore);
    add(builder, "live_", liveBefore);
    return builder.encode();
  }

  RolloutState with(Status newStatus) {
    return new RolloutState(newStatus, stage, stageStartMillis, candidateBefore, liveBefore);
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

  /** Whether a roll-out goes on. */
  public enum Status {
    RUNNING,
    /** All stages passed; the holder makes the version live. */
    COMPLETED,
    /** The version was found worse; it takes no new sessions. */
    STOPPED
  }
}
