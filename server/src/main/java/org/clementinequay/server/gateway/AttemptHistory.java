package org.clementinequay.server.gateway;

import java.util.HashSet;
import java.util.Set;
import org.clementinequay.core.forward.RequestKind;

/**
 * The attempts of one request so far, whether they allow another one, and what they allow to tell
 * its caller.
 */
final class AttemptHistory {
  private final RequestKind kind;
  private final Set<String> tried = new HashSet<>();

  /** Upstreams that were given up for silence alone; they may be sound and go on. */
  private final Set<String> silent = new HashSet<>();

  /** Upstreams that rejected the request; they may be offered it again without a new attempt. */
  private final Set<String> rejected = new HashSet<>();

  private int count;

  /**
   * Whether the last attempt counts; one at an upstream that rejected the request before does not.
   */
  private boolean lastCounted;

  /** Whether an attempt was started and its end was not recorded yet. */
  private boolean running;

  private boolean mayHaveRun;
  private boolean lastUsesRetryBudget;

  AttemptHistory(RequestKind kind) {
    this.kind = kind;
  }

  /** Returns the number of attempts that count towards the limit of the route. */
  int count() {
    return count;
  }

  /** Returns the upstreams to which the request was sent. */
  Set<String> tried() {
    return tried;
  }

  /** Returns whether an upstream may have run the request, so that no caller is told otherwise. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /**
   * Returns whether the request may be sent again. One that runs at most once may not while an
   * attempt is running, whatever becomes of its answer, or after one that may have run it.
   */
  boolean allowsAnother() {
    return kind.retryable() || !(running || mayHaveRun);
  }

  /** Returns whether another attempt must be taken from the retry budget. */
  boolean nextUsesRetryBudget() {
    return running || lastUsesRetryBudget;
  }

  /**
   * Records that an attempt starts.
   *
   * @throws IllegalStateException if {@link #allowsAnother} is false
   */
  void recordStart(String upstreamId) {
    if (!allowsAnother()) {
      throw new IllegalStateException("the request runs at most once and was sent before");
    }
    running = true;
    lastCounted = !rejected.remove(upstreamId);
    if (lastCounted) {
      count++;
    }
    tried.add(upstreamId);
  }

  private void recordEnd(AttemptEnd end) {
    running = false;
    mayHaveRun |= end.mayHaveRun();
    lastUsesRetryBudget = end.usesRetryBudget();
  }

  /** Records that the upstream of the last attempt has run the request or may run it. */
  void recordMayHaveRun() {
    recordEnd(AttemptEnd.MAY_HAVE_RUN);
  }

  /** Records that no upstream received the last attempt, which does not count then. */
  void recordNotSent() {
    recordEnd(AttemptEnd.NOT_SENT);
    takeBackLast();
  }

  /**
   * Records that another process than the listed upstream received and rejected the last attempt,
   * which does not count then.
   */
  void recordMisdirected() {
    recordEnd(AttemptEnd.REJECTED);
    takeBackLast();
  }

  private void takeBackLast() {
    if (lastCounted) {
      count--;
      lastCounted = false;
    }
  }

  /** Records that the upstream of the last attempt stated that it did not run the request. */
  void recordRejected(String upstreamId) {
    recordEnd(AttemptEnd.REJECTED);
    if (silent.isEmpty()) {
      rejected.add(upstreamId);
    } else {
      // Otherwise the rejections of full upstreams would use up the attempts of the request.
      takeBackLast();
    }
  }

  /** Returns the upstreams that rejected the request and were not offered it again. */
  Set<String> rejected() {
    return rejected;
  }

  /**
   * Records that an upstream was given up for silence. It is tried again if no other upstream takes
   * the request: silence alone must not end an answer.
   */
  void recordSilent(String upstreamId) {
    silent.add(upstreamId);
  }

  /** Returns the silent upstreams and forgets them. */
  Set<String> takeSilent() {
    Set<String> taken = Set.copyOf(silent);
    silent.clear();
    return taken;
  }

  /** Allows all upstreams again, for instance with another model. */
  void forgetTried() {
    tried.clear();
    rejected.clear();
  }

  /** Returns the status of a failure: 503 promises that the request has not run. */
  int failureStatus() {
    return mayHaveRun ? ErrorResponses.BAD_GATEWAY : ErrorResponses.UNAVAILABLE;
  }

  /** Returns the status if the time of the caller is over. */
  int timeoutStatus() {
    return mayHaveRun ? ErrorResponses.GATEWAY_TIMEOUT : ErrorResponses.UNAVAILABLE;
  }
}
