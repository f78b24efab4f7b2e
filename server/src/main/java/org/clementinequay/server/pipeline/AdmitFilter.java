package org.clementinequay.server.pipeline;

import java.time.Duration;
import java.util.Comparator;
import org.clementinequay.core.RefusalReason;
import org.clementinequay.core.RequestFailedException;
import org.clementinequay.core.billing.BillLedger;
import org.clementinequay.core.config.AccessPolicy;
import org.clementinequay.core.config.ClientAccount;
import org.clementinequay.core.config.RequestClass;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.limit.AccountLimiter;
import org.clementinequay.core.limit.Admission;
import org.clementinequay.core.time.RuntimeClock;

/** Authenticates the caller, checks what its account may use, and applies the account's limits. */
public final class AdmitFilter implements Filter {
  private static final Duration FULL_LEDGER_RETRY_AFTER = Duration.ofSeconds(10);
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ConfigurationSource configuration;
  private final AccountLimiter limiter;
  private final BillLedger ledger;
  private final RuntimeClock clock;

  /** Creates a filter that refuses requests as overloaded while the ledger is full. */
  public AdmitFilter(
      ConfigurationSource configuration,
      AccountLimiter limiter,
      BillLedger ledger,
      RuntimeClock clock) {
    this.configuration = configuration;
    this.limiter = limiter;
    this.ledger = ledger;
    this.clock = clock;
  }

  @Override
  public void apply(Exchange exchange, Next next) throws RequestFailedException {
    ActiveConfiguration active =
        configuration
            .current()
            .orElseThrow(
                () -> refusal(RefusalReason.NOT_READY, "no configuration has been loaded yet"));
    ClientAccount account =
        active
            .access()
            .accountForApiKey(exchange.request().apiKeySha256())
            .orElseThrow(() -> refusal(RefusalReason.UNAUTHENTICATED, "unknown API key"));
    exchange.account = account;
    exchange.requestClass = requestClass(active.document(), exchange.request().requestClass());
    long deadlineMillis =
        exchange.request().deadlineMillis().orElse(exchange.requestClass.deadlineMillis());
    exchange.deadlineNanos = exchange.receivedNanos() + deadlineMillis * NANOS_PER_MILLI;
    authorise(active, account, exchange);
    requireLedgerCapacity();
    acquireLimit(account, exchange);
    next.proceed();
  }

  private static RequestClass requestClass(RouterConfiguration document, String name)
      throws RequestFailedException {
    if (name.isEmpty()) {
      return document.classes().stream()
          .max(Comparator.comparingInt(RequestClass::priority))
          .orElseThrow(() -> refusal(RefusalReason.NOT_READY, "no request class is configured"));
    }
    return document
        .requestClass(name)
        .orElseThrow(
            () -> refusal(RefusalReason.MALFORMED_REQUEST, "unknown request class " + name));
  }

  private static void authorise(
      ActiveConfiguration active, ClientAccount account, Exchange exchange)
      throws RequestFailedException {
    AccessPolicy access = active.access();
    String target = exchange.request().target();
    if (exchange.request().kind() == CallerRequest.Kind.ROUTE) {
      exchange.route =
          active
              .document()
              .route(target)
              .orElseThrow(() -> refusal(RefusalReason.UNKNOWN_ROUTE, "unknown route " + target));
      if (!access.allowsRoute(account, target)) {
        throw refusal(RefusalReason.ROUTE_NOT_ALLOWED, "account may not use route " + target);
      }
      return;
    }
    boolean targetExists =
        active.document().cascade(target).isPresent()
            || active.document().model(target).isPresent();
    if (!targetExists) {
      throw refusal(RefusalReason.UNKNOWN_MODEL, "unknown model or cascade " + target);
    }
    if (!account.cascades().contains(target) && !access.allowsModel(account, target)) {
      throw refusal(RefusalReason.MODEL_NOT_ALLOWED, "account may not use " + target);
    }
  }

  /**
   * Refuses the request while the ledger is full: work whose bill cannot be kept must not start.
   */
  private void requireLedgerCapacity() throws RequestFailedException {
    if (!ledger.hasCapacity()) {
      throw RequestFailedException.notRun(
          RefusalReason.OVERLOADED,
          "too many bill records are waiting to be stored",
          FULL_LEDGER_RETRY_AFTER);
    }
  }

  private void acquireLimit(ClientAccount account, Exchange exchange)
      throws RequestFailedException {
    Admission admission = limiter.tryAcquire(account.name(), account.limits(), clock.nanoTime());
    if (!admission.admitted()) {
      Duration retryAfter = admission.retryAfter();
      throw RequestFailedException.notRun(
          RefusalReason.LIMIT_EXCEEDED, "account limit reached: " + admission.cause(), retryAfter);
    }
    exchange.limiterPermitHeld = true;
  }

  private static RequestFailedException refusal(RefusalReason reason, String message) {
    return RequestFailedException.notRun(reason, message);
  }
}
