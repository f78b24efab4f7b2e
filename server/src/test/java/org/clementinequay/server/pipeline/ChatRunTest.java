package org.clementinequay.server.pipeline;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.Outcome;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.RequestFailedException;
import org.clementinequay.core.RequestId;
import org.clementinequay.core.cascade.LearnedRates;
import org.clementinequay.core.config.ClientAccount;
import org.clementinequay.core.config.Model;
import org.clementinequay.core.config.RequestClass;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.core.config.UpstreamKind;
import org.clementinequay.core.config.VersionSpec;
import org.clementinequay.core.config.VersionState;
import org.clementinequay.core.dispatch.UpstreamHealthTracker;
import org.clementinequay.core.placement.TwoChoicesPolicy;
import org.clementinequay.core.placement.UpstreamTracker;
import org.clementinequay.core.session.SessionKey;
import org.clementinequay.core.session.SessionTokens;
import org.clementinequay.core.time.ManualClock;
import org.clementinequay.server.pipeline.ScriptedTransport.Behaviour;
import org.eclipse.jetty.util.Callback;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ChatRun} with a transport that answers before the start of a call has returned. */
public final class ChatRunTest {
  private static final ModelVersion VERSION = ModelVersion.parse("label-large@v1");

  private static final class NoObserver implements VersionObserver {
    @Override
    public void attemptEnded(ModelVersion version, boolean failed) {}

    @Override
    public void answerRated(ModelVersion version, boolean good) {}
  }

  /** Runs one chat completion; records what it writes to the caller and how it ends. */
  private static final class Fixture implements ReplySink, Filter.Next, ConfigurationSource {
    private final ManualClock clock = new ManualClock(Instant.EPOCH);
    private final ScriptedTransport transport = new ScriptedTransport();
    private final StringBuilder written = new StringBuilder();
    private VersionState state = VersionState.LIVE;
    private int proceedCalls;
    private RequestFailedException failure;
    private Exchange exchange;

    private Fixture run(Behaviour... script) {
      transport.script.addAll(List.of(script));
      exchange = new Exchange(requestId(), request(), this, clock.nanoTime());
      exchange.account = account();
      exchange.requestClass = new RequestClass("sheet", 0, 10_000, 0.9);
      exchange.deadlineNanos = Duration.ofSeconds(10).toNanos();
      exchange.plan = List.of(new PlanStep(VERSION, false, 0));
      SessionTokens tokens = new SessionTokens(List.of(new SessionKey("k", new byte[32])));
      RatingQueue ratings = new RatingQueue((version, name, prompt, answer) -> 1, 0);
      CascadeLearning learning =
          new CascadeLearning(
              new LearnedRates(exchange.id().incarnation()),
              ratings,
              new SplittableRandom(6),
              clock,
              new NoObserver());
      Dispatcher dispatcher =
          Dispatcher.builder()
              .clock(clock)
              .configuration(this)
              .health(new UpstreamHealthTracker(clock))
              .tracker(new UpstreamTracker())
              .transport(transport)
              .ratingQueue(ratings)
              .learning(learning)
              .placement(new TwoChoicesPolicy(new SplittableRandom(5)))
              .build();
      new ChatRun(dispatcher, exchange, new ResponseWriter(tokens, clock), this).start();
      return this;
    }

    private static RequestId requestId() {
      return RequestId.parse("0123456789abcdef0123456789abcdef-1");
    }

    private static ClientAccount account() {
      return ClientAccount.builder("growers").models("label-large").build();
    }

    private static CallerRequest request() {
      ObjectNode chat = new ObjectMapper().createObjectNode().put("stream", true);
      chat.putArray("messages").addObject().put("content", "x");
      return new CallerRequest(
          CallerRequest.Kind.CHAT,
          "",
          "label-large",
          "sheet",
          Optional.empty(),
          Optional.empty(),
          OptionalLong.empty(),
          true,
          chat,
          new byte[40]);
    }

    @Override
    public Optional<ActiveConfiguration> current() {
      VersionSpec spec = new VersionSpec("v1", state, 0, 1, 1);
      RouterConfiguration document =
          RouterConfiguration.builder()
              .models(List.of(new Model("label-large", List.of(spec))))
              .accounts(List.of(account()))
              .upstreams(List.of(engine("e1"), engine("e2"), engine("e3")))
              .build();
      return Optional.of(new ActiveConfiguration(new RevisionedConfiguration(1, "", "", document)));
    }

