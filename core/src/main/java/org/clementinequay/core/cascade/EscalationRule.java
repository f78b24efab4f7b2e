package org.clementinequay.core.cascade;

/**
 * Decides whether the answer of a smaller model is kept or a larger model is asked. Answers the
 * load pattern of a failure domain that is cut off with few engines: a larger model takes ten times
 * the engine time of the smallest one, so that asking it for every unsure answer multiplies the
 * work exactly when the engines are full, and nearly all first events come too late. The confidence
 * that is asked for falls linearly with the time that the larger model's first event would come at,
 * relative to the objective; an answer that would be late is not asked for. The wait just seen for
 * the smaller answer stands for the wait to come, as it includes the work of all hosts.
 */
public final class EscalationRule {
  /**
   * Confidence, 0 to 100, below which an answer is dropped while engines are free: the middle of
   * the scale, as the models state no other reference.
   */
  static final int CONFIDENCE_AT_EASE = 50;

  /** Part of the objective up to which the full confidence is asked for. */
  static final double EASE_PART = 0.25;

  private EscalationRule() {}

  /**
   * State of a request when the head of the smaller model's answer has arrived.
   *
   * @param objectiveMillis time in which the first event should reach the caller; 0 if none is set
   * @param elapsedMillis time since the request arrived
   * @param waitMillis time that the smaller answer took beyond reading its prompt
   * @param readMillis estimated time for the larger model to read the prompt
   */
  public record Progress(
      long objectiveMillis, long elapsedMillis, double waitMillis, double readMillis) {}

  /** Returns the confidence below which a larger model is asked; 0 if it is not asked at all. */
  public static double confidenceThreshold(Progress progress) {
    if (progress.objectiveMillis() <= 0) {
      return CONFIDENCE_AT_EASE;
    }
    double expected =
        progress.elapsedMillis() + Math.max(0, progress.waitMillis()) + progress.readMillis();
    double part = expected / progress.objectiveMillis();
    double room = (1 - part) / (1 - EASE_PART);
    return CONFIDENCE_AT_EASE * Math.min(1, Math.max(0, room));
  }
}
