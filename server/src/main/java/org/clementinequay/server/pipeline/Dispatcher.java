package org.clementinequay.server.pipeline;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.ObjLongConsumer;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.RequestFailedException;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.core.dispatch.RetryBudget;
import org.clementinequay.core.dispatch.UpstreamHealthTracker;
import org.clementinequay.core.limit.Admission;
import org.clementinequay.core.limit.LoadShedder;
import org.clementinequay.core.placement.Placement;
import org.clementinequay.core.placement.PlacementPolicy;
import org.clementinequay.core.placement.PlacementRequest;
import org.clementinequay.core.placement.UpstreamTracker;
import org.clementinequay.core.placement.UpstreamView;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.upstream.UpstreamTransport;

/** Shared by all requests in progress: placement, upstream health, retry budget, transport. */
public final class Dispatcher {
  final RuntimeClock clock;
  final ConfigurationSource configuration;
  final UpstreamHealthTracker health;
  final UpstreamTracker tracker;
  final RetryBudget retryBudget;
  final UpstreamTransport transport;
  final RatingQueue ratingQueue;
  final CascadeLearning learning;
  final UpstreamEvents upstreamEvents;
  final ObjLongConsumer<Exchange> streamGapListener;
  private final PlacementPolicy placement;
  private final LoadShedder shedder = new LoadShedder();

  /** Notified of changes in the health of upstreams that the peers should know of. */
  public interface UpstreamEvents {
    /** Called when a failure on this host ejected the upstream. */
    void ejected(String upstream);
  }

  private Dispatcher(Builder builder) {
    this.clock = Objects.requireNonNull(builder.clock);
    this.configuration = Objects.requireNonNull(builder.configuration);
    this.health = Objects.requireNonNull(builder.health);
    this.tracker = Objects.requireNonNull(builder.tracker);
    this.retryBudget = new RetryBudget();
    this.transport = Objects.requireNonNull(builder.transport);
    this.ratingQueue = Objects.requireNonNull(builder.ratingQueue);
    this.learning = Objects.requireNonNull(builder.learning);
    this.upstreamEvents = Objects.requireNonNull(builder.upstreamEvents);
    this.streamGapListener = Objects.requireNonNull(builder.streamGapListener);
    this.placement = Objects.requireNonNull(builder.placement);
  }

  /** Returns a builder without any part set. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Chooses an upstream for an attempt and counts the attempt as started there.
   *
   * @param target {@code model@version} or the name of a route
   * @return the upstream, or empty if none is available
   * @throws RequestFailedException if nothing was tried yet and the attempt would wait too long
   */
  Optional<Upstream> place(
      String target, Set<String> triedUpstreams, PlacementRequest request, int expectedTokens)
      throws RequestFailedException {
    List<Upstream> candidates = new ArrayList<>(availableUpstreams(target, triedUpstreams));
    while (!candidates.isEmpty()) {
      List<UpstreamView> views = new ArrayList<>();
      for (Upstream upstream : candidates) {
        views.add(
            tracker.view(upstream.name(), upstream.domain(), upstream.slots(), request.nowNanos()));
      }
      Optional<Placement> chosen = placement.choose(request, views);
      if (chosen.isEmpty()) {
        return Optional.empty();
      }
      if (triedUpstreams.isEmpty()) {
        shedIfOverloaded(request, chosen.get());
      }
      String name = chosen.get().upstream();
      Upstream upstream =
          candidates.stream().filter(u -> u.name().equals(name)).findFirst().orElseThrow();
      if (health.tryStart(name)) {
        tracker.recordStart(name, expectedTokens);
        return Optional.of(upstream);
      }
      candidates.remove(upstream);
    }
    return Optional.empty();
  }

  private void shedIfOverloaded(PlacementRequest request, Placement chosen)
      throws RequestFailedException {
    Admission admission =
        shedder.admit(
            request.priority(),
            request.remainingMillis(),
            chosen.estimatedWaitMillis(),
            request.nowNanos());
    if (!admission.admitted()) {
      throw RequestFailedException.notRun(
          RefusalReason.OVERLOADED,
          "upstreams are overloaded for this request class",
          admission.retryAfter());
    }
  }

  private List<Upstream> availableUpstreams(String target, Set<String> triedUpstreams) {
    return configuration.current().map(c -> c.upstreamsServing(target)).orElse(List.of()).stream()
        .filter(u -> !triedUpstreams.contains(u.name()) && health.available(u.name()))
        .toList();
  }

  void recordSuccess(Upstream upstream, int expectedTokens) {
    tracker.recordEnd(upstream.name(), expectedTokens);
    health.recordSuccess(upstream.name());
  }

  void recordAbandoned(Upstream upstream, int expectedTokens) {
    tracker.recordEnd(upstream.name(), expectedTokens);
    health.recordAbandoned(upstream.name());
  }

  void recordFailure(Upstream upstream, int expectedTokens) {
    tracker.recordEnd(upstream.name(), expectedTokens);
    if (health.recordFailure(upstream.name())) {
      upstreamEvents.ejected(upstream.name());
    }
  }

  /** Builder; all parts but {@link #upstreamEvents} and {@link #streamGapListener} are required. */
  public static final class Builder {
    private RuntimeClock clock;
    private ConfigurationSource configuration;
    private UpstreamHealthTracker health;
    private UpstreamTracker tracker;
    private UpstreamTransport transport;
    private RatingQueue ratingQueue;
    private CascadeLearning learning;
    private UpstreamEvents upstreamEvents = upstream -> {};
    private ObjLongConsumer<Exchange> streamGapListener = (exchange, nanos) -> {};
    private PlacementPolicy placement;

    private Builder() {}

    public Builder clock(RuntimeClock value) {
      clock = value;
      return this;
    }

    /** Sets the source of the configuration, which is read before each attempt. */
    public Builder configuration(ConfigurationSource value) {
      configuration = value;
      return this;
    }

    /** Sets the tracker that decides which upstreams are ejected or leaving. */
    public Builder health(UpstreamHealthTracker value) {
      health = value;
      return this;
    }

    /** Sets the tracker of the outstanding work and the speeds of the upstreams. */
    public Builder tracker(UpstreamTracker value) {
      tracker = value;
      return this;
    }

    public Builder transport(UpstreamTransport value) {
      transport = value;
      return this;
    }

    /** Sets the queue that sends drafts to the rating service. */
    public Builder ratingQueue(RatingQueue value) {
      ratingQueue = value;
      return this;
    }

    /** Sets the recipient of answer times, failures and ratings of versions. */
    public Builder learning(CascadeLearning value) {
      learning = value;
      return this;
    }

    /**
     * Sets the recipient of the time between two parts of a stream, in nanoseconds; none by
     * default.
     */
    public Builder streamGapListener(ObjLongConsumer<Exchange> value) {
      streamGapListener = value;
      return this;
    }

    /** Sets the recipient of upstream events; none by default. */
    public Builder upstreamEvents(UpstreamEvents value) {
      upstreamEvents = value;
      return this;
    }

    /** Sets the policy that chooses among the available upstreams. */
    public Builder placement(PlacementPolicy value) {
      placement = value;
      return this;
    }

    /**
     * Returns the dispatcher.
     *
     * @throws NullPointerException if a required part is missing
     */
    public Dispatcher build() {
      return new Dispatcher(this);
    }
  }
}
