package org.clementinequay.core.claim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Records the events of a concurrent run and checks them. Each event is recorded when the host
 * acts: an execution immediately before the request would be sent, an answer immediately before it
 * would reach the caller.
 */
final class ClaimHistory {
  private final List<String> violations = new ArrayList<>();
  private final Map<ClaimKey, ClaimToken> executions = new HashMap<>();
  private final Map<ClaimKey, StoredAnswer> answers = new HashMap<>();
  private final Set<ClaimToken> notRun = new HashSet<>();

  synchronized void executed(ClaimKey key, ClaimToken token) {
    ClaimToken earlier = executions.putIfAbsent(key, token);
    if (earlier != null) {
      violations.add(key + " ran under " + earlier + " and again under " + token);
    }
    if (notRun.contains(token)) {
      violations.add(key + " ran under " + token + " after the answer not-run");
    }
  }

  synchronized void answeredNotRun(ClaimKey key, ClaimToken token) {
    notRun.add(token);
    if (token.equals(executions.get(key))) {
      violations.add(key + " was answered not-run after it ran under " + token);
    }
  }

  synchronized void completed(ClaimKey key, StoredAnswer answer) {
    answers.put(key, answer);
  }

  synchronized void answeredFromStore(ClaimKey key, StoredAnswer answer) {
    if (!answer.equals(answers.get(key))) {
      violations.add(key + " got an answer that is not its own");
    }
  }

  synchronized int executions() {
    return executions.size();
  }

  synchronized List<String> violations() {
    return List.copyOf(violations);
  }
}
