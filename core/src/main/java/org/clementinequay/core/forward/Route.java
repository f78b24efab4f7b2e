package org.clementinequay.core.forward;

import java.util.List;
import java.util.Objects;

/**
 * Where requests of a host name and path go, and what they may cost in time and attempts.
 *
 * @param name name of the route
 * @param host value of the {@code Host} header, lower case
 * @param pathPrefix prefix of the path; begins and ends with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a caller is kept waiting
 * @param latencyObjectiveMillis time to the answer, or to the first event, that the caller aims at
 * @param eventGapObjectiveMillis longest pause between events that the caller aims at; 0 if not a
 *     stream
 * @param priority rank, 0 is the highest
 * @param maxAttempts largest number of upstreams that one request may be sent to
 * @param anonymousAccess whether requests need no API key
 * @param targets services with their share of the requests
 * @param modelsBySize models that may answer, smallest first; empty if the caller names the model
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
    List<String> modelsBySize) {
  /** Copies the lists. */
  public Route {
    targets = List.copyOf(targets);
    modelsBySize = List.copyOf(modelsBySize);
  }

  /** Returns a builder. */
  public static Builder builder(String name) {
    return new Builder(name);
  }

  /**
   * Chooses the service of a request.
   *
   * @param draw a number from 0 (inclusive) to 1 (exclusive)
   */
  public String selectService(double draw) {
    double total = 0;
    for (WeightedTarget target : targets) {
      total += target.weight();
    }
    double rest = draw * total;
    for (WeightedTarget target : targets) {
      rest -= target.weight();
      if (rest < 0) {
        return target.service();
      }
    }
    return targets.get(targets.size() - 1).service();
  }

  /** A service and its share. */
  public record WeightedTarget(String service, double weight) {}

  /** Collects the parts of a route. */
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

    private Builder(String name) {
      this.name = Objects.requireNonNull(name);
    }

    /** Sets the host name. */
    public Builder host(String value) {
      host = value;
      return this;
    }

    /** Sets the path prefix. */
    public Builder pathPrefix(String value) {
      pathPrefix = value;
      return this;
    }

    /** Sets what may be repeated. */
    public Builder kind(RequestKind value) {
      kind = value;
      return this;
    }

    /** Sets the longest time that a caller is kept waiting, in milliseconds. */
    public Builder timeoutMillis(long value) {
      timeoutMillis = value;
      return this;
    }

    /** Sets the latency objective in milliseconds. */
    public Builder latencyObjectiveMillis(long value) {
      latencyObjectiveMillis = value;
      return this;
    }

    /** Sets the objective for pauses between events, in milliseconds. */
    public Builder eventGapObjectiveMillis(long value) {
      eventGapObjectiveMillis = value;
      return this;
    }

    /** Sets the rank; 0 is the highest. */
    public Builder priority(int value) {
      priority = value;
      return this;
    }

    /** Sets the largest number of upstreams for one request. */
    public Builder maxAttempts(int value) {
      maxAttempts = value;
      return this;
    }

    /** Sets whether requests need no API key. */
    public Builder anonymousAccess(boolean value) {
      anonymousAccess = value;
      return this;
    }

    /** Sets the services. */
    public Builder targets(List<WeightedTarget> value) {
      targets = value;
      return this;
    }

    /** Sets the models that may answer, smallest first. */
    public Builder modelsBySize(List<String> value) {
      modelsBySize = value;
      return this;
    }

    /** Returns the route. */
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
          modelsBySize);
    }
  }
}
