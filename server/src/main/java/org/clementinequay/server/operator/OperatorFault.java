package org.clementinequay.server.operator;

import java.util.Locale;
import org.clementinequay.core.RouterException;

/** Signals that an operator's request failed, with the error code and message for the response. */
final class OperatorFault extends RouterException {
  private static final long serialVersionUID = 1L;

  /** Error codes of the operators' API with their HTTP status. */
  enum Kind {
    MALFORMED_REQUEST(400),
    UNAUTHENTICATED(401),
    OPERATOR_MISMATCH(403),
    NOT_FOUND(404),
    METHOD_NOT_ALLOWED(405),
    LOST_RACE(409),
    BODY_TOO_LARGE(413),
    UNSUPPORTED_MEDIA_TYPE(415),
    INVALID_CONFIGURATION(422),
    INTERNAL(500),
    PLATFORM_UNAVAILABLE(503),
    LOGINS_BUSY(503),
    ANSWER_LOST(504);

    private final int status;

    Kind(int status) {
      this.status = status;
    }

    int status() {
      return status;
    }

    String code() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private final Kind kind;

  OperatorFault(Kind kind, String message) {
    super(message, null);
    this.kind = kind;
  }

  Kind kind() {
    return kind;
  }
}
