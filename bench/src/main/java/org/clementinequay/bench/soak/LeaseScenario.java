package org.clementinequay.bench.soak;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.core.config.UpstreamKind;
import org.clementinequay.core.lease.FencedOrders;
import org.clementinequay.core.lease.Lease;
import org.clementinequay.core.lease.LeaseCandidate;
import org.clementinequay.core.lease.LeaseGuard;
import org.clementinequay.core.lease.LeaseNotHeldException;
import org.clementinequay.core.lease.LeaseStore;
import org.clementinequay.core.lease.LeaseTiming;
import org.clementinequay.core.lease.Order;
import org.clementinequay.core.lease.OrderFailedException;
import org.clementinequay.core.lease.OrderPort;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.TableService;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Runs processes that compete for a lease and send orders to two upstreams, one of which ignores
 * fencing numbers. History events: {@code held} (a process has a new fencing number), {@code
 * released} (a holder gave up the lease) and {@code applied} (an order took effect; the number is
 * the fencing number of the lease of its sender; the detail says whether the sender was paused
 * between its check of the lease and the departure of the order).
 */
final class LeaseScenario {
  private static final int CANDIDATES = 4;
  private static final String DUTY = "duty";

  /** One of this many steps releases the lease while orders may still be in flight. */
  private static final int RELEASE_ODDS = 60;

  private static final String FROZEN = "frozen";
  private static final Duration STEP_INTERVAL = Duration.ofMillis(500);

  /** Keeps the ratio of two clock rates below 1.2, which the take-over margin tolerates. */
  private static final double MAX_CLOCK_RATE_ERROR = 0.08;

  /**
   * Upper bound of the time from the check of the lease until the order leaves; below the order
   * margin.
   */
  private static final Duration MAX_SEND_DELAY = Duration.ofMillis(800);

  private static final long TARGET_INTERVAL_NANOS = Duration.ofSeconds(3).toNanos();
  private static final Duration MAX_ORDER_DELAY = Duration.ofSeconds(9);

  private final SoakRun run;
  private final List<Candidate> candidates = new ArrayList<>();
  private final Map<String, SimulatedUpstream> targets = new HashMap<>();
  private final VirtualScheduler.Process network;
  private List<String> lastViolation = List.of();
  private int startedCount;
  private long orderCount;

  LeaseScenario(SoakRun run) {
    this.run = run;
    network = run.scheduler().process("network");
  }

  void execute() {
    for (boolean checksFencing : new boolean[] {true, false}) {
      SimulatedUpstream target =
          new SimulatedUpstream(checksFencing ? "checking" : "ignoring", checksFencing);
      targets.put(target.name, target);
    }
    for (int i = 0; i < CANDIDATES; i++) {
      start();
    }
    new ProcessFaults(run, this::victims, this::restart)
        .start(2, List.of(ProcessFaults.Kind.values()));
    run.scheduler().observe(this::checkHolders);
    run.runToEnd();
    checkOrders();
    checkEnd();
  }

  private void start() {
    Candidate candidate = new Candidate("candidate" + startedCount++);
    candidates.add(candidate);
    candidate.process.start("lease", candidate::holdLease);
    candidate.process.start("orders", candidate::sendOrders);
  }

  private void restart(VirtualScheduler.Process victim) {
    victim.kill();
    candidates.removeIf(candidate -> candidate.process == victim);
    start();
  }

  /** Aims half of the faults at lease holders, because faults of other candidates rarely matter. */
  private List<VirtualScheduler.Process> victims() {
    List<Candidate> holders = holders();
    boolean aimAtHolder = !holders.isEmpty() && run.random().nextBoolean();
    return (aimAtHolder ? holders : candidates).stream().map(c -> c.process).toList();
  }

  private List<Candidate> holders() {
    return candidates.stream()
        .filter(c -> c.lease.lease().map(lease -> !lease.remaining().isZero()).orElse(false))
        .toList();
  }

  private void checkHolders() {
    List<String> names = holders().stream().map(c -> c.process.name()).toList();
    if (names.size() > 1 && !names.equals(lastViolation)) {
      lastViolation = names;
      run.addViolation(
          "more than one valid lease holder at (ns) " + run.scheduler().nowNanos() + ": " + names);
    }
  }

