package org.clementinequay.bench.policy;

/**
 * Shape of a deployment. Array position is the engine's number; engine {@code i} is in domain
 * {@code i % 3}.
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
  final double clientMillis;
  final double domainMillis;

  Deployment(
      String label,
      double[] millisPerToken,
      int[] slots,
      double clientMillis,
      double domainMillis) {
    this.label = label;
    this.millisPerToken = millisPerToken;
    this.slots = slots;
    this.clientMillis = clientMillis;
    this.domainMillis = domainMillis;
  }
}
