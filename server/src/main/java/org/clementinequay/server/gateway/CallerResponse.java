package org.clementinequay.server.gateway;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.Callback;

/** Answer to one caller. Used by one thread at a time. */
public interface CallerResponse {
  /** Sends a whole answer. */
  void sendComplete(int status, HttpFields headers, byte[] body);

  /** Sends the head of an answer whose body follows. */
  void sendHead(int status, HttpFields headers);

  /** Sends a part of the body; the callback is told when the next part may follow. */
  void sendPart(ByteBuffer bytes, Callback sent);

  /** Ends the body. */
  void end();

  /** Closes the connection so that the answer cannot look complete. */
  void abort(String reason);
}
