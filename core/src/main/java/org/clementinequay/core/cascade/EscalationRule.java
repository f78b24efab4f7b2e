package org.clementinequay.core.cascade;

/**
 * Decides whether the answer of a smaller model is kept or a larger model is asked. It is designed
 * for a failure domain that is cut off with few engines: a larger model takes ten times the engine
 * time of the smallest one, so escalating every answer of low confidence multiplies the work
 * exactly when the engines are saturated, and nearly all first events come too late. The threshold
 * on the confidence therefore falls linearly as the expected time of the larger model's first event
 * approaches the objective; if that event would be late, the larger model is not asked. The wait
 * just measured for the smaller answer is the estimate of the next wait, since it includes the work
 * that all hosts have sent to the engines.
 */
public final class EscalationRule {
  /**
   * Confidence, 0 to 100, below which an answer is escalated while engines are free: the middle of
   * the scale, because the models document no other reference value.
   */
  static final int BASE_THRESHOLD = 50;

  /** Fraction of the objective up to which the base threshold applies in full. */
  static final double FULL_THRESHOLD_FRACTION = 0.25;

  private EscalationRule() {}

  /**
   * State of a request when the head of the smaller model's answer has arrived.
   *
   * @param objectiveMillis time in which the first event should reach the caller; 0 if none is set
   * @param elapsedMillis time since the request arrived
   * @param waitMillis time that the smaller answer took beyond the reading of its prompt; a
   *     negative value counts as 0
   * @param readMillis estimated time for the larger model to read the prompt
   */
  public record Progress(
      long objectiveMillis, long elapsedMillis, double waitMillis, double readMillis) {}

  /**
   * Returns the confidence, 0 to 100, below which a larger model is asked; 0 if it is never asked.
   */
  public static double confidenceThreshold(Progress progress) {
    if (progress.objectiveMillis() <= 0) {
      return BASE_THRESHOLD;
    }
    double expectedMillis =
        progress.elapsedMillis() + Math.max(0, progress.waitMillis()) + progress.readMillis();
    double fraction = expectedMillis / progress.objectiveMillis();
    double factor = (1 - fraction) / (1 - FULL_THRESHOLD_FRACTION);
    return BASE_THRESHOLD * Math.min(1, Math.max(0, factor));
  }
}
