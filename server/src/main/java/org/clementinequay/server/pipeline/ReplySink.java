package org.clementinequay.server.pipeline;

import java.nio.ByteBuffer;
import java.util.Map;
import org.eclipse.jetty.util.Callback;

/** Where the answer to a caller goes. Calls are serialised by the pipeline. */
public interface ReplySink {
  /** Sets status and headers; must come before the first write. */
  void begin(int status, Map<String, String> headers);

  /** Writes a part of the body; the callback fails if the caller is gone. */
  void write(ByteBuffer bytes, Callback callback);

  /** Writes the last part of the body and ends the exchange. */
  void end(ByteBuffer bytes);

  /** Closes the connection so that the caller sees an incomplete answer. */
  void abort(Throwable cause);
}
