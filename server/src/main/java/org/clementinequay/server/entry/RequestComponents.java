package org.clementinequay.server.entry;

import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.SplittableRandom;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.cascade.LearnedRates;
import org.clementinequay.core.claim.ClaimService;
import org.clementinequay.core.dispatch.UpstreamHealthTracker;
import org.clementinequay.core.limit.AccountLimiter;
import org.clementinequay.core.placement.EstimatedCompletionPolicy;
import org.clementinequay.core.placement.UpstreamTracker;
import org.clementinequay.core.session.SessionKey;
import org.clementinequay.core.session.SessionTokens;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.caller.CallerHandler;
import org.clementinequay.server.claim.ClaimWriter;
import org.clementinequay.server.metrics.RouterMetrics;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;
import org.clementinequay.server.pipeline.AdmitFilter;
import org.clementinequay.server.pipeline.BillFilter;
import org.clementinequay.server.pipeline.CascadeLearning;
import org.clementinequay.server.pipeline.ClaimFilter;
import org.clementinequay.server.pipeline.ClaimSettlementFilter;
import org.clementinequay.server.pipeline.Dispatcher;
import org.clementinequay.server.pipeline.Pipeline;
import org.clementinequay.server.pipeline.PlanFilter;
import org.clementinequay.server.pipeline.RatingQueue;
import org.clementinequay.server.pipeline.ReplyFilter;
import org.clementinequay.server.pipeline.ResponseWriter;
import org.clementinequay.server.pipeline.RunFilter;
import org.clementinequay.server.pipeline.SessionFilter;
import org.clementinequay.server.pipeline.VersionObserver;
import org.clementinequay.server.settings.Settings;
import org.clementinequay.server.upstream.LoadReportPoller;
import org.clementinequay.server.upstream.UpstreamClient;
import org.eclipse.jetty.client.HttpClient;

/** The components that process requests, from the callers' HTTP handler to the upstream client. */
final class RequestComponents implements AutoCloseable {
  private static final int MAX_CLIENT_THREADS = 64;
  private static final int RATING_THREADS = 4;

  final UpstreamHealthTracker health;
  final UpstreamTracker tracker = new UpstreamTracker();
  final AccountLimiter limiter;
  final LearnedRates rates;
  final ClaimService claimService;
  final CallerHandler handler;
  private final HttpClient http = JettyFactory.createClient("upstream", MAX_CLIENT_THREADS);
  private final ClaimWriter claims;
  private final RatingQueue ratings;
  private final CascadeLearning learning;
  private final Thread loadReportThread;
  private final RuntimeClock clock;
  private final PeerNetwork peers;

  RequestComponents(
      HostContext host,
      SplittableRandom random,
      LocalConfigurationSource configuration,
      BillingComponents billing,
      VersionObserver observer,
      RouterMetrics metrics) {
    Settings settings = host.settings();
    PlatformClients platform = host.platform();
    Incarnation incarnation = host.incarnation();
    this.clock = host.clock();
    this.peers = host.peers();
    this.health = new UpstreamHealthTracker(clock);
    this.limiter = new AccountLimiter(LimiterMembershipUpdater.memberId(settings.name()));
    this.ratings = new RatingQueue(platform.ratings, RATING_THREADS);
    this.claimService = new ClaimService(platform.table, platform.objects, clock, incarnation);
    this.claims = new ClaimWriter(claimService, clock, ClaimWriter.Metrics.NONE);
    this.rates = new LearnedRates(incarnation);
    this.learning = new CascadeLearning(rates, ratings, random.split(), clock, observer);
    SessionTokens tokens = new SessionTokens(sessionKeys(settings));
    ResponseWriter replies = new ResponseWriter(tokens, clock);
    Dispatcher dispatcher = dispatcher(settings, configuration, metrics);
    Pipeline pipeline =
        new Pipeline(
            List.of(
                new AdmitFilter(configuration, limiter, billing.ledger, clock),
                new SessionFilter(tokens, configuration, clock),
                new ClaimFilter(claims, clock),
                new PlanFilter(configuration, random.split(), learning),
                new RunFilter(dispatcher, replies),
                new ClaimSettlementFilter(claims),
                new BillFilter(billing.replicator, clock),
                new ReplyFilter(
                    replies,
                    limiter,
                    exchange -> metrics.recordRequest(exchange, clock.nanoTime()))));
    this.handler = new CallerHandler(pipeline, incarnation, clock);
    this.loadReportThread =
        new Thread(
            new LoadReportPoller(
                http, configuration::upstreams, health, tracker, clock, this::announceLeavingState),
            "load-report-reader");
    loadReportThread.setDaemon(true);
  }

  private Dispatcher dispatcher(
      Settings settings, LocalConfigurationSource configuration, RouterMetrics metrics) {
    Duration progress = Duration.ofMillis(settings.timeouts().progressMillis());
    return Dispatcher.builder()
        .clock(clock)
        .configuration(configuration)
        .health(health)
        .tracker(tracker)
        .transport(new UpstreamClient(http, progress))
        .ratingQueue(ratings)
        .learning(learning)
        .streamGapListener(metrics::recordStreamGap)
        .upstreamEvents(upstream -> broadcastState(upstream, UpstreamState.EJECTED))
        .placement(new EstimatedCompletionPolicy())
        .build();
  }

  private static List<SessionKey> sessionKeys(Settings settings) {
    return settings.sessionKeys().stream()
        .map(key -> new SessionKey(key.id(), Base64.getDecoder().decode(key.secret())))
        .toList();
  }

  private void announceLeavingState(String upstream, boolean leaving) {
    broadcastState(upstream, leaving ? UpstreamState.LEAVING : UpstreamState.STAYING);
  }

  private void broadcastState(String upstream, UpstreamState state) {
    peers.broadcast(
        new PeerMessage.UpstreamNews(upstream, state.label(), clock.now().toEpochMilli()));
  }

  void start() throws Exception {
    http.start();
    claims.start();
    loadReportThread.start();
  }

  @Override
  public void close() throws Exception {
    loadReportThread.interrupt();
    claims.close();
    ratings.close();
    http.stop();
  }
}
