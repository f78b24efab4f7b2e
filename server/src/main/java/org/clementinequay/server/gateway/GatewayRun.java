package org.clementinequay.server.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.clementinequay.core.dispatch.CorruptStreamException;
import org.clementinequay.core.dispatch.EventSplitter;
import org.clementinequay.core.forward.AccountKeys;
import org.clementinequay.core.forward.Route;
import org.clementinequay.core.forward.UpstreamInstance;
import org.clementinequay.core.placement.EngineLedger;
import org.clementinequay.server.upstream.UpstreamListener;
import org.clementinequay.server.upstream.UpstreamTransport;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.util.Callback;

/**
 * Runs one caller's request: sends it to upstreams one after the other until one answers, as often
 * as its kind, its route and the retry budget allow, and relays the answer. A stream that breaks
 * off goes on at another upstream after the last whole event. All state is guarded by this object.
 */
final class GatewayRun {
  /** Time past the limit that an upstream has to report the end by itself, in milliseconds. */
  private static final long LIMIT_GRACE_MILLIS = 120;

  /** Time that is too short for another attempt, in milliseconds. */
  private static final long SHORTEST_ATTEMPT_MILLIS = 30;

  /** Largest body of an answer that is not a stream, in bytes. */
  private static final int MAX_ANSWER_BYTES = 8 << 20;

  /** Longest silence of a stream, in milliseconds; longer ones were taken for a dead connection. */
  private static final long STREAM_SILENCE_MILLIS = 5000;

  /** Confidence, 0 to 100, below which the answer of a smaller model is dropped. */
  private static final int ACCEPTED_CONFIDENCE = 50;

  /** Events from which the pace of a stream is measured. */
  private static final int EVENTS_FOR_PACE = 4;

  private static final int BAD_GATEWAY = 502;
  private static final int UNAVAILABLE = 503;
  private static final int GATEWAY_TIMEOUT = 504;
  private static final int SERVER_ERROR = 500;

  private final Gateway gateway;
  private final GatewayRequest request;
  private final Route route;
  private final Optional<AccountKeys> account;
  private final byte[] body;
  private final CallerReply reply;
  private final Runnable ended;
  private final long receivedNanos;
  private final long limitNanos;
  private final String service;
  private final Set<String> tried = new HashSet<>();
  private final AttemptPlacement placement;
  private final EventSplitter events;
  private Attempt current;
  private int attempts;
  private boolean mayHaveRun;
  private boolean committed;
  private boolean settled;

  GatewayRun(
      Gateway gateway,
      GatewayRequest request,
      Route route,
      Optional<AccountKeys> account,
      byte[] body,
      CallerReply reply,
      long receivedNanos,
      Runnable ended) {
    this.gateway = gateway;
    this.request = request;
    this.route = route;
    this.account = account;
    this.body = body;
    this.reply = reply;
    this.receivedNanos = receivedNanos;
    this.ended = ended;
    long millis = Math.min(request.deadlineMillis().orElse(Long.MAX_VALUE), route.timeoutMillis());
    this.limitNanos = receivedNanos + millis * 1_000_000;
    this.service = route.service(gateway.random.nextDouble());
    this.placement = new AttemptPlacement(gateway, request, route, service);
    this.events = new EventSplitter(request.lastEventId().orElse(0));
  }

  synchronized void start() {
    gateway.budget(service).recordRequest();
    long millis = Math.max(0, remainingMillis()) + LIMIT_GRACE_MILLIS;
    gateway.schedule(Duration.ofMillis(millis), this::limitReached);
    attempt();
  }

  /** The caller closed its connection. */
  synchronized void callerGone() {
    if (settled) {
      return;
    }
    log("caller_gone", "attempts", attempts);
    settle();
    abandonCurrent("the caller left");
    reply.abort("the caller left");
  }

  private synchronized void limitReached() {
    if (settled) {
      return;
    }
    boolean running = current != null;
    abandonCurrent("the time limit was reached");
    fail(running || mayHaveRun ? GATEWAY_TIMEOUT : UNAVAILABLE, "time limit");
  }

