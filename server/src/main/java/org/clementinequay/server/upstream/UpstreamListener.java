package org.clementinequay.server.upstream;

import java.nio.ByteBuffer;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.Callback;

/** Receives the answer of an upstream to one call. Calls are serialised. */
public interface UpstreamListener {
  /**
   * The status line and headers arrived.
   *
   * @param headers headers of the response; they outlive the call
   */
  void headers(int status, HttpFields headers);

  /** A part of the body arrived; the next one is read after {@code next} succeeded. */
  void content(ByteBuffer bytes, Callback next);

  /** The response ended without a transport failure; the body may still lack its end marker. */
  void ended();

  /**
   * The call failed.
   *
   * @param offered whether a byte of the request may have reached the upstream
   */
  void failed(Throwable cause, boolean offered);
}
