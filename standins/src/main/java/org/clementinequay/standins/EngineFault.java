package org.clementinequay.standins;

/** Faults that a stand-in engine can inject into its streams. */
public enum EngineFault {
  /** No fault. */
  NONE,
  /** Responds with status 500 instead of a stream. */
  ERROR,
  /** Stops sending mid-stream and keeps the connection open. */
  STALL,
  /** Ends the response mid-stream, without the end marker. */
  CUT,
  /** Inserts an event with the id of another attempt. */
  CROSS,
  /** Sends an event twice. */
  DUPLICATE
}
