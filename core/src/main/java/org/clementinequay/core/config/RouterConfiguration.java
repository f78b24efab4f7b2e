package org.clementinequay.core.config;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;
import org.clementinequay.core.ModelVersion;

/**
 * The parsed configuration document, which operators edit; it applies to all entry hosts.
 *
 * @param domains failure domains
 * @param classes request classes
 * @param models models with their versions
 * @param cascades cascades
 * @param routes routes to plain services
 * @param upstreams upstreams
 * @param accounts client accounts
 * @param weights weights of the objectives
 */
public record RouterConfiguration(
    List<Domain> domains,
    List<RequestClass> classes,
    List<Model> models,
    List<Cascade> cascades,
    List<Route> routes,
    List<Upstream> upstreams,
    List<ClientAccount> accounts,
    ObjectiveWeights weights) {
  /** Copies the lists. */
  public RouterConfiguration {
    domains = List.copyOf(domains);
    classes = List.copyOf(classes);
    models = List.copyOf(models);
    cascades = List.copyOf(cascades);
    routes = List.copyOf(routes);
    upstreams = List.copyOf(upstreams);
    accounts = List.copyOf(accounts);
    Objects.requireNonNull(weights);
  }

  /** Returns a builder for an empty configuration. */
  public static Builder builder() {
    return new Builder();
  }

  /** Returns a builder that is initialized with this configuration. */
  public Builder toBuilder() {
    return new Builder()
        .domains(domains)
        .classes(classes)
        .models(models)
        .cascades(cascades)
        .routes(routes)
        .upstreams(upstreams)
        .accounts(accounts)
        .weights(weights);
  }

  /** Returns the model of the given name. */
  public Optional<Model> model(String name) {
    return findByName(models, Model::name, name);
  }

  /** Returns the specification of a model version, or empty if the model or version is missing. */
  public Optional<VersionSpec> version(ModelVersion version) {
    return model(version.model()).flatMap(m -> m.version(version.version()));
  }

  /** Returns the cascade of the given name. */
  public Optional<Cascade> cascade(String name) {
    return findByName(cascades, Cascade::name, name);
  }

  /** Returns the route of the given name. */
  public Optional<Route> route(String name) {
    return findByName(routes, Route::name, name);
  }

  /** Returns the client account of the given name. */
  public Optional<ClientAccount> account(String name) {
    return findByName(accounts, ClientAccount::name, name);
  }

  /** Returns the request class of the given name. */
  public Optional<RequestClass> requestClass(String name) {
    return findByName(classes, RequestClass::name, name);
  }

  private static <T> Optional<T> findByName(
      List<T> items, Function<T, String> nameOf, String name) {
    return items.stream().filter(item -> nameOf.apply(item).equals(name)).findFirst();
  }

  /** Builds a {@link RouterConfiguration}. */
  public static final class Builder {
    private List<Domain> domains = List.of();
    private List<RequestClass> classes = List.of();
    private List<Model> models = List.of();
    private List<Cascade> cascades = List.of();
    private List<Route> routes = List.of();
    private List<Upstream> upstreams = List.of();
    private List<ClientAccount> accounts = List.of();
    private ObjectiveWeights weights = ObjectiveWeights.EQUAL;

    private Builder() {}

    /** Sets the failure domains. */
    public Builder domains(List<Domain> items) {
      this.domains = items;
      return this;
    }

    /** Sets the request classes. */
    public Builder classes(List<RequestClass> items) {
      this.classes = items;
      return this;
    }

    /** Sets the models. */
    public Builder models(List<Model> items) {
      this.models = items;
      return this;
    }

    /** Sets the cascades. */
    public Builder cascades(List<Cascade> items) {
      this.cascades = items;
      return this;
    }

    /** Sets the routes. */
    public Builder routes(List<Route> items) {
      this.routes = items;
      return this;
    }

    /** Sets the upstreams. */
    public Builder upstreams(List<Upstream> items) {
      this.upstreams = items;
      return this;
    }

    /** Sets the client accounts. */
    public Builder accounts(List<ClientAccount> items) {
      this.accounts = items;
      return this;
    }

    /** Sets the weights of the objectives. */
    public Builder weights(ObjectiveWeights newWeights) {
      this.weights = newWeights;
      return this;
    }

    /** Returns the configuration. */
    public RouterConfiguration build() {
      return new RouterConfiguration(
          domains, classes, models, cascades, routes, upstreams, accounts, weights);
    }
  }
}
