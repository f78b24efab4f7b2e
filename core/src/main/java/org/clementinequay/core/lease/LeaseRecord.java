package org.clementinequay.core.lease;

import java.time.Duration;
import java.util.Optional;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.platform.RowFields;

/**
 * Content of the row of a lease.
 *
 * @param holder process that holds the lease; empty after a release
 * @param fencingNumber number that rises with each change of holder and that orders carry
 * @param duration validity after each renewal, measured by the holder
 * @param renewals number of renewals by this holder, which makes each renewal's row distinct
 */
record LeaseRecord(
    Optional<Incarnation> holder, long fencingNumber, Duration duration, long renewals) {

  static LeaseRecord parse(String value) {
    RowFields fields = RowFields.parse(value);
    return new LeaseRecord(
        fields.optionalText("holder").map(Incarnation::new),
        fields.number("fencing"),
        Duration.ofMillis(fields.number("duration_ms")),
        fields.number("renewals"));
  }

  String encode() {
    RowFields.Builder builder =
        RowFields.builder()
            .number("fencing", fencingNumber)
            .number("duration_ms", duration.toMillis())
            .number("renewals", renewals);
    holder.ifPresent(incarnation -> builder.text("holder", incarnation.id()));
    return builder.encode();
  }

  boolean isHeldBy(Incarnation incarnation) {
    return holder.isPresent() && holder.get().equals(incarnation);
  }

  /** Returns the row after a take-over by another process, with the next fencing number. */
  LeaseRecord takenBy(Incarnation newHolder, Duration newDuration) {
    return new LeaseRecord(Optional.of(newHolder), fencingNumber + 1, newDuration, 0);
  }

  LeaseRecord renewed(Duration newDuration) {
    return new LeaseRecord(holder, fencingNumber, newDuration, renewals + 1);
  }

  /** Returns the row after a release; it keeps the fencing number for the next holder. */
  LeaseRecord released() {
    return new LeaseRecord(Optional.empty(), fencingNumber, duration, renewals + 1);
  }
}
