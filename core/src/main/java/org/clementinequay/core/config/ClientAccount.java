package org.clementinequay.core.config;

import java.util.List;
import java.util.Objects;

/**
 * A client account, and the models, cascades and routes that it may use.
 *
 * @param name name, unique among the accounts
 * @param apiKeySha256 hexadecimal SHA-256 digests of its API keys
 * @param models models it may use: {@code model} for every version, {@code model@version} for one
 * @param cascades cascades it may use
 * @param routes routes it may use
 * @param limits limits enforced over all entry hosts together
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

  /** Returns a builder for an account that may not use any model, cascade or route. */
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

    /** Sets the models that the account may use, each {@code model} or {@code model@version}. */
    public Builder models(String... names) {
      this.models = List.of(names);
      return this;
    }

    /** Sets the names of the cascades that the account may use. */
    public Builder cascades(String... names) {
      this.cascades = List.of(names);
      return this;
    }

    /** Sets the names of the routes that the account may use. */
    public Builder routes(String... names) {
      this.routes = List.of(names);
      return this;
    }

    /**
     * Sets the limits; the default is 100 requests per second, a burst of 100, and 1,000 in
     * progress.
     */
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
