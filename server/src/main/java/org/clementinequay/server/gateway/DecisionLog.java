package org.clementinequay.server.gateway;

/** Records decisions for the on-call engineer. Must never block. */
public interface DecisionLog {
  /**
   * Records a decision.
   *
   * @param event short name of the decision
   * @param fields alternating names and values
   */
  void record(String event, Object... fields);
}
