package org.clementinequay.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.RefusalReason;

/**
 * Decides which versions a client account may use: by what the account lists (R1) and by what the
 * state of each version permits (R2). Immutable; one is built for each revision.
 *
 * <p>A cascade does not widen an account's rights: only the models that the account itself lists
 * are tried.
 */
public final class AccessPolicy {
  private final RouterConfiguration configuration;
  private final Map<String, Model> models = new HashMap<>();
  private final Map<String, ClientAccount> accountsByKey = new HashMap<>();

  /** Creates the policy of a valid configuration. */
  public AccessPolicy(RouterConfiguration configuration) {
    this.configuration = configuration;
    configuration.models().forEach(model -> models.put(model.name(), model));
    for (ClientAccount account : configuration.accounts()) {
      account.apiKeySha256().forEach(digest -> accountsByKey.put(digest, account));
    }
  }

  /** Returns the account of an API key, given as the hexadecimal SHA-256 of the key. */
  public Optional<ClientAccount> accountForApiKey(String apiKeySha256) {
    return Optional.ofNullable(accountsByKey.get(apiKeySha256));
  }

  /** Returns whether the account lists the version, whatever the version's state. */
  public boolean allowsVersion(ClientAccount account, ModelVersion version) {
    return account.models().contains(version.model())
        || account.models().contains(version.toString());
  }

  /** Returns whether the account lists the model or a version of it. */
  public boolean allowsModel(ClientAccount account, String model) {
    String pinPrefix = model + "@";
    return account.models().stream()
        .anyMatch(entry -> entry.equals(model) || entry.startsWith(pinPrefix));
  }

  /** Returns whether the account lists the route. */
  public boolean allowsRoute(ClientAccount account, String route) {
    return account.routes().contains(route);
  }

  /**
   * Returns the models of a cascade that the account may use, cheapest first; empty if the account
   * does not list the cascade.
   */
  public List<String> cascadeModels(ClientAccount account, Cascade cascade) {
    if (!account.cascades().contains(cascade.name())) {
      return List.of();
    }
    return cascade.models().stream().filter(model -> allowsModel(account, model)).toList();
  }

  /**
   * Returns the versions of a model that a request without a session may be bound to. A version
   * that is being rolled out has its own share; the live versions divide what is left. Where an
   * account may use no live version, the shares of the others are scaled up to 1.
   *
   * @param usable false for versions that this host must not use now, such as one that its brake
   *     stopped
   * @return versions whose shares add up to 1, or none
   */
  public List<VersionShare> versionsForNewSession(
      ClientAccount account, String model, Predicate<ModelVersion> usable) {
    Model found = models.get(model);
    if (found == null) {
      return List.of();
    }
    List<VersionSpec> candidates = new ArrayList<>();
    for (VersionSpec spec : found.versions()) {
      ModelVersion version = new ModelVersion(model, spec.name());
      if (spec.state().acceptsNewSessions()
          && allowsVersion(account, version)
          && usable.test(version)) {
        candidates.add(spec);
      }
    }
    return shares(model, candidates);
  }

  /** Returns why a new session of the account on a model must be refused, if it must. */
  public Optional<RefusalReason> refusalForNewSession(
      ClientAccount account, String model, Predicate<ModelVersion> usable) {
    if (!models.containsKey(model)) {
      return Optional.of(RefusalReason.UNKNOWN_MODEL);
    }
    if (!allowsModel(account, model)) {
      return Optional.of(RefusalReason.MODEL_NOT_ALLOWED);
    }
    return versionsForNewSession(account, model, usable).isEmpty()
        ? Optional.of(RefusalReason.NO_LIVE_VERSION)
        : Optional.empty();
  }

  /**
   * Returns why a request of a session bound to the version must be refused, if it must. A version
   * that is no longer in the configuration counts as withdrawn.
   */
  public Optional<RefusalReason> refusalForBoundSession(
      ClientAccount account, ModelVersion version) {
    if (!allowsVersion(account, version)) {
      return Optional.of(RefusalReason.MODEL_NOT_ALLOWED);
    }
    boolean accepted =
        configuration.version(version).filter(v -> v.state().acceptsBoundSessions()).isPresent();
    return accepted ? Optional.empty() : Optional.of(RefusalReason.SESSION_VERSION_WITHDRAWN);
  }

  private static List<VersionShare> shares(String model, List<VersionSpec> candidates) {
    long live = candidates.stream().filter(v -> v.state() == VersionState.LIVE).count();
    double rollingOut =
        candidates.stream()
            .filter(v -> v.state() != VersionState.LIVE)
            .mapToDouble(VersionSpec::share)
            .sum();
    double scale = live == 0 && rollingOut > 0 ? 1 / rollingOut : 1;
    double liveShare = live == 0 ? 0 : Math.max(0, 1 - rollingOut) / live;
    List<VersionShare> shares = new ArrayList<>();
    for (VersionSpec spec : candidates) {
      double share = spec.state() == VersionState.LIVE ? liveShare : spec.share() * scale;
      if (share > 0) {
        ModelVersion version = new ModelVersion(model, spec.name());
        shares.add(new VersionShare(version, spec.state(), share));
      }
    }
    return shares;
  }
}
