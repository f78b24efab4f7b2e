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
 * State of one request in the pipeline. Not thread-safe: only one filter uses it at a time, and the
 * handover to the next filter orders the memory accesses.
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
  boolean limiterPermitHeld;
  Optional<ClaimAttempt> claim = Optional.empty();
  Answer answer;
  boolean replyStarted;
  boolean callerDisconnected;
  long firstTokenNanos;
  private final List<BilledAttempt> attempts = new ArrayList<>();

  /**
   * Creates the state of a new request, received at {@code receivedNanos} on the monotonic clock.
   */
  public Exchange(RequestId id, CallerRequest request, ReplySink reply, long receivedNanos) {
    this.id = id;
    this.request = request;
    this.reply = reply;
    this.receivedNanos = receivedNanos;
  }

  public RequestId id() {
    return id;
  }

  public CallerRequest request() {
    return request;
  }

  public ReplySink reply() {
    return reply;
  }

  /** Returns the time at which the request was received, on the monotonic clock. */
  public long receivedNanos() {
    return receivedNanos;
  }

  /** Returns the client account, or null before the caller is authenticated. */
  public ClientAccount account() {
    return account;
  }

  /** Returns the name of the request class, or an empty string before it is determined. */
  public String requestClassName() {
    return requestClass == null ? "" : requestClass.name();
  }

  /** Returns the failure of the request, or empty while it has not failed. */
  public Optional<RequestFailedException> failure() {
    return failure;
  }

  /** Returns the billed attempts in the order in which they ended. */
  public List<BilledAttempt> attempts() {
    return attempts;
  }

  void addAttempt(BilledAttempt attempt) {
    attempts.add(attempt);
  }

  /** Returns the outcome of the failure, or {@link Outcome#RAN} if there is none. */
  public Outcome outcome() {
    return failure.map(RequestFailedException::outcome).orElse(Outcome.RAN);
  }

  /**
   * Returns the time from receipt to the first part of a streamed answer, in nanoseconds; empty if
   * no part was streamed.
   */
  public OptionalLong timeToFirstTokenNanos() {
    return firstTokenNanos == 0
        ? OptionalLong.empty()
        : OptionalLong.of(firstTokenNanos - receivedNanos);
  }

  /** Returns the total price of all attempts, in millionths of the billing unit. */
  public long costMicros() {
    return attempts.stream().mapToLong(BilledAttempt::costMicros).sum();
  }
}
