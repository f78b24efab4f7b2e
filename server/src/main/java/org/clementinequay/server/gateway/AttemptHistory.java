package org.clementinequay.server.gateway;

import java.util.HashSet;
import java.util.Set;

/** The attempts of one request so far, and what they allow to tell its caller. */
final class AttemptHistory {
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

  private boolean mayHaveRun;

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

  void recordMayHaveRun() {
    mayHaveRun = true;
  }

  void recordStart(String upstreamId) {
    lastCounted = !rejected.remove(upstreamId);
    if (lastCounted) {
      count++;
    }
    tried.add(upstreamId);
  }

  /** Takes back the last attempt, which no upstream received. */
  void recordNotSent() {
    if (lastCounted) {
      count--;
      lastCounted = false;
    }
  }

  /** Records that the upstream of the last attempt did not run the request. */
  void recordRejected(String upstreamId) {
    if (silent.isEmpty()) {
      rejected.add(upstreamId);
    } else {
      // Otherwise the rejections of full upstreams would use up the attempts of the request.
      recordNotSent();
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
