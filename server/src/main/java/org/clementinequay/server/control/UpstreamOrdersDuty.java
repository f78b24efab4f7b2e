package org.clementinequay.server.control;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.core.config.UpstreamKind;
import org.clementinequay.core.lease.FencedOrders;
import org.clementinequay.core.lease.LeaseGuard;
import org.clementinequay.core.lease.LeaseNotHeldException;
import org.clementinequay.core.lease.OrderFailedException;
import org.clementinequay.core.lease.OrderPort;

/**
 * Orders the engines of one failure domain to serve the versions that the configuration lists for
 * them. With one lease for each domain there are few renewals, and the orders for a domain come
 * from within it while it is partitioned from the others.
 */
public final class UpstreamOrdersDuty implements LeasedDuty {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private final String domain;
  private final Supplier<List<Upstream>> upstreams;
  private final OrderPort port;

  /**
   * Creates the duty.
   *
   * @param upstreams returns the upstreams of the configuration in force
   */
  public UpstreamOrdersDuty(String domain, Supplier<List<Upstream>> upstreams, OrderPort port) {
    this.domain = domain;
    this.upstreams = upstreams;
    this.port = port;
  }

  @Override
  public String name() {
    return "orders/" + domain;
  }

  @Override
  public void runOnce(LeaseGuard guard) {
    FencedOrders orders = new FencedOrders(guard, port, () -> UUID.randomUUID().toString());
    for (Upstream upstream : upstreams.get()) {
      if (upstream.kind() == UpstreamKind.ENGINE && upstream.domain().equals(domain)) {
        reconcile(orders, upstream);
      }
    }
  }

  private void reconcile(FencedOrders orders, Upstream upstream) {
    try {
      FencedOrders.Result result = orders.reconcile(upstream, Set.copyOf(upstream.serves()));
      if (result == FencedOrders.Result.ORDERED) {
        logger.atInfo().log("ordered %s to serve %s", upstream.name(), upstream.serves());
      }
    } catch (LeaseNotHeldException e) {
      logger.atInfo().log("not sending an order to %s: %s", upstream.name(), e.getMessage());
    } catch (OrderFailedException e) {
      logger.atWarning().atMostEvery(10, TimeUnit.SECONDS).log(
          "order to %s failed: %s", upstream.name(), e.getMessage());
    }
  }
}
