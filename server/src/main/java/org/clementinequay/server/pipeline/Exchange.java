package org.clementinequay.server.pipeline;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.clementinequay.core.Outcome;
import org.clementinequay.core.RequestFailedException;
import org.clementinequay.core.RequestId;
import org.clementinequay.core.billing.BilledAttempt;
import org.clementinequay.core.claim.ClaimAttempt;
import org.clementinequay.core.config.ClientAccount;
import org.clementinequay.core.config.RequestClass;
import org.clementinequay.core.config.Route;
import org.clementinequay.core.session.SessionBinding;

/**
 * State of one request on its way through the pipeline. One filter works on it at a time; the hand
 * over between filters orders the memory accesses.
 */
public final class Exchange {
  private final RequestId id;
  private final CallerRequest request;
  private final ReplySink reply;
  private final long receivedNanos;

  ClientAccount account;
  RequestClass requestClass;
  Route route;
  long deadlineNanos;
  Optional<SessionBinding> session = Optional.empty();
  List<PlanStep> plan = List.of();
  Optional<RequestFailedException> failure = Optional.empty();
  boolean limitHeld;
  Optional<ClaimAttempt> claim = Optional.empty();
  Answer answer;
  boolean replyStarted;
  boolean callerGone;
  long firstTokenNanos;
  private final List<BilledAttempt> attempts = new ArrayList<>();

  /** Creates the state of a new request. */
  public Exchange(RequestId id, CallerRequest request, ReplySink reply, long receivedNanos) {
    this.id = id;
    this.request = request;
    this.reply = reply;
    this.receivedNanos = receivedNanos;
  }

  /** Returns the id of the request. */
  public RequestId id() {
    return id;
  }

  /** Returns what the caller sent. */
  public CallerRequest request() {
    return request;
  }

  /** Returns where the answer goes. */
  public ReplySink reply() {
    return reply;
  }

  /** Returns when the request was received, on the monotonic clock. */
  public long receivedNanos() {
    return receivedNanos;
  }

  /** Returns the client account, or null before it is known. */
  public ClientAccount account() {
    return account;
  }

  /** Returns the name of the request class, or an empty string before it is known. */
  public String requestClassName() {
    return requestClass == null ? "" : requestClass.name();
  }

  /** Returns why the request failed, if it did. */
  public Optional<RequestFailedException> failure() {
    return failure;
  }

  /** Returns the finished attempts in order. */
  public List<BilledAttempt> attempts() {
    return attempts;
  }

  void addAttempt(BilledAttempt attempt) {
    attempts.add(attempt);
  }

  /** Returns what is known about the execution of the request. */
  public Outcome outcome() {
    return failure.map(RequestFailedException::outcome).orElse(Outcome.RAN);
  }

  /** Returns the time from receipt to the first part of a streamed answer, in nanoseconds. */
  public OptionalLong timeToFirstTokenNanos() {
    return firstTokenNanos == 0
        ? OptionalLong.empty()
        : OptionalLong.of(firstTokenNanos - receivedNanos);
  }

  /** Returns the price of all attempts, in millionths of the billing unit. */
  public long costMicros() {
    return attempts.stream().mapToLong(BilledAttempt::costMicros).sum();
  }
}
