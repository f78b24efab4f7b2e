package org.clementinequay.core;

import java.util.Locale;

/** Reason why a request was refused or failed, with the HTTP status sent to the caller. */
public enum RefusalReason {
  UNAUTHENTICATED(401),
  MALFORMED_REQUEST(400),
  UNSUPPORTED_MEDIA_TYPE(415),
  BODY_TOO_LARGE(413),
  UNKNOWN_MODEL(404),
  UNKNOWN_ROUTE(404),
  MODEL_NOT_ALLOWED(403),
  ROUTE_NOT_ALLOWED(403),
  INVALID_SESSION(400),
  SESSION_VERSION_WITHDRAWN(410),
  NO_LIVE_VERSION(503),
  NO_UPSTREAM(503),
  LIMIT_EXCEEDED(429),
  OVERLOADED(503),
  DEADLINE_EXCEEDED(504),
  IDEMPOTENCY_KEY_REUSED(422),
  REQUEST_IN_PROGRESS(409),
  CLAIM_UNCONFIRMED(503),
  UPSTREAM_FAILED(502),
  ANSWER_INCOMPLETE(502),
  SHUTTING_DOWN(503),
  NOT_READY(503);

  private final int httpStatus;

  RefusalReason(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the machine-readable code in error bodies, which is the name in lower case. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