  private void attempt() {
    if (settled) {
      return;
    }
    long remaining = remainingMillis();
    if (remaining < SHORTEST_ATTEMPT_MILLIS) {
      fail(mayHaveRun ? GATEWAY_TIMEOUT : UNAVAILABLE, "no time is left");
      return;
    }
    Optional<AttemptPlacement.Placed> placed = placement.place(tried);
    if (placed.isEmpty()) {
      fail(mayHaveRun ? BAD_GATEWAY : UNAVAILABLE, "no upstream is available");
      return;
    }
    send(placed.get().instance(), placed.get().choice(), remaining);
  }

  private void send(UpstreamInstance instance, EngineLedger.Choice choice, long remaining) {
    attempts++;
    tried.add(instance.id());
    Attempt attempt = new Attempt(instance, choice);
    current = attempt;
    boolean streaming = route.kind().streaming();
    AttemptHead head =
        new AttemptHead(
            instance.id(),
            remaining,
            account.map(AccountKeys::name),
            placement.model(),
            streaming ? OptionalInt.of(urgency()) : OptionalInt.empty(),
            events.lastId() > 0 ? OptionalLong.of(events.lastId()) : OptionalLong.empty());
    attempt.call =
        gateway.sender.call(
            instance.address(),
            request.method(),
            request.pathQuery(),
            gateway.protocol.attemptHeaders(request, head),
            body,
            !route.kind().repeatable(),
            streaming ? Math.min(remaining, STREAM_SILENCE_MILLIS) : remaining,
            attempt);
    gateway.engines.started(instance.id(), choice.workMillis(), placement.sharedPart());
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
        "left_ms",
        remaining);
    rememberVersion(instance);
    attempt.call.start();
  }

  private void rememberVersion(UpstreamInstance instance) {
    request
        .session()
        .ifPresent(
            session ->
                gateway.sessions.used(session, instance.version(), gateway.clock.nanoTime()));
  }

  private int urgency() {
    return Math.min(
        9, account.map(AccountKeys::priority).orElse(OptionalInt.empty()).orElse(route.priority()));
  }

  private long remainingMillis() {
    return (limitNanos - gateway.clock.nanoTime()) / 1_000_000;
  }

  private void abandonCurrent(String why) {
    if (current != null) {
      Attempt attempt = current;
      current = null;
      attempt.release();
      if (attempt.slow) {
        attempt.observe(false);
      }
      gateway.health.abandoned(attempt.instance.id());
      attempt.call.abandon(new java.io.IOException(why));
    }
  }

  /** Tries another upstream if kind, route, budget and time allow it; otherwise fails. */
  private void again(boolean afterRun, String why) {
    boolean allowed =
        (!afterRun || route.kind().repeatable())
            && attempts < route.maxAttempts()
            && remainingMillis() >= SHORTEST_ATTEMPT_MILLIS;
    if (allowed && gateway.budget(service).tryRetry()) {
      attempt();
      return;
    }
    fail(mayHaveRun ? BAD_GATEWAY : UNAVAILABLE, why);
  }

  private void fail(int status, String why) {
    log(
        "failed",
        "status",
        committed ? 0 : status,
        "reason",
        why,
        "attempts",
        attempts,
        "may_have_run",
        mayHaveRun,
        "ms",
        elapsedMillis());
    settle();
    if (committed) {
      reply.abort(why);
      return;
    }
    reply.whole(status, Refusals.headers(status, Refusals.DEFAULT_RETRY_SECONDS), text(why));
  }

  private static byte[] text(String why) {
    return (why + "\n").getBytes(StandardCharsets.UTF_8);
  }

  private void settle() {
    settled = true;
    ended.run();
  }

  private long elapsedMillis() {
    return (gateway.clock.nanoTime() - receivedNanos) / 1_000_000;
  }

  private void log(String event, Object... fields) {
    Object[] all = new Object[fields.length + 4];
    all[0] = "request";
    all[1] = request.id().orElse("");
    all[2] = "route";
    all[3] = route.name();
    System.arraycopy(fields, 0, all, 4, fields.length);
    gateway.log.record(event, all);
  }

  /** One send to one upstream. */
  private final class Attempt implements UpstreamListener {
    private final UpstreamInstance instance;
    private final EngineLedger.Choice choice;
    private final long sentNanos = gateway.clock.nanoTime();
    private final ByteArrayOutputStream collected = new ByteArrayOutputStream();
    private UpstreamTransport.Call call;
    private AnswerHead head;
    private long firstEventNanos;
    private long firstEventId;
    private boolean released;
    private boolean slow;

    private Attempt(UpstreamInstance instance, EngineLedger.Choice choice) {
      this.instance = instance;
      this.choice = choice;
    }

    private void release() {
      if (!released) {
        released = true;
        if (relaying()) {
          learnPace();
        }
        gateway.engines.finished(instance.id(), choice.workMillis());
      }
    }

    private boolean active() {
      return !settled && current == this;
    }

    private boolean relaying() {
      return head != null && head.success() && route.kind().streaming();
    }

    @Override
    public void headers(int status, HttpFields headers) {
      synchronized (GatewayRun.this) {
        if (!active()) {
          return;
        }
        AnswerHead answer = gateway.protocol.decodeAnswer(status, headers);
        boolean foreign =
            answer.requestId().isPresent()
                ? !answer.requestId().equals(request.id())
                : answer.success();
        if (foreign) {
          drop("answer to another request");
          return;
        }
        head = answer;
        if (relaying() && tooUnsure(answer)) {
          log(
              "larger_model",
              "confidence",
              answer.confidence().orElse(-1),
              "model",
              placement.model().orElse(""));
          placement.useLargestModel();
          tried.clear();
          abandonCurrent("a larger model is asked");
          attempt();
        }
      }
    }

    private boolean tooUnsure(AnswerHead answer) {
      return !committed
          && answer.confidence().orElse(100) < ACCEPTED_CONFIDENCE
          && placement.hasLargerModel()
          && attempts < route.maxAttempts()
          && gateway.budget(service).tryRetry();
    }

    /** Closes the connection and goes on as after a failure. */
    private void drop(String why) {
      call.abandon(new java.io.IOException(why));
      broken(why, true);
    }

    @Override
    public void content(ByteBuffer bytes, Callback next) {
      synchronized (GatewayRun.this) {
        if (!active() || head == null) {
          bytes.position(bytes.limit());
          next.succeeded();
          return;
        }
        if (!relaying()) {
          collect(bytes, next);
          return;
        }
        try {
          byte[] whole = events.feed(bytes);
          if (whole.length == 0) {
            next.succeeded();
            return;
          }
          relay(whole, next);
        } catch (CorruptStreamException e) {
          next.succeeded();
          drop(e.getMessage());
        }
      }
    }

    private void collect(ByteBuffer bytes, Callback next) {
      byte[] part = new byte[bytes.remaining()];
      bytes.get(part);
      if (collected.size() + part.length <= MAX_ANSWER_BYTES) {
        collected.writeBytes(part);
      }
      next.succeeded();
    }

    private void relay(byte[] whole, Callback next) {
      if (firstEventNanos == 0) {
        firstEventNanos = gateway.clock.nanoTime();
        firstEventId = events.lastId();
      }
      if (!committed) {
        committed = true;
        log(
            "first_event",
            "upstream",
            instance.id(),
            "model",
            placement.model().orElse(""),
            "confidence",
            head.confidence().orElse(-1),
            "ms",
            elapsedMillis());
        reply.head(head.status(), head.returned());
      }
      reply.part(
          ByteBuffer.wrap(whole),
          Callback.from(
              next::succeeded,
              failure -> {
                next.succeeded();
                callerGone();
              }));
    }

    @Override
    public void ended() {
      synchronized (GatewayRun.this) {
        if (!active()) {
          return;
        }
        if (head == null) {
          broken("no answer", true);
        } else if (relaying()) {
          streamEnded();
        } else {
          answerEnded();
        }
      }
    }

    private void streamEnded() {
      if (events.partial() || !committed) {
        broken("the stream ended inside an event", true);
        return;
      }
      succeeded();
      settle();
      log("done", "upstream", instance.id(), "events", events.lastId(), "ms", elapsedMillis());
      reply.end();
    }

    private void answerEnded() {
      boolean mislaid = head.misdirected() || head.notRun();
      if (mislaid) {
        rejected();
      } else if (head.success()) {
        succeeded();
        settle();
        log("done", "upstream", instance.id(), "status", head.status(), "ms", elapsedMillis());
        reply.whole(head.status(), head.returned(), collected.toByteArray());
      } else if (head.status() >= SERVER_ERROR) {
        serverFailed();
      } else {
        succeeded();
        settle();
        log("done", "upstream", instance.id(), "status", head.status(), "ms", elapsedMillis());
        reply.whole(head.status(), head.returned(), collected.toByteArray());
      }
    }

    private void rejected() {
      current = null;
      release();
      gateway.health.abandoned(instance.id());
      log("rejected", "upstream", instance.id(), "status", head.status());
      again(false, "the upstreams are full");
    }

    private void serverFailed() {
      current = null;
      release();
      mayHaveRun = true;
      gateway.health.succeeded(instance.id());
      observe(true);
      placement.failed(instance);
      log("upstream_failed", "upstream", instance.id(), "status", head.status());
      boolean more =
          route.kind().repeatable()
              && !committed
              && attempts < route.maxAttempts()
              && remainingMillis() >= SHORTEST_ATTEMPT_MILLIS
              && gateway.budget(service).tryRetry();
      if (more) {
        attempt();
        return;
      }
      if (committed) {
        fail(BAD_GATEWAY, "the upstream failed");
        return;
      }
      settle();
      if (head.status() == UNAVAILABLE) {
        // Without the statement that it has not run, 503 would be a promise that may not hold.
        reply.whole(BAD_GATEWAY, Refusals.headers(BAD_GATEWAY, 0), text("the upstream failed"));
      } else {
        reply.whole(head.status(), head.returned(), collected.toByteArray());
      }
    }

    private void succeeded() {
      current = null;
      release();
      mayHaveRun = true;
      rememberVersion(instance);
      gateway.health.succeeded(instance.id());
      observe(false);
    }

    /** Learns how fast the engine is, also from a stream that was broken off. */
    private void learnPace() {
      long generated = events.lastId() - firstEventId;
      long nanos = gateway.clock.nanoTime() - firstEventNanos;
      if (firstEventNanos == 0 || generated <= EVENTS_FOR_PACE) {
        return;
      }
      double pace = nanos / 1e6 / (generated * placement.tokensPerEvent()) / placement.weight();
      gateway.engines.paced(instance.id(), pace);
      slow = gateway.slowAnswers.slow(service, pace, !ofTarget());
    }

    private boolean ofTarget() {
      return gateway
          .shift(service)
          .map(shift -> shift.order().target().equals(instance.version()))
          .orElse(false);
    }

    private void observe(boolean failure) {
      if (!route.kind().streaming() && !failure) {
        double millis = (gateway.clock.nanoTime() - sentNanos) / 1e6;
        slow = gateway.slowAnswers.slow(route.name(), millis, !ofTarget());
      }
      gateway
          .shift(service)
          .ifPresent(
              shift ->
                  shift.answered(
                      gateway.hostName, route.name(), instance.version(), failure, slow));
    }

    @Override
    public void failed(Throwable cause, boolean offered) {
      synchronized (GatewayRun.this) {
        if (!active()) {
          return;
        }
        broken(Failures.summary(cause), offered);
      }
    }

    private void broken(String why, boolean offered) {
      current = null;
      release();
      mayHaveRun |= offered;
      if (!offered) {
        attempts--;
      }
      boolean ejected = gateway.health.failed(instance.id());
      if (offered) {
        observe(true);
        placement.failed(instance);
      }
      log(
          "broken",
          "upstream",
          instance.id(),
          "reason",
          why,
          "offered",
          offered,
          "ejected",
          ejected,
          "age_ms",
          (gateway.clock.nanoTime() - sentNanos) / 1_000_000);
      events.discardPartial();
      again(offered, "the upstream did not answer whole");
    }
  }
}
