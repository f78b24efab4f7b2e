package org.clementinequay.server.pipeline;

import java.nio.ByteBuffer;
import java.util.Map;
import org.eclipse.jetty.util.Callback;

/** Receives the response to a caller. The pipeline never makes two calls concurrently. */
public interface ReplySink {
  /** Sets status and headers; must be called before the first write. */
  void begin(int status, Map<String, String> headers);

  /** Writes a part of the body; the callback fails if the caller has disconnected. */
  void write(ByteBuffer bytes, Callback callback);

  /** Writes the last part of the body and ends the response. */
  void end(ByteBuffer bytes);

  /** Closes the connection, so that the caller can tell that the answer is incomplete. */
  void abort(Throwable cause);
}
