package org.clementinequay.server.gateway;

import java.util.Set;
import org.clementinequay.core.forward.RequestKind;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;

/** Judges heads of responses by the request that they claim to answer. Stateless. */
final class AnswerJudge {
  static final int OK = 200;
  private static final int SERVER_ERROR = 500;
  private static final int LAST_STATUS = 599;

  /**
   * Statuses from which callers conclude that the request has not run. They are not passed on
   * unless the upstream stated so explicitly.
   */
  private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 429, 503);

  private final GatewayRequest request;
  private final RequestKind kind;

  /** What a whole response that is no stream means for the request. */
  enum Verdict {
    /** The upstream did not run the request. */
    REJECTED,
    /** The upstream ran the request and failed. */
    FAILED,
    /** The response is the answer. */
    ANSWER
  }

  AnswerJudge(GatewayRequest request, RequestKind kind) {
    this.request = request;
    this.kind = kind;
  }

  /**
   * Returns whether a response belongs to this request: a success must repeat the id of the request
   * and have the upstream's authentication code.
   */
  boolean isOwn(ResponseHead response) {
    if (response.requestId().isEmpty()) {
      return !response.success();
    }
    return response.requestId().equals(request.id()) && (response.sealed() || !response.success());
  }

  /** Returns whether HTTP defines a class for the status of a final response. */
  static boolean hasFinalStatus(ResponseHead response) {
    return response.status() >= OK && response.status() <= LAST_STATUS;
  }

  /** Returns whether a success has an encoding; callers request none. */
  static boolean isEncoded(ResponseHead response, HttpFields headers) {
    return response.success() && headers.contains(HttpHeader.CONTENT_ENCODING);
  }

  /** Returns whether a response is a stream of events; a stream that has begun takes only 200. */
  boolean isStream(ResponseHead response, boolean begun) {
    return kind.streaming() && (begun ? response.status() == OK : response.success());
  }

  /**
   * Returns whether a refusal on a connection that had other requests before lacks the id of the
   * request. A faulty upstream may have repeated an earlier refusal there, and run this request.
   */
  boolean isUnidentifiedRefusal(ResponseHead response) {
    return (response.misdirected() || response.notRun())
        && response.requestId().isEmpty()
        && kind.retryable();
  }

  /**
   * Judges a whole response that is no stream.
   *
   * @param begun whether the caller has the beginning of a stream, and can take only its rest
   */
  Verdict judge(ResponseHead response, boolean begun) {
    if (response.misdirected() || response.notRun()) {
      return Verdict.REJECTED;
    }
    return begun || response.status() >= SERVER_ERROR || promisesNotRun(response.status())
        ? Verdict.FAILED
        : Verdict.ANSWER;
  }

  /** Returns whether callers conclude from a status that the request has not run. */
  static boolean promisesNotRun(int status) {
    return NOT_RUN_STATUSES.contains(status);
  }
}
