package org.clementinequay.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.clementinequay.core.dispatch.EventSplitter;
import org.clementinequay.core.forward.AccountKeys;
import org.clementinequay.core.forward.ForwardingConfiguration;
import org.clementinequay.core.forward.Route;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.placement.EngineSelector;
import org.eclipse.jetty.http.HttpFields;

/**
 * Forwards one caller's request: sends it to one upstream after another until one responds, as
 * often as the kind of request, the route and the retry budget allow, and relays the response. A
 * resumable stream that breaks off is resumed on another upstream after the last complete event.
 *
 * <p>All state is guarded by this object's lock. Events come in through {@link #update}, which
 * takes it; methods that do not use {@code update} require that it is held. Upstreams and the
 * caller are called through {@link #openCalls} only: Jetty may handle other requests in the calling
 * thread, which need the locks of their own forwarders.
 */
final class RequestForwarder {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Time past the deadline in which an upstream may still report its timeout, in milliseconds. */
  static final long DEADLINE_GRACE_MILLIS = 100;

  /** Longest time by which a request outlives its deadline. */
  private static final Duration MAX_OVERRUN =
      Duration.ofMillis(DEADLINE_GRACE_MILLIS).plus(RequestWatchdog.INTERVAL);

  private static final String STOPPING = "this host stops";

  /** Value of {@code Retry-After} where other hosts can take the request, in seconds. */
  private static final double RETRY_AT_ONCE_SECONDS = 0;

  /** Minimum remaining time for which an attempt is started, in milliseconds. */
  private static final long MIN_ATTEMPT_MILLIS = 30;

  static final int BAD_GATEWAY = 502;
  static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  final Gateway gateway;
  final GatewayRequest request;
  final Route route;
  private final Optional<AccountKeys> account;
  private final byte[] body;
  final CallerResponse response;
  private final Runnable onFinished;
  private final long receivedNanos;
  private final long deadlineNanos;
  final String service;

  /** Parts of the prompt that other requests may share. */
  final List<String> sharedPartIds;

  final Set<String> triedIds = new HashSet<>();

  /** Upstreams that were given up for silence alone; they may be sound and go on. */
  private final Set<String> silentIds = new HashSet<>();

  final AttemptPlacement placement;
  final EventSplitter events;
  final OpenCalls openCalls = new OpenCalls(this);
  GatewayAttempt current;
  int attempts;

  /** Whether an upstream may have run the request, so that callers must not be told it did not. */
  boolean mayHaveRun;

  /** Whether the head of the response was sent to the caller. */
  boolean committed;

  private long startedNanos;
  long firstEventNanos;
  boolean finished;

  RequestForwarder(
      Gateway gateway,
      GatewayRequest request,
      Route route,
      Optional<AccountKeys> account,
      byte[] body,
      CallerResponse response,
      long receivedNanos,
      Runnable onFinished) {
    this.gateway = gateway;
    this.request = request;
    this.route = route;
    this.account = account;
    this.body = body;
    this.response = response;
    this.receivedNanos = receivedNanos;
    this.onFinished = onFinished;
    long timeoutMillis =
        Math.min(request.deadlineMillis().orElse(Long.MAX_VALUE), route.timeoutMillis());
    this.deadlineNanos = receivedNanos + timeoutMillis * 1_000_000;
    this.service = route.selectService(gateway.random.nextDouble());
    this.sharedPartIds = request.sharedPartIds();
    this.placement = new AttemptPlacement(gateway, request, route, service);
    this.events = new EventSplitter(request.lastEventId().orElse(0));
  }

