package org.clementinequay.server.gateway;

import java.util.Optional;
import java.util.Set;

/**
 * Counts one request towards the demand of its account, and lowers its urgency while the account is
 * beyond its share. Guarded by the lock of the request.
 */
final class AccountShareStep {
  /** Urgency of requests beyond a share; engines admit the others first. */
  static final int LOWEST_URGENCY = 9;

  private static final double MEDIAN = 0.5;

  /** Share of the objective; queues grow if usual answers need longer. */
  private static final double CONTENDED_OBJECTIVES = 0.5;

  private final RequestForwarder forwarder;
  private final Gateway gateway;
  private final Optional<String> account;
  private double workMillis;
  private boolean counted;
  private boolean served;

  AccountShareStep(RequestForwarder forwarder, Optional<String> account) {
    this.forwarder = forwarder;
    this.gateway = forwarder.gateway;
    this.account = account;
  }

  /** Counts the request, which may be rejected or wait; further attempts are not counted. */
  void recordRequest() {
    if (counted || account.isEmpty() || !gateway.accountShares.active()) {
      return;
    }
    counted = true;
    workMillis = forwarder.placement.workMillis();
    long now = gateway.clock.nanoTime();
    if (contended(now)) {
      gateway.accountShares.recordContention(now);
    }
    gateway.accountShares.recordRequest(account.get(), workMillis, now);
  }

  /** Records that an engine began to answer the request. */
  void recordServed() {
    if (counted && !served) {
      served = true;
      gateway.accountShares.recordServed(workMillis, gateway.clock.nanoTime());
    }
  }

  /** Returns the urgency of the request, which has the given one within the share. */
  int urgency(int withinShare) {
    long now = gateway.clock.nanoTime();
    if (account.isEmpty() || !gateway.accountShares.exceedsShare(account.get(), now)) {
      return withinShare;
    }
    if (gateway.accountShares.tryLog(account.get(), now)) {
      forwarder.log("over_share", "account", account.get(), "urgency", withinShare);
    }
    return LOWEST_URGENCY;
  }

  /** Returns whether an engine was full moments ago or usual answers are near their objective. */
  private boolean contended(long nowNanos) {
    long objective = forwarder.route.latencyObjectiveMillis();
    Set<String> full = gateway.fullUpstreams.allFull(nowNanos);
    if (gateway.available(forwarder.service).stream().anyMatch(i -> full.contains(i.id()))) {
      return true;
    }
    return forwarder.route.kind().streaming()
        && objective > 0
        && gateway.firstEventTimes.quantile(forwarder.service, MEDIAN, nowNanos)
            > CONTENDED_OBJECTIVES * objective;
  }
}
