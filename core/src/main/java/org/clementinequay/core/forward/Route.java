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
 * @param objectiveMillis time to the answer, or to the first event, that the caller aims at
 * @param gapObjectiveMillis longest pause between events that the caller aims at; 0 if not a stream
 * @param priority rank, 0 is the highest
 * @param maxAttempts largest number of upstreams that one request may be sent to
 * @param open whether requests need no API key
 * @param targets services with their share of the requests
 * @param modelSizes models that may answer, smallest first; empty if the caller names the model
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    RequestKind kind,
    long timeoutMillis,
    long objectiveMillis,
    long gapObjectiveMillis,
    int priority,
    int maxAttempts,
    boolean open,
    List<WeightedTarget> targets,
    List<String> modelSizes) {
  /** Copies the lists. */
  public Route {
    targets = List.copyOf(targets);
    modelSizes = List.copyOf(modelSizes);
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
  public String service(double draw) {
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
    private long objectiveMillis;
    private long gapObjectiveMillis;
    private int priority;
    private int maxAttempts = 1;
    private boolean open;
    private List<WeightedTarget> targets = List.of();
    private List<String> modelSizes = List.of();

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
    public Builder objectiveMillis(long value) {
      objectiveMillis = value;
      return this;
    }

    /** Sets the objective for pauses between events, in milliseconds. */
    public Builder gapObjectiveMillis(long value) {
      gapObjectiveMillis = value;
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
    public Builder open(boolean value) {
      open = value;
      return this;
    }

    /** Sets the services. */
    public Builder targets(List<WeightedTarget> value) {
      targets = value;
      return this;
    }

    /** Sets the models that may answer, smallest first. */
    public Builder modelSizes(List<String> value) {
      modelSizes = value;
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
          objectiveMillis,
          gapObjectiveMillis,
          priority,
          maxAttempts,
          open,
          targets,
          modelSizes);
    }
  }
}
