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

/** What the runs of requests share: placement, health of the upstreams, retries, transport. */
public final class Dispatcher {
  final RuntimeClock clock;
  final ConfigurationSource configuration;
  final UpstreamHealthTracker health;
  final UpstreamTracker tracker;
  final RetryBudget retries;
  final UpstreamTransport client;
  final RatingQueue ratings;
  final CascadeLearning learning;
  final UpstreamEvents events;
  final ObjLongConsumer<Exchange> gaps;
  private final PlacementPolicy placement;
  private final LoadShedder shedder = new LoadShedder();

  /** Told when this host learns something of an upstream that its peers should know. */
  public interface UpstreamEvents {
    /** This host ejected the upstream. */
    void ejected(String upstream);
  }

  private Dispatcher(Builder builder) {
    this.clock = Objects.requireNonNull(builder.clock);
    this.configuration = Objects.requireNonNull(builder.configuration);
    this.health = Objects.requireNonNull(builder.health);
    this.tracker = Objects.requireNonNull(builder.tracker);
    this.retries = new RetryBudget();
    this.client = Objects.requireNonNull(builder.client);
    this.ratings = Objects.requireNonNull(builder.ratings);
    this.learning = Objects.requireNonNull(builder.learning);
    this.events = Objects.requireNonNull(builder.events);
    this.gaps = Objects.requireNonNull(builder.gaps);
    this.placement = Objects.requireNonNull(builder.placement);
  }

  /** Returns a builder. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Chooses an upstream for an attempt and counts it as started there.
   *
   * @throws RequestFailedException if the first attempt of a request would wait too long
   */
  Optional<Upstream> place(
      String work, Set<String> tried, PlacementRequest request, int expectedTokens)
      throws RequestFailedException {
    List<Upstream> candidates = new ArrayList<>(available(work, tried));
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
      if (tried.isEmpty()) {
        shed(request, chosen.get());
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

  private void shed(PlacementRequest request, Placement chosen) throws RequestFailedException {
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

  private List<Upstream> available(String work, Set<String> tried) {
    return configuration.current().map(c -> c.upstreamsOf(work)).orElse(List.of()).stream()
        .filter(u -> !tried.contains(u.name()) && health.available(u.name()))
        .toList();
  }

  void succeeded(Upstream upstream, int expectedTokens) {
    tracker.recordEnd(upstream.name(), expectedTokens);
    health.recordSuccess(upstream.name());
  }

  void abandoned(Upstream upstream, int expectedTokens) {
    tracker.recordEnd(upstream.name(), expectedTokens);
    health.recordAbandoned(upstream.name());
  }

  void failed(Upstream upstream, int expectedTokens) {
    tracker.recordEnd(upstream.name(), expectedTokens);
    if (health.recordFailure(upstream.name())) {
      events.ejected(upstream.name());
    }
  }

  /** Collects the parts. */
  public static final class Builder {
    private RuntimeClock clock;
    private ConfigurationSource configuration;
    private UpstreamHealthTracker health;
    private UpstreamTracker tracker;
    private UpstreamTransport client;
    private RatingQueue ratings;
    private CascadeLearning learning;
    private UpstreamEvents events = upstream -> {};
    private ObjLongConsumer<Exchange> gaps = (exchange, nanos) -> {};
    private PlacementPolicy placement;

    private Builder() {}

    /** Sets the clock. */
    public Builder clock(RuntimeClock value) {
      clock = value;
      return this;
    }

    /** Sets the source of the configuration in force. */
    public Builder configuration(ConfigurationSource value) {
      configuration = value;
      return this;
    }

    /** Sets the health of the upstreams. */
    public Builder health(UpstreamHealthTracker value) {
      health = value;
      return this;
    }

    /** Sets the outstanding work and speeds of the upstreams. */
    public Builder tracker(UpstreamTracker value) {
      tracker = value;
      return this;
    }

    /** Sets the transport. */
    public Builder transport(UpstreamTransport value) {
      client = value;
      return this;
    }

    /** Sets the queue to the rating service. */
    public Builder ratings(RatingQueue value) {
      ratings = value;
      return this;
    }

    /** Sets what is learned of versions. */
    public Builder learning(CascadeLearning value) {
      learning = value;
      return this;
    }

    /** Sets who is told of the time between two parts of a stream, in nanoseconds. */
    public Builder streamGapListener(ObjLongConsumer<Exchange> value) {
      gaps = value;
      return this;
    }

    /** Sets who is told of ejections. */
    public Builder upstreamEvents(UpstreamEvents value) {
      events = value;
      return this;
    }

    /** Sets the choice of the upstream. */
    public Builder placement(PlacementPolicy value) {
      placement = value;
      return this;
    }

    /** Returns the dispatcher. */
    public Dispatcher build() {
      return new Dispatcher(this);
    }
  }
}
