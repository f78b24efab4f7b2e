package org.clementinequay.core.config;

import java.util.List;
import java.util.Objects;

/**
 * A client account and what it may use.
 *
 * @param name unique name
 * @param apiKeySha256 hexadecimal SHA-256 digests of its API keys
 * @param models models it may use: {@code model} for every version, {@code model@version} for one
 * @param cascades cascades it may use
 * @param routes routes it may use
 * @param limits limits over all entry hosts
 */
public record ClientAccount(
    String name,
    List<String> apiKeySha256,
    List<String> models,
    List<String> cascades,
    List<String> routes,
    AccountLimits limits) {
  /** Copies the lists. */
  public ClientAccount {
    Objects.requireNonNull(name);
    Objects.requireNonNull(limits);
    apiKeySha256 = List.copyOf(apiKeySha256);
    models = List.copyOf(models);
    cascades = List.copyOf(cascades);
    routes = List.copyOf(routes);
  }

  /** Returns a builder for an account that may use nothing. */
  public static Builder builder(String name) {
    return new Builder(name);
  }

  /** Builds a {@link ClientAccount}. */
  public static final class Builder {
    private final String name;
    private List<String> apiKeySha256 = List.of();
    private List<String> models = List.of();
    private List<String> cascades = List.of();
    private List<String> routes = List.of();
    private AccountLimits limits = new AccountLimits(100, 100, 1000);

    private Builder(String name) {
      this.name = name;
    }

    /** Sets the hexadecimal SHA-256 digests of the API keys. */
    public Builder apiKeySha256(String... digests) {
      this.apiKeySha256 = List.of(digests);
      return this;
    }

    /** Sets the models, each {@code model} or {@code model@version}. */
    public Builder models(String... names) {
      this.models = List.of(names);
      return this;
    }

    /** Sets the cascades. */
    public Builder cascades(String... names) {
      this.cascades = List.of(names);
      return this;
    }

    /** Sets the routes. */
    public Builder routes(String... names) {
      this.routes = List.of(names);
      return this;
    }

    /** Sets the limits. */
    public Builder limits(AccountLimits newLimits) {
      this.limits = newLimits;
      return this;
    }

    /** Returns the account. */
    public ClientAccount build() {
      return new ClientAccount(name, apiKeySha256, models, cascades, routes, limits);
    }
  }
}
