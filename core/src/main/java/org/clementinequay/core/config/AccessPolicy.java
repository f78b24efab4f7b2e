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
 * Decides which model versions a client account may use, by what the account lists and by what the
 * state of each version permits (rules R1 and R2 in {@code docs/design.md}). Immutable; there is
 * one policy per configuration revision.
 *
 * <p>A cascade does not extend the rights of an account: only those of its models are tried that
 * the account itself lists.
 */
public final class AccessPolicy {
  private final RouterConfiguration configuration;
  private final Map<String, Model> models = new HashMap<>();
  private final Map<String, ClientAccount> accountsByKeyDigest = new HashMap<>();

  /** Creates the policy for a valid configuration. */
  public AccessPolicy(RouterConfiguration configuration) {
    this.configuration = configuration;
    configuration.models().forEach(model -> models.put(model.name(), model));
    for (ClientAccount account : configuration.accounts()) {
      account.apiKeySha256().forEach(digest -> accountsByKeyDigest.put(digest, account));
    }
  }

  /** Returns the account that owns an API key, given as the hexadecimal SHA-256 of the key. */
  public Optional<ClientAccount> accountForApiKey(String apiKeySha256) {
    return Optional.ofNullable(accountsByKeyDigest.get(apiKeySha256));
  }

  /**
   * Returns whether the account lists the version or its model, regardless of the version's state.
   */
  public boolean allowsVersion(ClientAccount account, ModelVersion version) {
    return account.models().contains(version.model())
        || account.models().contains(version.toString());
  }

  /** Returns whether the account lists the model or at least one version of it. */
  public boolean allowsModel(ClientAccount account, String model) {
    String versionPrefix = model + "@";
    return account.models().stream()
        .anyMatch(entry -> entry.equals(model) || entry.startsWith(versionPrefix));
  }

  /** Returns whether the account lists the route. */
  public boolean allowsRoute(ClientAccount account, String route) {
    return account.routes().contains(route);
  }

  /**
   * Returns the models of a cascade that the account may use, cheapest first, or an empty list if
   * the account does not list the cascade.
   */
  public List<String> cascadeModels(ClientAccount account, Cascade cascade) {
    if (!account.cascades().contains(cascade.name())) {
      return List.of();
    }
    return cascade.models().stream().filter(model -> allowsModel(account, model)).toList();
  }

  /**
   * Returns the versions of a model to which a request without a session may be bound, with the
   * share of such requests that each receives. A version that is being rolled out receives its
   * configured share; the live versions divide the remainder equally. If the account may not use a
   * live version, the other shares are scaled to add up to 1.
   *
   * @param usable false for versions that this host must not use now, for example because its
   *     rollout monitor stopped them on the evidence of this host
   * @return versions whose shares add up to 1, or an empty list if there is no usable version
   */
  public List<VersionShare> versionsForNewSession(
      ClientAccount account, String model, Predicate<ModelVersion> usable) {
    Model configuredModel = models.get(model);
    if (configuredModel == null) {
      return List.of();
    }
    List<VersionSpec> candidates = new ArrayList<>();
    for (VersionSpec spec : configuredModel.versions()) {
      ModelVersion version = new ModelVersion(model, spec.name());
      if (spec.state().acceptsNewSessions()
          && allowsVersion(account, version)
          && usable.test(version)) {
        candidates.add(spec);
      }
    }
    return assignShares(model, candidates);
  }

  /** Returns the reason to refuse a new session of the account on a model, or empty if allowed. */
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
   * Returns the reason to refuse a request of a session that is bound to the version, or empty if
   * the request is allowed. A version that is no longer in the configuration counts as withdrawn.
   */
  public Optional<RefusalReason> refusalForBoundSession(
      ClientAccount account, ModelVersion version) {
    if (!allowsVersion(account, version)) {
      return Optional.of(RefusalReason.MODEL_NOT_ALLOWED);
    }
    boolean versionAcceptsSession =
        configuration.version(version).filter(v -> v.state().acceptsBoundSessions()).isPresent();
    return versionAcceptsSession
        ? Optional.empty()
        : Optional.of(RefusalReason.SESSION_VERSION_WITHDRAWN);
  }

  private static List<VersionShare> assignShares(String model, List<VersionSpec> candidates) {
    long liveCount = candidates.stream().filter(v -> v.state() == VersionState.LIVE).count();
    double rollingOutShare =
        candidates.stream()
            .filter(v -> v.state() != VersionState.LIVE)
            .mapToDouble(VersionSpec::share)
            .sum();
    double scale = liveCount == 0 && rollingOutShare > 0 ? 1 / rollingOutShare : 1;
    double liveShare = liveCount == 0 ? 0 : Math.max(0, 1 - rollingOutShare) / liveCount;
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