  /** Changes the state under the lock; an unexpected exception ends this request only. */
  void update(Runnable change) {
    openCalls.update(
        () -> {
          try {
            change.run();
          } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("request %s ends", request.id().orElse(""));
            endAfterException();
          }
        });
  }

  private void endAfterException() {
    if (!finished) {
      abandonCurrent("internal error");
      // What the interrupted change knew is lost, so nothing is said about whether the request ran.
      fail(BAD_GATEWAY, "internal error");
    }
  }

  void start() {
    update(
        () -> {
          if (finished) {
            // The caller disconnected after the watch of its connection began and before this call.
            return;
          }
          startedNanos = gateway.clock.nanoTime();
          gateway.activeRequests.add(this);
          gateway.recordRequest(service);
          startAttempt();
        });
  }

  /** Abandons the current attempt because the caller closed its connection. */
  void callerDisconnected() {
    update(
        () -> {
          if (finished) {
            return;
          }
          log("caller_gone", "attempts", attempts);
          finish(0, "caller left");
          abandonCurrent("the caller left");
          openCalls.addInOrder(() -> response.abort("the caller left"));
        });
  }

  /** Fails the request if its deadline passed more than {@link #DEADLINE_GRACE_MILLIS} ago. */
  void checkDeadline() {
    update(
        () -> {
          if (finished || remainingMillis() > -DEADLINE_GRACE_MILLIS) {
            return;
          }
          boolean running = current != null;
          abandonCurrent("the time limit was reached");
          fail(running || mayHaveRun ? GATEWAY_TIMEOUT : UNAVAILABLE, "time limit");
        });
  }

  /**
   * Ends the request if a part of its prompt is in quarantine, before the upstream that has it in
   * its queue begins the answer.
   */
  void endIfQuarantined() {
    update(
        () -> {
          if (finished || committed) {
            return;
          }
          Optional<Duration> quarantined = gateway.crashGuard.quarantined(service, sharedPartIds);
          if (quarantined.isPresent()) {
            mayHaveRun |= current != null;
            abandonCurrent("a part of the prompt is in quarantine");
            failQuarantined(quarantined.get());
          }
        });
  }

  /** Ends the request because this host ends. */
  void endForStop() {
    update(
        () -> {
          if (!finished) {
            mayHaveRun |= current != null && current.maybeSent;
            refuseForStop();
          }
        });
  }

  /** Ends the request, whose current attempt was not sent, because this host stops. */
  void refuseForStop() {
    abandonCurrent(STOPPING);
    failStopping();
  }

  private void failStopping() {
    fail(mayHaveRun ? BAD_GATEWAY : UNAVAILABLE, STOPPING, RETRY_AT_ONCE_SECONDS);
  }

  /**
   * Returns whether an attempt that begins now can complete the answer before this host ends. An
   * answer that has begun goes on as far as it can.
   */
  private boolean canFinish() {
    Duration limit = Duration.ofMillis(remainingMillis()).plus(MAX_OVERRUN);
    return committed || gateway.canFinish(route, startedNanos, limit);
  }

  /**
   * Returns whether to refuse the request instead of sending it. One that may have run could get no
   * promise, so its next attempt is decided when it is chosen, and not again when it is sent.
   */
  boolean mustRefuseForStop() {
    return !mayHaveRun && !canFinish();
  }

  private void failQuarantined(Duration remaining) {
    fail(
        mayHaveRun ? BAD_GATEWAY : UNAVAILABLE,
        "upstreams crash under a part of the prompt",
        remaining.toMillis() / 1000.0);
  }

  /** Moves the request to another upstream if the current one is stalled. */
  void checkProgress(long nowNanos) {
    update(
        () -> {
          if (!finished && current != null) {
            current.checkProgress(nowNanos);
          }
        });
  }

  void startAttempt() {
    if (finished) {
      return;
    }
    if (response.isDisconnected()) {
      callerDisconnected();
      return;
    }
    long remaining = remainingMillis();
    if (remaining < MIN_ATTEMPT_MILLIS) {
      fail(mayHaveRun ? GATEWAY_TIMEOUT : UNAVAILABLE, "no time is left");
      return;
    }
    if (mustRefuseForStop()) {
      failStopping();
      return;
    }
    Optional<Duration> quarantined = gateway.crashGuard.quarantined(service, sharedPartIds);
    if (quarantined.isPresent()) {
      failQuarantined(quarantined.get());
      return;
    }
    if (placement.exceedsEngineMemory()) {
      fail(mayHaveRun ? BAD_GATEWAY : UNAVAILABLE, "the prompt exceeds the memory of an engine");
      return;
    }
    Optional<AttemptPlacement.Selection> selection = placement.select(triedIds);
    if (selection.isEmpty()) {
      selection = placement.selectAgain(silentIds);
      silentIds.clear();
    }
    if (selection.isEmpty()) {
      fail(mayHaveRun ? BAD_GATEWAY : UNAVAILABLE, "no upstream is available");
      return;
    }
    send(selection.get().instance(), selection.get().choice(), remaining);
  }

  private void send(UpstreamInstance instance, EngineSelector.Choice choice, long remaining) {
    attempts++;
    triedIds.add(instance.id());
    GatewayAttempt attempt = new GatewayAttempt(this, instance, choice);
    current = attempt;
    boolean streaming = route.kind().streaming();
    AttemptMetadata metadata =
        new AttemptMetadata(
            instance.id(),
            remaining,
            account.map(AccountKeys::name),
            placement.model(),
            streaming ? OptionalInt.of(urgency()) : OptionalInt.empty(),
            events.lastId() > 0 ? OptionalLong.of(events.lastId()) : OptionalLong.empty());
    placement.recordStart(choice);
    try {
      attempt.call =
          gateway.sender.newCall(
              new OutboundRequest(
                  instance.address(),
                  request.method(),
                  request.pathQuery(),
                  gateway.protocol.attemptHeaders(request, metadata),
                  body,
                  !route.kind().retryable(),
                  remaining),
              attempt);
    } catch (RuntimeException e) {
      // For instance an address that an upstream cannot have.
      attempt.failed(e, false);
      return;
    }
    log(
        "send",
        "attempt",
        attempts,
        "upstream",
        instance.id(),
        "version",
        instance.version(),
        "model",
        placement.model().orElse(""),
        "wait_ms",
        Math.round(choice.waitMillis()),
        "work_ms",
        Math.round(choice.workMillis()),
        "chosen_by",
        choice.basis().name().toLowerCase(Locale.ROOT),
        "left_ms",
        remaining,
        "list_age_ms",
        gateway.instanceListAgeNanos() / 1_000_000,
        "configuration",
        gateway.configuration().map(ForwardingConfiguration::version).orElse(0L));
    recordSessionVersion(instance);
    openCalls.add(attempt.call::start);
  }

  void recordSessionVersion(UpstreamInstance instance) {
    request
        .session()
        .ifPresent(
            session ->
                gateway.sessions.recordUse(session, instance.version(), gateway.clock.nanoTime()));
  }

  private int urgency() {
    return Math.min(
        9, account.map(AccountKeys::priority).orElse(OptionalInt.empty()).orElse(route.priority()));
  }

  long remainingMillis() {
    return (deadlineNanos - gateway.clock.nanoTime()) / 1_000_000;
  }

  /** Abandons the current attempt, if there is one; this is no failure of its upstream. */
  void abandonCurrent(String reason) {
    if (current != null) {
      GatewayAttempt abandoned = current;
      current = null;
      abandoned.release();
      if (abandoned.slow) {
        abandoned.recordOutcome(false);
      }
      gateway.health.recordAbandoned(abandoned.instance.id());
      abortCall(abandoned, reason);
    }
  }

  /** Closes the connection of an attempt; its listener is not called again. */
  void abortCall(GatewayAttempt attempt, String reason) {
    if (attempt.call == null) {
      // The attempt ended while its call was created.
      return;
    }
    openCalls.add(() -> attempt.call.abort(new IOException(reason)));
  }

  /**
   * Records that an upstream was given up for silence. It is tried again if no other upstream takes
   * the request: silence alone must not end an answer.
   */
  void recordSilent(UpstreamInstance instance) {
    silentIds.add(instance.id());
  }

  /** Records that the upstream of the last attempt did not run the request. */
  void recordRejected() {
    if (!silentIds.isEmpty()) {
      // Otherwise the rejections of full upstreams would use up the attempts of the request.
      attempts--;
    }
  }

  /** Takes a retry from the budget if an upstream that was not tried could continue the request. */
  boolean tryRetryElsewhere() {
    return canAttemptAgain() && placement.hasCandidate(triedIds) && gateway.tryRetry(service);
  }

  /**
   * Returns whether another attempt may be started: the kind of request, the route, the remaining
   * time and the retry budget must allow it. Takes a retry from the budget if one is needed.
   */
  boolean tryRetry(AttemptEnd end) {
    return end.allowsAnother(route.kind())
        && canAttemptAgain()
        && (!end.usesRetryBudget() || gateway.tryRetry(service));
  }

  private boolean canAttemptAgain() {
    return attempts < route.maxAttempts() && remainingMillis() >= MIN_ATTEMPT_MILLIS && canFinish();
  }

  /** Starts another attempt if {@link #tryRetry} allows it; otherwise fails the request. */
  void retryOrFail(AttemptEnd end, String reason) {
    if (tryRetry(end)) {
      startAttempt();
    } else if (!canFinish()) {
      failStopping();
    } else {
      fail(mayHaveRun ? BAD_GATEWAY : UNAVAILABLE, reason);
    }
  }

  void fail(int status, String reason) {
    fail(status, reason, ErrorResponses.DEFAULT_RETRY_AFTER_SECONDS);
  }

  private void fail(int status, String reason, double retryAfterSeconds) {
    log(
        "failed",
        "status",
        committed ? 0 : status,
        "reason",
        reason,
        "attempts",
        attempts,
        "may_have_run",
        mayHaveRun,
        "ms",
        elapsedMillis());
    finish(committed ? 0 : status, reason);
    sendComplete(
        status, ErrorResponses.headers(status, retryAfterSeconds), ErrorResponses.body(reason));
  }

  /** Sends a complete response; one that has begun is broken off instead. */
  void sendComplete(int status, HttpFields headers, byte[] content) {
    if (committed) {
      openCalls.addInOrder(() -> response.abort("the response has begun"));
      return;
    }
    openCalls.addInOrder(() -> response.sendComplete(status, headers, content));
  }

  /** Records that the answer is complete; its last bytes may still be sent. */
  void finishComplete(ResponseHead head) {
    if (head.success() && request.lastEventId().isEmpty()) {
      long nanos = gateway.clock.nanoTime() - startedNanos;
      gateway.durations.record(route.name(), Duration.ofNanos(nanos));
    }
    finish(head.status(), "none");
  }

  void finish(int status, String reason) {
    finished = true;
    gateway.observer.requestFinished(
        account.map(AccountKeys::name).orElse(""),
        route.name(),
        status,
        reason,
        firstEventNanos == 0 ? 0 : firstEventNanos - receivedNanos,
        gateway.clock.nanoTime() - receivedNanos);
    gateway.activeRequests.remove(this);
    onFinished.run();
  }

  long elapsedMillis() {
    return (gateway.clock.nanoTime() - receivedNanos) / 1_000_000;
  }

  /** Logs the state of a request that is open when this host ends. */
  void logUnfinished(long stopNanos) {
    update(
        () ->
            log(
                "unfinished_attempt",
                "attempts",
                attempts,
                "upstream",
                current == null ? "" : current.instance.id(),
                "attempt_ms",
                current == null ? 0 : (current.startedNanos - stopNanos) / 1_000_000,
                "answer_begun",
                committed,
                "may_have_run",
                mayHaveRun));
  }

  void log(String event, Object... fields) {
    Object[] allFields = new Object[fields.length + 4];
    allFields[0] = "request";
    allFields[1] = request.id().orElse("");
    allFields[2] = "route";
    allFields[3] = route.name();
    System.arraycopy(fields, 0, allFields, 4, fields.length);
    gateway.log.record(event, allFields);
  }
}
