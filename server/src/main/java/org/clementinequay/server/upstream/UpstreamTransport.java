package org.clementinequay.server.upstream;

import org.clementinequay.core.AttemptId;
import org.clementinequay.core.config.Upstream;

/** Creates calls that send attempts to upstreams; {@link Call#start} sends them. */
public interface UpstreamTransport {
  /** Returns a call that runs a chat completion on an engine. */
  Call createChatCall(
      Upstream upstream,
      AttemptId attempt,
      int priority,
      byte[] body,
      long timeoutMillis,
      UpstreamListener listener);

  /** Returns a call that asks an engine for the events of an attempt from a sequence number on. */
  Call createResumeCall(
      Upstream upstream,
      AttemptId attempt,
      long fromSequence,
      long timeoutMillis,
      UpstreamListener listener);

  /** Returns a call of a route on a plain service. */
  Call createRouteCall(
      Upstream upstream,
      String route,
      AttemptId attempt,
      byte[] body,
      long timeoutMillis,
      UpstreamListener listener);

  /** Asks an engine to stop an attempt. Does not wait for the response, and ignores a failure. */
  void cancel(Upstream upstream, AttemptId attempt);

  /** One call to an upstream. */
  interface Call {
    /**
     * Sends the request. The listener may be called before this method returns, so the caller must
     * have stored the call by then.
     */
    void start();

    /** Aborts the call and closes its connection; the listener is not called again. */
    void abort(Throwable cause);
  }
}
