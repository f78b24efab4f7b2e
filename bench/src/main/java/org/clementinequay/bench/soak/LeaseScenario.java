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
 * Processes compete for a lease and send orders to two upstreams, of which one ignores fencing
 * numbers. Events: {@code held} (a process has a new fencing number) and {@code applied} (an order
 * took effect; the number is the true fencing number of its sender, the detail says whether the
 * sender was frozen between its check and the departure of the order).
 */
final class LeaseScenario {
  private static final int CANDIDATES = 4;
  private static final String DUTY = "duty";

  /** One step in this number releases the lease; its orders may then still be in flight. */
  private static final int RELEASE_ODDS = 60;

  private static final String FROZEN = "frozen";
  private static final Duration STEP = Duration.ofMillis(500);

  /** Rates of clocks stay within a ratio of a fifth, which the take-over margin tolerates. */
  private static final double LARGEST_RATE_ERROR = 0.08;

  /** Longest time from the check of the lease until the order leaves; below the order margin. */
  private static final Duration LONGEST_DEPARTURE = Duration.ofMillis(800);

  private static final long TARGET_INTERVAL_NANOS = Duration.ofSeconds(3).toNanos();
  private static final Duration LONGEST_FLIGHT = Duration.ofSeconds(9);

  private final SoakRun run;
  private final List<Candidate> candidates = new ArrayList<>();
  private final Map<String, Target> targets = new HashMap<>();
  private final VirtualScheduler.Process network;
  private List<String> lastViolation = List.of();
  private int started;
  private long orders;

  LeaseScenario(SoakRun run) {
    this.run = run;
    network = run.scheduler().process("network");
  }

  void execute() {
    for (boolean checksFencing : new boolean[] {true, false}) {
      Target target = new Target(checksFencing ? "checking" : "ignoring", checksFencing);
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
    Candidate candidate = new Candidate("candidate" + started++);
    candidates.add(candidate);
    candidate.process.start("lease", candidate::holdLease);
    candidate.process.start("orders", candidate::sendOrders);
  }

  private void restart(VirtualScheduler.Process victim) {
    victim.kill();
    candidates.removeIf(candidate -> candidate.process == victim);
    start();
  }

  /** Half of the faults hit the holder, because faults of others seldom matter. */
  private List<VirtualScheduler.Process> victims() {
    List<Candidate> holders = holders();
    boolean aimed = !holders.isEmpty() && run.random().nextBoolean();
    return (aimed ? holders : candidates).stream().map(c -> c.process).toList();
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
      run.violate("valid lease holders at " + run.scheduler().nowNanos() + ": " + names);
    }
  }

  private void checkOrders() {
    Map<String, Long> last = new HashMap<>();
    for (History.Event event : run.history().events("applied")) {
      boolean checking = targets.get(event.key()).checksFencing;
      // Only the upstream itself can stop an order whose sender was frozen after its check.
      if (!checking && event.detail().equals(FROZEN)) {
        continue;
      }
      Long before = last.put(event.key(), event.number());
      if (before != null && event.number() < before) {
        run.violate("order of a former holder took effect after " + before + ": " + event);
      }
    }
  }

  private void checkEnd() {
    List<Candidate> holders = holders();
    if (holders.size() != 1) {
      run.violate(holders.size() + " holders at the end");
      return;
    }
    Set<String> wanted = holders.get(0).wanted();
    for (Target target : targets.values()) {
      if (!target.state.equals(wanted)) {
        run.violate(target.name + " ends with " + target.state + " instead of " + wanted);
      }
    }
  }

  /** An upstream that takes orders. */
  private static final class Target {
    final String name;
    final boolean checksFencing;
    Set<String> state = Set.of();
    long highest;

    Target(String name, boolean checksFencing) {
      this.name = name;
      this.checksFencing = checksFencing;
    }
  }

  private final class Candidate {
    final VirtualScheduler.Process process;
    final RuntimeClock clock;
    final LeaseCandidate lease;
    final FencedOrders fenced;
    final boolean preferred = run.random().nextBoolean();
    boolean stopping;
    boolean ordering;

    Candidate(String name) {
      process = run.scheduler().process(name);
      double error = LARGEST_RATE_ERROR * (2 * run.random().nextDouble() - 1);
      process.clockRate(1 + error);
      RuntimeClock own = process.clock();
      clock = run.mutated(Mutant.LEASE_ON_WALL_CLOCK) ? new WallClock(own) : own;
      TableService table = run.platform().table();
      boolean unconditional = run.mutated(Mutant.LEASE_WITHOUT_COMPARE);
      LeaseStore store =
          new LeaseStore(unconditional ? MutatedTable.unconditional(table, write -> true) : table);
      lease = new LeaseCandidate(store, DUTY, Incarnation.random(run.random()), terms(), clock);
      boolean noMargin = run.mutated(Mutant.GUARD_WITHOUT_MARGIN);
      Duration margin = noMargin ? Duration.ofNanos(1) : terms().orderMargin();
      LeaseGuard guard = new LeaseGuard(DUTY, lease::lease, margin);
      fenced = new FencedOrders(guard, new Port(this), () -> "order" + orders++);
    }

