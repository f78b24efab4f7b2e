package org.clementinequay.server.pipeline;

import java.util.Optional;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.config.ClientAccount;
import org.clementinequay.core.config.VersionSpec;

/** Last check before a dispatch, by the account and the version state in the current revision. */
final class VersionCheck {
  private VersionCheck() {}

  /** Returns the reason why the version may not run the request now, or empty if it may. */
  static Optional<RefusalReason> refusal(
      ConfigurationSource configuration, Exchange exchange, ModelVersion version) {
    Optional<ActiveConfiguration> active = configuration.current();
    if (active.isEmpty()) {
      return Optional.of(RefusalReason.NOT_READY);
    }
    Optional<ClientAccount> account = active.get().document().account(exchange.account.name());
    if (account.isEmpty() || !active.get().access().allowsVersion(account.get(), version)) {
      return Optional.of(RefusalReason.MODEL_NOT_ALLOWED);
    }
    if (exchange.session.isPresent()) {
      return active.get().access().refusalForBoundSession(account.get(), version);
    }
    boolean accepts =
        active
            .get()
            .document()
            .version(version)
            .map(VersionSpec::state)
            .filter(state -> state.acceptsNewSessions())
            .isPresent();
    return accepts && configuration.usable(version)
        ? Optional.empty()
        : Optional.of(RefusalReason.NO_LIVE_VERSION);
  }
}
