package org.clementinequay.server.gateway;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
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

  final Gateway gateway;
  final GatewayRequest request;
  final Route route;
  private final Optional<AccountKeys> account;
  private final byte[] body;
  final CallerResponse response;
  private final Runnable onFinished;
  final RequestClock times;
  final String service;

  /** Parts of the prompt that other requests may share. */
  final List<String> sharedPartIds;

  final AttemptHistory history;
  final AdmissionStep admission;
  final WaitStep waiting;
  final AttemptPlacement placement;
  final AnswerRoom answerRoom = new AnswerRoom(this);
  private final AccountShareStep accountShare;
  final EventSplitter events;
  final OpenCalls openCalls = new OpenCalls(this);
  GatewayAttempt current;

  /** Whether the head of the response was sent to the caller. */
  boolean committed;

  private long startedNanos;
  private long firstEventNanos;
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
    this.history = new AttemptHistory(route.kind());
    this.account = account;
    this.body = body;
    this.response = response;
    this.onFinished = onFinished;
    long timeoutMillis =
        Math.min(request.deadlineMillis().orElse(Long.MAX_VALUE), route.timeoutMillis());
    this.times = new RequestClock(gateway.clock, receivedNanos, timeoutMillis);
    this.service = route.selectService(gateway.random.nextDouble());
    this.sharedPartIds = request.sharedPartIds();
    this.placement = new AttemptPlacement(gateway, request, route, account, service);
    this.accountShare = new AccountShareStep(this, account.map(AccountKeys::name));
    this.admission = new AdmissionStep(this);
    this.waiting = new WaitStep(this);
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
      fail(ErrorResponses.BAD_GATEWAY, "internal error");
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
          accountShare.recordRequest();
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
          log("caller_gone", "attempts", history.count());
          finish(0, "caller left");
          abandonCurrent("the caller left");
          openCalls.addInOrder(() -> response.abort("the caller left"));
        });
  }

  /** Fails the request if its deadline passed more than {@link #DEADLINE_GRACE_MILLIS} ago. */
  void checkDeadline() {
    update(
        () -> {
          if (finished || !times.isOverdue()) {
            return;
          }
          boolean running = current != null;
          abandonCurrent("the time limit was reached");
          fail(running ? ErrorResponses.GATEWAY_TIMEOUT : history.timeoutStatus(), "time limit");
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
          Optional<Duration> quarantined = admission.quarantined();
          if (quarantined.isPresent()) {
            if (current != null) {
              history.recordMayHaveRun();
            }
            abandonCurrent("a part of the prompt is in quarantine");
            reject(admission.quarantineRejection(quarantined.get()));
          }
        });
  }

  /** Ends the request because this host ends. */
  void endForStop() {
    update(
        () -> {
          if (!finished) {
            if (current != null && current.maybeSent) {
              history.recordMayHaveRun();
            }
            refuseForStop();
          }
        });
  }

  /** Ends the request, whose current attempt was not sent, because this host stops. */
  void refuseForStop() {
    abandonCurrent(AdmissionStep.STOPPING);
    reject(admission.stopRejection());
  }

  void reject(AdmissionStep.Rejection rejection) {
    fail(rejection.status(), rejection.reason(), rejection.retryAfterSeconds());
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

  /** Lets the request, which waits, start if there is room. */
  void checkRoom() {
    update(
        () -> {
          if (!finished && current == null) {
            waiting.checkRoom();
          }
        });
  }

  /** Ends the request, which waits, because others that come first take its place. */
  void yieldRoom() {
    update(
        () -> {
          if (!finished && current == null) {
            waiting.yieldPlace();
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
    Optional<AdmissionStep.Rejection> rejection = admission.rejection();
    if (rejection.isPresent()) {
      reject(rejection.get());
      return;
    }
    Optional<AttemptPlacement.Selection> selection = placement.select(waiting.excluded());
    if (selection.isEmpty()) {
      selection = placement.selectAgain(history.takeSilent());
    }
    if (selection.isEmpty() && waiting.waitsForFirstOffer()) {
      return;
    }
    if (selection.isEmpty()) {
      fail(history.failureStatus(), "no upstream is available");
      return;
    }
    send(selection.get().instance(), selection.get().choice());
  }

  void send(UpstreamInstance instance, EngineSelector.Choice choice) {
    long remaining = times.remainingMillis();
    answerRoom.release();
    history.recordStart(instance.id());
    gateway.fullUpstreams.recordOffer(instance.id(), gateway.clock.nanoTime());
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
    logSend(instance, choice, remaining);
    recordSessionVersion(instance);
    openCalls.add(attempt.call::start);
  }

  private void logSend(UpstreamInstance instance, EngineSelector.Choice choice, long remaining) {
    log(
        "send",
        "attempt",
        history.count(),
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
        "lane",
        placement.lane().name().toLowerCase(Locale.ROOT),
        "left_ms",
        remaining,
        "list_age_ms",
        gateway.instanceListAgeNanos() / 1_000_000,
        "configuration",
        gateway.configuration().map(ForwardingConfiguration::version).orElse(0L));
  }

  void recordSessionVersion(UpstreamInstance instance) {
    request
        .session()
        .ifPresent(
            session ->
                gateway.sessions.recordUse(session, instance.version(), gateway.clock.nanoTime()));
  }

  /**
   * Returns the rank of the request, which its account or else its route sets; 0 is first. Beyond
   * the share of its account it comes last.
   */
  int urgency() {
    int priority =
        account.map(AccountKeys::priority).orElse(OptionalInt.empty()).orElse(route.priority());
    return accountShare.urgency(Math.min(AccountShareStep.LOWEST_URGENCY, priority));
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

  /** Takes a retry from the budget if an upstream that was not tried could continue the request. */
  boolean tryRetryElsewhere() {
    return canAttemptAgain()
        && placement.hasCandidate(history.tried())
        && gateway.tryRetry(service);
  }

  /**
   * Returns whether another attempt may be started after the last one, or in place of one that is
   * running. Takes a retry from the budget if one is needed.
   */
  boolean tryRetry() {
    return canAttemptAgain() && (!history.nextUsesRetryBudget() || gateway.tryRetry(service));
  }

  /**
   * Returns whether the earlier attempts, the route, the remaining time and a stop allow another
   * attempt.
   */
  boolean canAttemptAgain() {
    return history.allowsAnother()
        && history.count() < route.maxAttempts()
        && times.allowsAttempt()
        && admission.canFinish();
  }

  /** Starts another attempt if {@link #tryRetry} allows it; otherwise fails the request. */
  void retryOrFail(String reason) {
    if (tryRetry()) {
      startAttempt();
    } else if (!admission.canFinish()) {
      reject(admission.stopRejection());
    } else {
      fail(history.failureStatus(), reason);
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
        history.count(),
        "may_have_run",
        history.mayHaveRun(),
        "ms",
        times.elapsedMillis());
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
    accountShare.recordServed();
    if (head.success() && request.lastEventId().isEmpty()) {
      long nanos = gateway.clock.nanoTime() - startedNanos;
      gateway.durations.record(route.name(), Duration.ofNanos(nanos));
    }
    finish(head.status(), "none");
  }

  /** Sends the head of a stream to the caller, who can take only the rest of this answer then. */
  void commit(ResponseHead head, long eventNanos, String upstreamId) {
    committed = true;
    accountShare.recordServed();
    firstEventNanos = eventNanos;
    log(
        "first_event",
        "upstream",
        upstreamId,
        "model",
        placement.model().orElse(""),
        "confidence",
        head.confidence().orElse(-1),
        "ms",
        times.elapsedMillis());
    openCalls.addInOrder(() -> response.sendHead(head.status(), head.returned()));
  }

  long startedNanos() {
    return startedNanos;
  }

  void finish(int status, String reason) {
    finished = true;
    answerRoom.dropWaiting();
    gateway.observer.requestFinished(
        account.map(AccountKeys::name).orElse(""),
        route.name(),
        status,
        reason,
        firstEventNanos == 0 ? 0 : times.elapsedNanosAt(firstEventNanos),
        times.elapsedNanos());
    gateway.activeRequests.remove(this);
    gateway.waiting.remove(this);
    onFinished.run();
  }

  /** Logs the state of a request that is open when this host ends. */
  void logUnfinished(long stopNanos) {
    update(
        () ->
            log(
                "unfinished_attempt",
                "attempts",
                history.count(),
                "upstream",
                current == null ? "" : current.instance.id(),
                "attempt_ms",
                current == null ? 0 : (current.startedNanos - stopNanos) / 1_000_000,
                "answer_begun",
                committed,
                "may_have_run",
                history.mayHaveRun()));
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
