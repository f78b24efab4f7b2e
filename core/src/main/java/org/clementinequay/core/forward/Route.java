package org.clementinequay.core.forward;

import java.util.List;
import java.util.Objects;
import java.util.Set;

/**
 * Maps requests by host name and path prefix to services, with limits of time and attempts.
 *
 * @param name name of the route
 * @param host host name that requests carry in the {@code Host} header, in lower case
 * @param pathPrefix prefix of the request path; begins and ends with a slash
 * @param kind whether requests may be retried and whether answers are streams
 * @param timeoutMillis maximum time that a caller waits for the answer
 * @param latencyObjectiveMillis latency objective for the answer, or for the first event of a
 *     stream
 * @param eventGapObjectiveMillis objective for the time between two events of a stream; 0 if the
 *     route is not a stream
 * @param priority priority of the requests; 0 is the highest
 * @param maxAttempts maximum number of upstreams to which one request is sent
 * @param anonymousAccess whether requests need no API key
 * @param targets services with the weights by which requests are split over them
 * @param modelsBySize models that may answer, smallest first; empty if the caller selects the model
 * @param allowedRegions regions in which requests may be served; empty if all are allowed
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    long timeoutMillis,
    long latencyObjectiveMillis,
    long eventGapObjectiveMillis,
    int priority,
    int maxAttempts,
    boolean anonymousAccess,
    List<WeightedTarget> targets,
    List<String> modelsBySize,
    Set<String> allowedRegions) {
  /** Stores unmodifiable copies of the collections. */
  public Route {
    targets = List.copyOf(targets);
    modelsBySize = List.copyOf(modelsBySize);
    allowedRegions = Set.copyOf(allowedRegions);
  }

  public static Builder builder(String name) {
    return new Builder(name);
  }

  /**
   * Selects the service of a request in proportion to the weights of the targets.
   *
   * @param randomValue uniformly distributed number from 0 (inclusive) to 1 (exclusive)
   */
  public String selectService(double randomValue) {
    double totalWeight = 0;
    for (WeightedTarget target : targets) {
      totalWeight += target.weight();
    }
    double remaining = randomValue * totalWeight;
    for (WeightedTarget target : targets) {
      remaining -= target.weight();
      if (remaining < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }

  /** A service and its weight relative to the other targets of the route. */
  public record WeightedTarget(String service, double weight) {}

  /** Builder of a route; by default it runs at most once, with one attempt. */
  public static final class Builder {
    private final String name;
    private String host = "";
    private String pathPrefix = "/";
    private RequestKind kind = RequestKind.AT_MOST_ONCE;
    private long timeoutMillis;
    private long latencyObjectiveMillis;
    private long eventGapObjectiveMillis;
    private int priority;
    private int maxAttempts = 1;
    private boolean anonymousAccess;
    private List<WeightedTarget> targets = List.of();
    private List<String> modelsBySize = List.of();
    private Set<String> allowedRegions = Set.of();

    private Builder(String name) {
      this.name = Objects.requireNonNull(name);
    }

    /** Sets the host name, in lower case. */
    public Builder host(String value) {
      host = value;
      return this;
    }

    /** Sets the path prefix, which begins and ends with a slash. */
    public Builder pathPrefix(String value) {
      pathPrefix = value;
      return this;
    }

    /** Sets whether requests may be retried and whether answers are streams. */
    public Builder kind(RequestKind value) {
      kind = value;
      return this;
    }

    /** Sets the maximum time that a caller waits for the answer, in milliseconds. */
    public Builder timeoutMillis(long value) {
      timeoutMillis = value;
      return this;
    }

    /** Sets the objective for the answer or the first event of a stream, in milliseconds. */
    public Builder latencyObjectiveMillis(long value) {
      latencyObjectiveMillis = value;
      return this;
    }

    /** Sets the objective for the time between two events of a stream, in milliseconds. */
    public Builder eventGapObjectiveMillis(long value) {
      eventGapObjectiveMillis = value;
      return this;
    }

    /** Sets the priority; 0 is the highest. */
    public Builder priority(int value) {
      priority = value;
      return this;
    }

    /** Sets the maximum number of upstreams to which one request is sent. */
    public Builder maxAttempts(int value) {
      maxAttempts = value;
      return this;
    }

    /** Sets whether requests need no API key. */
    public Builder anonymousAccess(boolean value) {
      anonymousAccess = value;
      return this;
    }

    /** Sets the services and the weights by which requests are split over them. */
    public Builder targets(List<WeightedTarget> value) {
      targets = value;
      return this;
    }

    /** Sets the models that may answer, smallest first. */
    public Builder modelsBySize(List<String> value) {
      modelsBySize = value;
      return this;
    }

    /** Sets the regions in which requests may be served; none for all. */
    public Builder allowedRegions(Set<String> value) {
      allowedRegions = value;
      return this;
    }

    /** Returns a route with the values set so far. */
    public Route build() {
      return new Route(
          name,
          host,
          pathPrefix,
          kind,
          timeoutMillis,
          latencyObjectiveMillis,
          eventGapObjectiveMillis,
          priority,
          maxAttempts,
          anonymousAccess,
          targets,
          modelsBySize,
          allowedRegions);
    }
  }
}