  private void checkOrders() {
    Map<String, Long> lastFencing = new HashMap<>();
    for (History.Event event : run.history().events("applied")) {
      boolean checksFencing = targets.get(event.key()).checksFencing;
      // Only an upstream that checks fencing can reject an order whose sender was paused after it
      // checked its lease.
      if (!checksFencing && event.detail().equals(FROZEN)) {
        continue;
      }
      Long before = lastFencing.put(event.key(), event.number());
      if (before != null && event.number() < before) {
        run.addViolation("order of a former holder took effect after " + before + ": " + event);
      }
    }
  }

  private void checkEnd() {
    List<Candidate> holders = holders();
    if (holders.size() != 1) {
      run.addViolation(holders.size() + " lease holders at the end of the run");
      return;
    }
    Set<String> targetVersions = holders.get(0).targetVersions();
    for (SimulatedUpstream target : targets.values()) {
      if (!target.state.equals(targetVersions)) {
        run.addViolation(
            target.name + " ends with " + target.state + " instead of " + targetVersions);
      }
    }
  }

  private static final class SimulatedUpstream {
    final String name;
    final boolean checksFencing;
    Set<String> state = Set.of();
    long highestFencing;

    SimulatedUpstream(String name, boolean checksFencing) {
      this.name = name;
      this.checksFencing = checksFencing;
    }
  }

  private final class Candidate {
    final VirtualScheduler.Process process;
    final RuntimeClock clock;
    final LeaseCandidate lease;
    final FencedOrders fencedOrders;
    final boolean preferred = run.random().nextBoolean();
    boolean stopping;
    boolean ordering;

    Candidate(String name) {
      process = run.scheduler().process(name);
      double error = MAX_CLOCK_RATE_ERROR * (2 * run.random().nextDouble() - 1);
      process.clockRate(1 + error);
      RuntimeClock processClock = process.clock();
      clock =
          run.hasMutant(Mutant.LEASE_ON_WALL_CLOCK) ? new WallClock(processClock) : processClock;
      TableService table = run.platform().table();
      boolean unconditional = run.hasMutant(Mutant.LEASE_WITHOUT_COMPARE);
      LeaseStore store =
          new LeaseStore(
              unconditional ? MutatedTable.ignoreExpectedVersions(table, write -> true) : table);
      lease = new LeaseCandidate(store, DUTY, Incarnation.random(run.random()), timing(), clock);
      boolean noMargin = run.hasMutant(Mutant.GUARD_WITHOUT_MARGIN);
      Duration margin = noMargin ? Duration.ofNanos(1) : timing().orderMargin();
      LeaseGuard guard = new LeaseGuard(DUTY, lease::lease, margin);
      fencedOrders =
          new FencedOrders(guard, new SimulatedOrderPort(this), () -> "order" + orderCount++);
    }

    private LeaseTiming timing() {
      LeaseTiming timing = LeaseTiming.PRODUCTION;
      return run.hasMutant(Mutant.TAKE_OVER_WITHOUT_MARGIN)
          ? new LeaseTiming(
              timing.duration(),
              timing.renewalInterval(),
              Duration.ZERO,
              timing.nonPreferredDelay(),
              timing.orderMargin())
          : timing;
    }

    /**
     * Returns the versions that this process orders; they differ by process and change until the
     * end of faults.
     */
    Set<String> targetVersions() {
      long now = Math.min(run.scheduler().nowNanos(), run.faultsEndNanos());
      return Set.of(process.name() + "@" + now / TARGET_INTERVAL_NANOS);
    }

    void holdLease() {
      long fencing = 0;
      while (!stopping) {
        try {
          if (lease.step(preferred)) {
            long current = lease.lease().map(Lease::fencingNumber).orElse(0L);
            if (current != fencing) {
              fencing = current;
              run.history().add(process.name(), "held", DUTY, fencing, "");
            }
          }
        } catch (PlatformException e) {
          // The lease stays valid until it expires.
        }
        run.scheduler().sleep(STEP_INTERVAL);
        stopping = !run.faultsEnded() && fencing > 0 && run.random().nextInt(RELEASE_ODDS) == 0;
      }
      run.scheduler().await(() -> !ordering, FencedOrders.MAX_ORDER_DURATION.multipliedBy(2));
      try {
        lease.release();
        run.history().add(process.name(), "released", DUTY, fencing, "");
      } catch (PlatformException e) {
        // The lease expires without a release.
      }
      restart(process);
    }

