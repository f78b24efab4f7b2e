package org.clementinequay.standins;

/** Faults that a stand-in engine can inject into its next streams. */
public enum EngineFault {
  /** Works. */
  NONE,
  /** Answers 500 before the stream. */
  ERROR,
  /** Stops sending in the middle and keeps the connection open. */
  STALL,
  /** Ends the response in the middle without the end marker. */
  CUT,
  /** Mixes events of another attempt into the stream. */
  CROSS,
  /** Sends an event twice. */
  DUPLICATE
}
