package org.clementinequay.server.upstream;

import org.clementinequay.core.AttemptId;
import org.clementinequay.core.config.Upstream;

/** Sends attempts to upstreams. Calls are created first and started later. */
public interface UpstreamTransport {
  /** Returns a call that runs a chat completion on an engine. */
  Call complete(
      Upstream upstream,
      AttemptId attempt,
      int priority,
      byte[] body,
      long timeoutMillis,
      UpstreamListener listener);

  /** Returns a call that asks an engine for the rest of an attempt's stream. */
  Call resume(
      Upstream upstream,
      AttemptId attempt,
      long fromSequence,
      long timeoutMillis,
      UpstreamListener listener);

  /** Returns a call to a plain service. */
  Call call(
      Upstream upstream,
      String route,
      AttemptId attempt,
      byte[] body,
      long timeoutMillis,
      UpstreamListener listener);

  /** Tells an engine to stop an attempt; the answer does not matter. */
  void cancel(Upstream upstream, AttemptId attempt);

  /** One call to an upstream. */
  interface Call {
    /**
     * Sends the request. The listener may be called before this method returns, so the caller must
     * have stored the call by then.
     */
    void start();

    /** Gives the call up and closes its connection; the listener is not called again. */
    void abort(Throwable cause);
  }
}
