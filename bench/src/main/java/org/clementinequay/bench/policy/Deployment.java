package org.clementinequay.bench.policy;

/**
 * Engines and network delays of a simulated deployment. The array index is the number of the
 * engine; engine {@code i} is in failure domain {@code i % 3}.
 */
enum Deployment {
  PNW("pnw", new double[] {8, 10, 12, 16, 24, 32}, new int[] {16, 16, 12, 8, 8, 4}, 4, 5),
  WA_SOUTH(
      "wa-south",
      new double[] {8, 10, 10, 12, 16, 16, 24, 32},
      new int[] {16, 16, 12, 12, 8, 8, 8, 4},
      25,
      0.5);

  static final int DOMAINS = 3;
  static final double[] HOST_SIZES = {4, 4, 2, 2, 2, 1, 1};

  final String label;
  final double[] millisPerToken;
  final int[] slots;
  final double clientRoundTripMillis;
  final double domainRoundTripMillis;

  Deployment(
      String label,
      double[] millisPerToken,
      int[] slots,
      double clientRoundTripMillis,
      double domainRoundTripMillis) {
    this.label = label;
    this.millisPerToken = millisPerToken;
    this.slots = slots;
    this.clientRoundTripMillis = clientRoundTripMillis;
    this.domainRoundTripMillis = domainRoundTripMillis;
  }
}