    void sendOrders() {
      while (!stopping) {
        run.sleepUpTo(STEP_INTERVAL.multipliedBy(2));
        for (SimulatedUpstream target : targets.values()) {
          ordering = true;
          try {
            fencedOrders.reconcile(upstream(target), targetVersions());
          } catch (LeaseNotHeldException | OrderFailedException e) {
            // The next iteration retries.
          }
          ordering = false;
        }
      }
    }

    private Upstream upstream(SimulatedUpstream target) {
      boolean declaresFencing =
          target.checksFencing || run.hasMutant(Mutant.NO_WAIT_FOR_FORMER_ORDERS);
      return new Upstream(
          target.name, UpstreamKind.ENGINE, "127.0.0.1:1", "domain", List.of(), 1, declaresFencing);
    }
  }

  private final class SimulatedOrderPort implements OrderPort {
    private final Candidate sender;
    private final Map<String, Set<String>> lastSentVersions = new HashMap<>();

    SimulatedOrderPort(Candidate sender) {
      this.sender = sender;
    }

    @Override
    public Set<String> versions(Upstream upstream) throws OrderFailedException {
      Set<String> sent = lastSentVersions.get(upstream.name());
      if (run.hasMutant(Mutant.NO_READ_BACK_OF_STATE) && sent != null) {
        return sent;
      }
      run.platform().delayMessage();
      if (sender.process.partitioned()) {
        throw new OrderFailedException("partitioned", null);
      }
      Set<String> state = targets.get(upstream.name()).state;
      run.platform().delayMessage();
      return state;
    }

    @Override
    public boolean send(Upstream upstream, Order order) throws OrderFailedException {
      Lease lease = sender.lease.lease().orElseThrow();
      int pauses = sender.process.pauses();
      run.sleepUpTo(MAX_SEND_DELAY);
      boolean frozen = sender.process.pauses() != pauses;
      if (!frozen && lease.remaining().isZero()) {
        run.addViolation("order sent after the lease expired: " + order);
      }
      boolean lost = !run.faultsEnded() && run.random().nextInt(10) == 0;
      if (sender.process.partitioned() || lost) {
        throw new OrderFailedException("the order was lost", null);
      }
      SimulatedUpstream target = targets.get(upstream.name());
      List<Boolean> answers = new ArrayList<>();
      Duration maxOrderDelay =
          run.faultsEnded() || run.random().nextBoolean() ? Duration.ofMillis(5) : MAX_ORDER_DELAY;
      network.start(
          order.orderId(),
          () -> {
            run.sleepUpTo(maxOrderDelay);
            answers.add(apply(target, order, lease.fencingNumber(), frozen));
          });
      run.scheduler().await(() -> !answers.isEmpty(), FencedOrders.ORDER_TIMEOUT);
      if (answers.isEmpty()) {
        throw new OrderFailedException("no answer in time", null);
      }
      lastSentVersions.put(upstream.name(), order.versions());
      return answers.get(0);
    }

    private boolean apply(
        SimulatedUpstream target, Order order, long senderFencing, boolean frozen) {
      boolean fencingDisabled = run.hasMutant(Mutant.ORDERS_WITHOUT_FENCING);
      long sentFencing = fencingDisabled ? Long.MAX_VALUE : order.fencingNumber();
      if (target.checksFencing && sentFencing < target.highestFencing) {
        return false;
      }
      target.highestFencing = sentFencing;
      target.state = order.versions();
      String detail = frozen ? FROZEN : "";
      run.history().add(sender.process.name(), "applied", target.name, senderFencing, detail);
      return true;
    }
  }

  /** Clock whose monotonic time follows the wall clock. */
  private record WallClock(RuntimeClock clock) implements RuntimeClock {
    @Override
    public Instant now() {
      return clock.now();
    }

    @Override
    public long nanoTime() {
      return Duration.between(VirtualScheduler.START, clock.now()).toNanos();
    }

    @Override
    public void sleep(Duration duration) throws InterruptedException {
      clock.sleep(duration);
    }
  }
}
