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
  private static final Duration STORE_RETRY = Duration.ofSeconds(10);
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final ConfigurationSource configuration;
  private final AccountLimiter limiter;
  private final BillLedger ledger;
  private final RuntimeClock clock;

  /** Creates the stage. */
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
            .orElseThrow(() -> refused(RefusalReason.NOT_READY, "no configuration yet"));
    ClientAccount account =
        active
            .access()
            .accountForApiKey(exchange.request().apiKeySha256())
            .orElseThrow(() -> refused(RefusalReason.UNAUTHENTICATED, "unknown API key"));
    exchange.account = account;
    exchange.requestClass = requestClass(active.document(), exchange.request().requestClass());
    long deadlineMillis =
        exchange.request().deadlineMillis().orElse(exchange.requestClass.deadlineMillis());
    exchange.deadlineNanos = exchange.receivedNanos() + deadlineMillis * NANOS_PER_MILLI;
    authorise(active, account, exchange);
    requireRoomForBill();
    limit(account, exchange);
    next.proceed();
  }

  private static RequestClass requestClass(RouterConfiguration document, String name)
      throws RequestFailedException {
    if (name.isEmpty()) {
      return document.classes().stream()
          .max(Comparator.comparingInt(RequestClass::priority))
          .orElseThrow(() -> refused(RefusalReason.NOT_READY, "no request class is configured"));
    }
    return document
        .requestClass(name)
        .orElseThrow(
            () -> refused(RefusalReason.MALFORMED_REQUEST, "unknown request class " + name));
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
              .orElseThrow(() -> refused(RefusalReason.UNKNOWN_ROUTE, "unknown route " + target));
      if (!access.allowsRoute(account, target)) {
        throw refused(RefusalReason.ROUTE_NOT_ALLOWED, "account may not use route " + target);
      }
      return;
    }
    boolean known =
        active.document().cascade(target).isPresent()
            || active.document().model(target).isPresent();
    if (!known) {
      throw refused(RefusalReason.UNKNOWN_MODEL, "unknown model or cascade " + target);
    }
    if (!account.cascades().contains(target) && !access.allowsModel(account, target)) {
      throw refused(RefusalReason.MODEL_NOT_ALLOWED, "account may not use " + target);
    }
  }

  /** Work whose bill could not be kept must not start. */
  private void requireRoomForBill() throws RequestFailedException {
    if (!ledger.hasCapacity()) {
      throw RequestFailedException.notRun(
          RefusalReason.OVERLOADED, "too many bill records wait for the store", STORE_RETRY);
    }
  }

  private void limit(ClientAccount account, Exchange exchange) throws RequestFailedException {
    Admission admission = limiter.tryAcquire(account.name(), account.limits(), clock.nanoTime());
    if (!admission.admitted()) {
      Duration retryAfter = admission.retryAfter();
      throw RequestFailedException.notRun(
          RefusalReason.LIMIT_EXCEEDED, "account limit reached: " + admission.cause(), retryAfter);
    }
    exchange.limitHeld = true;
  }

  private static RequestFailedException refused(RefusalReason reason, String message) {
    return RequestFailedException.notRun(reason, message);
  }
}
