package org.clementinequay.server.upstream;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.Callback;

/** Receives the response of an upstream to one call. The methods are never called concurrently. */
public interface UpstreamListener {
  /**
   * Called when the connection is open, before the first byte of the request is sent. If it returns
   * false, nothing is sent and the call fails.
   */
  default boolean isStillNeeded() {
    return true;
  }

  /**
   * Called when the status line and the headers have arrived.
   *
   * @param headers headers of the response; they stay valid after the method has returned
   */
  void headers(int status, HttpFields headers);

  /** Called with a part of the body; the next part is read after {@code next} succeeded. */
  void content(ByteBuffer bytes, Callback next);

  /**
   * Called when the response ended without a transport failure; the body may still lack its end
   * marker.
   */
  void ended();

  /**
   * Called when the call failed.
   *
   * @param maybeSent whether a byte of the request may have reached the upstream
   */
  void failed(Throwable cause, boolean maybeSent);
}
