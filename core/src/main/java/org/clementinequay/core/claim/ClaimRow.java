package org.clementinequay.core.claim;

import java.time.Instant;
import java.util.Optional;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowFields;

/**
 * Content of a claim row.
 *
 * @param token token of the attempt that claimed the key
 * @param bodyHash SHA-256 of the request body in hexadecimal digits
 * @param state progress of the request
 * @param claimedAt wall-clock time of the claimer when it claimed the key
 * @param completedAt wall-clock time of the claimer when it recorded the answer; empty until then
 * @param answer stored answer; empty until the request is completed
 */
record ClaimRow(
    ClaimToken token,
    String bodyHash,
    ClaimState state,
    Instant claimedAt,
    Optional<Instant> completedAt,
    Optional<StoredAnswer> answer) {

  static ClaimRow claimed(ClaimToken token, String bodyHash, Instant now) {
    return new ClaimRow(
        token, bodyHash, ClaimState.CLAIMED, now, Optional.empty(), Optional.empty());
  }

  ClaimRow completed(StoredAnswer newAnswer, Instant now) {
    return new ClaimRow(
        token, bodyHash, ClaimState.COMPLETED, claimedAt, Optional.of(now), Optional.of(newAnswer));
  }

  static ClaimRow decode(Row row) {
    RowFields fields = RowFields.parse(row.value());
    return new ClaimRow(
        ClaimToken.parse(fields.text("token")),
        fields.text("hash"),
        ClaimState.valueOf(fields.text("state")),
        Instant.ofEpochMilli(fields.number("claimed_at")),
        fields.optionalText("completed_at").map(Long::parseLong).map(Instant::ofEpochMilli),
        StoredAnswer.decode(fields));
  }

  /** Decodes a row; empty if its format is unknown to this version of the program. */
  static Optional<ClaimRow> tryDecode(Row row) {
    try {
      return Optional.of(decode(row));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  String encode() {
    RowFields.Builder fields =
        RowFields.builder()
            .text("token", token.toString())
            .text("hash", bodyHash)
            .text("state", state.name())
            .number("claimed_at", claimedAt.toEpochMilli());
    completedAt.ifPresent(at -> fields.number("completed_at", at.toEpochMilli()));
    answer.ifPresent(stored -> stored.encode(fields));
    return fields.encode();
  }
}
