package org.clementinequay.server.gateway;

import java.nio.ByteBuffer;
import org.clementinequay.core.ingress.Admission;
import org.clementinequay.core.ingress.IngressHolder;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.Callback;

/** Response to one caller. Used by one thread at a time. */
public interface CallerResponse {
  /**
   * Takes room for a complete response before it is received. May be repeated with the same size.
   *
   * @param holder told when there is room, or that the response must be given up
   */
  Admission takeRoom(long bytes, IngressHolder holder);

  /** Records bytes of a response for which room was taken. */
  void recordReceived(int bytes);

  /** Gives back the room for a response that is not sent, or stops waiting for it. */
  void releaseRoom();

  /** Sends a complete response and ends it; aborts a response whose head was set before. */
  void sendComplete(int status, HttpFields headers, byte[] body);

  /** Sets the head of a response whose body follows in parts. */
  void sendHead(int status, HttpFields headers);

  /** Sends a part of the body; the callback completes when the next part may be sent. */
  void sendPart(ByteBuffer bytes, Callback sent);

  /** Ends a response that was sent in parts. */
  void end();

  /**
   * Returns whether the caller has closed its connection, including a close that is waiting in the
   * socket's receive buffer. Does not block.
   */
  boolean isDisconnected();

  /** Closes the connection, so that the caller detects that the response is incomplete. */
  void abort(String reason);
}
