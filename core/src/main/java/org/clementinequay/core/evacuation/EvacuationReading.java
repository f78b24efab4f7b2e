package org.clementinequay.core.evacuation;

import java.util.List;

/**
 * What a reading of the store says about evacuations.
 *
 * @param ordered failure domains for which there is an order in the reading
 * @param takenBack failure domains whose order was removed since the reading before
 * @param complete whether the reading holds all orders, so that missing ones were taken back
 */
public record EvacuationReading(List<String> ordered, List<String> takenBack, boolean complete) {
  /** Reading without a change. */
  public static final EvacuationReading UNCHANGED =
      new EvacuationReading(List.of(), List.of(), false);

  /** Stores unmodifiable copies of the lists. */
  public EvacuationReading {
    ordered = List.copyOf(ordered);
    takenBack = List.copyOf(takenBack);
  }
}
