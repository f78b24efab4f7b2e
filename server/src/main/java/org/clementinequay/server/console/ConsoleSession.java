package org.clementinequay.server.console;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;

/** Session of an operator who is signed in with one browser. */
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

  /** Returns the token that every form of this session contains, against forged requests. */
  String csrfToken() {
    return csrfToken;
  }

  /** Returns whether a form token is that of this session; compares in constant time. */
  boolean matchesCsrfToken(String token) {
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

  synchronized void setDraft(Draft newDraft) {
    draft = Optional.of(newDraft);
  }

  synchronized void discardDraft() {
    draft = Optional.empty();
  }
}
