package org.clementinequay.server.gateway;

/** Log of routing decisions for the on-call engineer. Implementations must never block. */
public interface DecisionLog {
  /**
   * Records a decision.
   *
   * @param event short name of the kind of decision
   * @param fields alternating names and values
   */
  void record(String event, Object... fields);
}
