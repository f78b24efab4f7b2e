package org.clementinequay.server.entry;

import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.dispatch.UpstreamTable;
import org.clementinequay.core.limit.AccountLimiter;
import org.clementinequay.core.placement.TwoChoicesPolicy;
import org.clementinequay.core.placement.UpstreamTracker;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.session.SessionTokens;
import org.clementinequay.core.spread.ConfigurationPublisher;
import org.clementinequay.core.spread.RevisionRecord;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.core.time.SystemClock;
import org.clementinequay.server.caller.CallerHandler;
import org.clementinequay.server.pipeline.ActiveConfiguration;
import org.clementinequay.server.pipeline.AdmitFilter;
import org.clementinequay.server.pipeline.ChatReply;
import org.clementinequay.server.pipeline.Dispatcher;
import org.clementinequay.server.pipeline.Pipeline;
import org.clementinequay.server.pipeline.PlanFilter;
import org.clementinequay.server.pipeline.RatingQueue;
import org.clementinequay.server.pipeline.ReplyFilter;
import org.clementinequay.server.pipeline.RunFilter;
import org.clementinequay.server.pipeline.SessionFilter;
import org.clementinequay.server.platform.HttpObjectStore;
import org.clementinequay.server.platform.HttpRatingService;
import org.clementinequay.server.platform.HttpTableService;
import org.clementinequay.server.upstream.UpstreamClient;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.server.Server;

/** One entry host: wires the parts together, starts and stops them. */
public final class EntryHost implements AutoCloseable {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int CALLER_THREADS = 64;
  private static final int CLIENT_THREADS = 64;
  private static final int RATING_THREADS = 4;
  private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(1);
  private static final Duration DRAIN_POLL = Duration.ofMillis(20);

  private final EntryHostOptions options;
  private final RuntimeClock clock = new SystemClock();
  private final Incarnation incarnation = Incarnation.random(new SecureRandom());
  private final ConfigurationState configuration = new ConfigurationState(clock);
  private final HttpClient upstreamHttp;
  private final HttpClient platformHttp;
  private final RatingQueue ratings;
  private final CallerHandler callerHandler;
  private final Server callers;
  private final ConfigurationPublisher publisher;
  private final Thread refresher;

  /** Creates the parts without starting them. */
  public EntryHost(EntryHostOptions options) {
    this.options = options;
    this.upstreamHttp = HttpParts.client("upstream", CLIENT_THREADS);
    this.platformHttp = HttpParts.client("platform", CLIENT_THREADS);
    this.publisher =
        new ConfigurationPublisher(
            new HttpTableService(platformHttp, options.tableService(), options.platformTimeout()),
            new HttpObjectStore(platformHttp, options.objectStore(), options.platformTimeout()),
            clock);
    this.ratings =
        new RatingQueue(
            new HttpRatingService(platformHttp, options.ratingService(), options.platformTimeout()),
            RATING_THREADS);
    this.callerHandler = new CallerHandler(pipeline(), incarnation, clock);
    this.callers = HttpParts.server("caller", options.callers(), CALLER_THREADS, callerHandler);
    this.refresher = new Thread(this::refreshLoop, "configuration-reader");
  }

  private Pipeline pipeline() {
    AccountLimiter limiter = new AccountLimiter(incarnation);
    SessionTokens tokens = new SessionTokens(options.sessionKeys());
    ChatReply replies = new ChatReply(tokens, clock);
    Dispatcher dispatcher =
        Dispatcher.builder()
            .clock(clock)
            .configuration(configuration)
            .health(new UpstreamTable(clock))
            .tracker(new UpstreamTracker())
            .client(new UpstreamClient(upstreamHttp, options.progressTimeout()))
            .ratings(ratings)
            .placement(new TwoChoicesPolicy(new SplittableRandom()))
            .build();
    return new Pipeline(
        List.of(
            new AdmitFilter(configuration, limiter, clock),
            new SessionFilter(tokens, configuration, clock),
            new PlanFilter(configuration, new SplittableRandom()),
            new RunFilter(dispatcher, replies),
            new ReplyFilter(replies, limiter, exchange -> {})));
  }

  /** Starts all listeners and duties. */
  public void start() throws Exception {
    upstreamHttp.start();
    platformHttp.start();
    refresher.setDaemon(true);
    refresher.start();
    callers.start();
    logger.atInfo().log(
        "entry host %s started, incarnation %s, callers on port %d",
        options.name(), incarnation, callerPort());
  }

  /** Returns the port of the callers' listener. */
  public int callerPort() {
    return HttpParts.port(callers);
  }

  /** Returns whether a configuration is in force. */
  public boolean ready() {
    return configuration.current().isPresent();
  }

  private void refreshLoop() {
    while (!Thread.currentThread().isInterrupted()) {
      try {
        refresh();
        clock.sleep(REFRESH_INTERVAL);
      } catch (PlatformException | IOException e) {
        logger.atWarning().log("configuration cannot be read: %s", e.getMessage());
        pause();
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private void pause() {
    try {
      clock.sleep(REFRESH_INTERVAL);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void refresh() throws PlatformException, IOException {
    Optional<RevisionRecord> head = publisher.head();
    configuration.refreshed();
    long known = configuration.current().map(ActiveConfiguration::revision).orElse(0L);
    if (head.isEmpty() || head.get().revision() <= known) {
      return;
    }
    Optional<String> text = publisher.document(head.get().hash());
    if (text.isPresent()) {
      RouterConfiguration parsed = DocumentMapper.parse(text.get());
      configuration.apply(
          new ActiveConfiguration(
              new RevisionedConfiguration(
                  head.get().revision(), head.get().hash(), text.get(), parsed)));
    }
  }

  /** Stops gracefully: no new requests, open ones finish, then the listeners close. */
  @Override
  public void close() throws Exception {
    callerHandler.drain();
    long deadline = clock.nanoTime() + options.drainTimeout().toNanos();
    while (callerHandler.openRequests() > 0 && clock.nanoTime() < deadline) {
      clock.sleep(DRAIN_POLL);
    }
    callers.stop();
    refresher.interrupt();
    ratings.close();
    upstreamHttp.stop();
    platformHttp.stop();
  }

  private static final class DocumentMapper {
    private static final JsonMapper JSON =
        JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
            .build();

    private static RouterConfiguration parse(String text) throws IOException {
      return JSON.readValue(text, RouterConfiguration.class);
    }
  }
}