    private static Upstream engine(String name) {
      return new Upstream(
          name, UpstreamKind.ENGINE, "127.0.0.1:1", "a", List.of(VERSION.toString()), 4, true);
    }

    @Override
    public boolean usable(ModelVersion version) {
      return true;
    }

    @Override
    public void begin(int status, Map<String, String> headers) {}

    @Override
    public void write(ByteBuffer bytes, Callback callback) {
      written.append(StandardCharsets.UTF_8.decode(bytes));
      callback.succeeded();
    }

    @Override
    public void end(ByteBuffer bytes) {}

    @Override
    public void abort(Throwable cause) {}

    @Override
    public void proceed() {
      proceedCalls++;
    }

    @Override
    public void fail(RequestFailedException cause) {
      failure = cause;
    }
  }

  /** How requests end. */
  public static final class Ends {
    private Fixture fixture;

    @BeforeMethod
    public void createFixture() {
      fixture = new Fixture();
    }

    /**
     * Guards against a request that is never answered: an engine once failed before the start of
     * its call had returned, when the run had not yet stored the call that it had to abort.
     */
    @Test
    public void answersWhenAnUpstreamFailsBeforeStartReturns() {
      fixture.run(Behaviour.STATUS_500, Behaviour.COMPLETE);
      assertEquals(fixture.proceedCalls, 1);
      assertEquals(fixture.exchange.attempts().size(), 2);
    }

    /** Guards against reporting not-run although a byte of the request may have been sent. */
    @Test
    public void isUnknownOnceTheRequestMayHaveBeenSent() {
      fixture.run(Behaviour.NOT_CONNECTED, Behaviour.FAILED_AFTER_SEND, Behaviour.NOT_CONNECTED);
      assertEquals(fixture.failure.outcome(), Outcome.UNKNOWN);
    }

    /** Guards against reporting unknown although no byte of the request can have been sent. */
    @Test
    public void isNotRunWhileNoUpstreamWasReached() {
      fixture.run(Behaviour.NOT_CONNECTED, Behaviour.NOT_CONNECTED, Behaviour.NOT_CONNECTED);
      assertEquals(fixture.failure.outcome(), Outcome.NOT_RUN);
      assertTrue(fixture.exchange.attempts().isEmpty());
    }

    /** Guards against dispatching to a version that was withdrawn after the plan was made. */
    @Test
    public void refusesAVersionWithdrawnBeforeTheDispatch() {
      fixture.state = VersionState.WITHDRAWN;
      fixture.run();
      assertEquals(fixture.failure.reason(), RefusalReason.NO_LIVE_VERSION);
      assertEquals(fixture.failure.outcome(), Outcome.NOT_RUN);
      assertTrue(fixture.transport.sent.isEmpty());
    }
  }

  /** Streams that are interrupted after a part was sent to the caller. */
  public static final class Resumptions {
    /**
     * Guards against a retry on another upstream, which would repeat tokens the caller already has.
     */
    @Test
    public void resumesWhereTheStreamWasInterrupted() {
      Fixture fixture = new Fixture().run(Behaviour.CUT_AFTER_ONE_EVENT, Behaviour.COMPLETE);
      assertEquals(fixture.proceedCalls, 1);
      assertTrue(fixture.transport.sent.get(1).startsWith("resume"), "" + fixture.transport.sent);
      assertTrue(fixture.transport.sent.get(1).endsWith("from 1"), "" + fixture.transport.sent);
      assertEquals(fixture.written.toString().split("\"n\":0").length, 2);
      assertEquals(fixture.exchange.attempts().size(), 1);
    }

    /** Guards against presenting an interrupted stream as complete. */
    @Test
    public void failsWithUnknownWhenItCannotResume() {
      Fixture fixture =
          new Fixture()
              .run(
                  Behaviour.CUT_AFTER_ONE_EVENT,
                  Behaviour.FAILED_AFTER_SEND,
                  Behaviour.FAILED_AFTER_SEND);
      assertEquals(fixture.proceedCalls, 0);
      assertEquals(fixture.failure.reason(), RefusalReason.ANSWER_INCOMPLETE);
      assertEquals(fixture.failure.outcome(), Outcome.UNKNOWN);
      assertEquals(fixture.transport.cancelled.size(), 1);
    }
  }
}
