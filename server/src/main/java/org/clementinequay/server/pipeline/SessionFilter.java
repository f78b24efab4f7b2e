package org.clementinequay.server.pipeline;

import java.util.Optional;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.RequestFailedException;
import org.clementinequay.core.session.InvalidSessionException;
import org.clementinequay.core.session.SessionBinding;
import org.clementinequay.core.session.SessionTokens;
import org.clementinequay.core.time.RuntimeClock;

/** Verifies the session token and that the version of the session still accepts its requests. */
public final class SessionFilter implements Filter {
  private final SessionTokens tokens;
  private final ConfigurationSource configuration;
  private final RuntimeClock clock;

  /** Creates a filter; tokens expire by the wall clock of {@code clock}. */
  public SessionFilter(
      SessionTokens tokens, ConfigurationSource configuration, RuntimeClock clock) {
    this.tokens = tokens;
    this.configuration = configuration;
    this.clock = clock;
  }

  @Override
  public void apply(Exchange exchange, Next next) throws RequestFailedException {
    Optional<String> token = exchange.request().sessionToken();
    if (token.isPresent()) {
      exchange.session = Optional.of(verify(token.get(), exchange));
      Optional<RefusalReason> refusal =
          VersionCheck.refusal(configuration, exchange, exchange.session.get().version());
      if (refusal.isPresent()) {
        throw RequestFailedException.notRun(
            refusal.get(),
            "session is bound to "
                + exchange.session.get().version()
                + ", which may not run this request");
      }
    }
    next.proceed();
  }

  private SessionBinding verify(String token, Exchange exchange) throws RequestFailedException {
    try {
      SessionBinding binding = tokens.verify(token, clock.now());
      if (!binding.account().equals(exchange.account.name())) {
        throw RequestFailedException.notRun(
            RefusalReason.INVALID_SESSION, "session belongs to another account");
      }
      return binding;
    } catch (InvalidSessionException e) {
      throw RequestFailedException.notRun(RefusalReason.INVALID_SESSION, e.getMessage());
    }
  }
}
