package org.clementinequay.server.console;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

/** A signed-in operator in one browser. */
final class ConsoleSession {
  private final String operator;
  private final String csrfToken;
  private final long startNanos;
  private Optional<Draft> draft = Optional.empty();

  ConsoleSession(String operator, String csrfToken, long startNanos) {
    this.operator = operator;
    this.csrfToken = csrfToken;
    this.startNanos = startNanos;
  }

  String operator() {
    return operator;
  }

  /** Returns the token that every form of this session carries. */
  String csrfToken() {
    return csrfToken;
  }

  /** Returns whether a form carries this session's token. */
  boolean hasToken(String token) {
    return token != null
        && MessageDigest.isEqual(
            token.getBytes(StandardCharsets.UTF_8), csrfToken.getBytes(StandardCharsets.UTF_8));
  }

  long startNanos() {
    return startNanos;
  }

  synchronized Optional<Draft> draft() {
    return draft;
  }

  synchronized void keep(Draft newDraft) {
    draft = Optional.of(newDraft);
  }

  synchronized void dropDraft() {
    draft = Optional.empty();
  }
}