    private LeaseTiming terms() {
      LeaseTiming terms = LeaseTiming.PRODUCTION;
      return run.mutated(Mutant.TAKE_OVER_WITHOUT_MARGIN)
          ? new LeaseTiming(
              terms.duration(),
              terms.renewalInterval(),
              Duration.ZERO,
              terms.nonPreferredDelay(),
              terms.orderMargin())
          : terms;
    }

    /** Each process has target states of its own, which change until faults end. */
    Set<String> wanted() {
      long now = Math.min(run.scheduler().nowNanos(), run.quietFromNanos());
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
          // The lease stays valid until its time is over.
        }
        run.scheduler().sleep(STEP);
        stopping = !run.quiet() && fencing > 0 && run.random().nextInt(RELEASE_ODDS) == 0;
      }
      run.scheduler().await(() -> !ordering, FencedOrders.MAX_ORDER_DURATION.multipliedBy(2));
      try {
        lease.release();
        run.history().add(process.name(), "released", DUTY, fencing, "");
      } catch (PlatformException e) {
        // The lease ends by itself.
      }
      restart(process);
    }

    void sendOrders() {
      while (!stopping) {
        run.sleepUpTo(STEP.multipliedBy(2));
        for (Target target : targets.values()) {
          ordering = true;
          try {
            fenced.reconcile(upstream(target), wanted());
          } catch (LeaseNotHeldException | OrderFailedException e) {
            // The next turn tries again.
          }
          ordering = false;
        }
      }
    }

    private Upstream upstream(Target target) {
      boolean marked = target.checksFencing || run.mutated(Mutant.NO_WAIT_FOR_FORMER_ORDERS);
      return new Upstream(
          target.name, UpstreamKind.ENGINE, "127.0.0.1:1", "domain", List.of(), 1, marked);
    }
  }

  private final class Port implements OrderPort {
    private final Candidate sender;
    private final Map<String, Set<String>> ordered = new HashMap<>();

    Port(Candidate sender) {
      this.sender = sender;
    }

    @Override
    public Set<String> versions(Upstream upstream) throws OrderFailedException {
      Set<String> own = ordered.get(upstream.name());
      if (run.mutated(Mutant.NO_READ_BACK_OF_STATE) && own != null) {
        return own;
      }
      run.platform().travel();
      if (sender.process.partitioned()) {
        throw new OrderFailedException("partitioned", null);
      }
      Set<String> state = targets.get(upstream.name()).state;
      run.platform().travel();
      return state;
    }

    @Override
    public boolean send(Upstream upstream, Order order) throws OrderFailedException {
      Lease lease = sender.lease.lease().orElseThrow();
      int pauses = sender.process.pauses();
      run.sleepUpTo(LONGEST_DEPARTURE);
      boolean frozen = sender.process.pauses() != pauses;
      if (!frozen && lease.remaining().isZero()) {
        run.violate("order left after the end of the lease: " + order);
      }
      boolean lost = !run.quiet() && run.random().nextInt(10) == 0;
      if (sender.process.partitioned() || lost) {
        throw new OrderFailedException("the order was lost", null);
      }
      Target target = targets.get(upstream.name());
      List<Boolean> answers = new ArrayList<>();
      Duration flight =
          run.quiet() || run.random().nextBoolean() ? Duration.ofMillis(5) : LONGEST_FLIGHT;
      network.start(
          order.orderId(),
          () -> {
            run.sleepUpTo(flight);
            answers.add(apply(target, order, lease.fencingNumber(), frozen));
          });
      run.scheduler().await(() -> !answers.isEmpty(), FencedOrders.ORDER_TIMEOUT);
      if (answers.isEmpty()) {
        throw new OrderFailedException("no answer in time", null);
      }
      ordered.put(upstream.name(), order.versions());
      return answers.get(0);
    }

    private boolean apply(Target target, Order order, long trueFencing, boolean frozen) {
      boolean unfenced = run.mutated(Mutant.ORDERS_WITHOUT_FENCING);
      long claimed = unfenced ? Long.MAX_VALUE : order.fencingNumber();
      if (target.checksFencing && claimed < target.highest) {
        return false;
      }
      target.highest = claimed;
      target.state = order.versions();
      String detail = frozen ? FROZEN : "";
      run.history().add(sender.process.name(), "applied", target.name, trueFencing, detail);
      return true;
    }
  }

  /** Measures durations by the wall clock. */
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
