package org.clementinequay.core.lease;

import java.time.Duration;
import java.util.Optional;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.platform.RowFields;

/**
 * The row of a lease.
 *
 * @param holder process that holds it; empty once it was released
 * @param fencingNumber rises with every change of holder; orders carry it
 * @param duration validity after each renewal, as the holder counts it
 * @param renewals number of renewals by this holder; makes each renewal's row distinct
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

  /** Returns the row after another process took over. */
  LeaseRecord takenBy(Incarnation taker, Duration newDuration) {
    return new LeaseRecord(Optional.of(taker), fencingNumber + 1, newDuration, 0);
  }

  LeaseRecord renewed(Duration newDuration) {
    return new LeaseRecord(holder, fencingNumber, newDuration, renewals + 1);
  }

  /** Returns the row after a release; it keeps the fencing number for the next holder. */
  LeaseRecord released() {
    return new LeaseRecord(Optional.empty(), fencingNumber, duration, renewals + 1);
  }
}
