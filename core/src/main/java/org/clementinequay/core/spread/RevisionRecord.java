package org.clementinequay.core.spread;

import java.time.Instant;
import java.util.Objects;
import org.clementinequay.core.platform.RowFields;

/**
 * An accepted revision of the configuration, as stored in the head row and in its own row.
 *
 * @param revision number of the revision, from 1
 * @param hash hexadecimal SHA-256 of the document's text
 * @param operator name of the operator who submitted it
 * @param submissionId id chosen by the submitter; a repeated submission has the same id
 * @param baseRevision revision that the operator edited, or 0 if there was none
 * @param acceptedAt time of acceptance by the wall clock of the accepting entry host, in whole
 *     milliseconds
 */
public record RevisionRecord(
    long revision,
    String hash,
    String operator,
    String submissionId,
    long baseRevision,
    Instant acceptedAt) {
  /** Truncates the time to milliseconds, the precision of the stored form. */
  public RevisionRecord {
    Objects.requireNonNull(hash);
    Objects.requireNonNull(operator);
    Objects.requireNonNull(submissionId);
    acceptedAt = Instant.ofEpochMilli(acceptedAt.toEpochMilli());
  }

  /**
   * Parses a row value produced by {@link #encode()}.
   *
   * @throws IllegalArgumentException if a field is missing or malformed
   */
  public static RevisionRecord parse(String value) {
    RowFields fields = RowFields.parse(value);
    return new RevisionRecord(
        fields.number("revision"),
        fields.text("hash"),
        fields.text("operator"),
        fields.text("submission_id"),
        fields.number("base_revision"),
        Instant.ofEpochMilli(fields.number("accepted_at_ms")));
  }

  /** Returns the value of the row, in the form of {@link RowFields}. */
  public String encode() {
    return RowFields.builder()
        .number("revision", revision)
        .text("hash", hash)
        .text("operator", operator)
        .text("submission_id", submissionId)
        .number("base_revision", baseRevision)
        .number("accepted_at_ms", acceptedAt.toEpochMilli())
        .encode();
  }
}
