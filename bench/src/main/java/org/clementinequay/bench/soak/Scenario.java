package org.clementinequay.bench.soak;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Workloads that run the production coordination code, with checks of their histories. */
public enum Scenario {
  /** Operators submit concurrent configuration changes while hosts read the configuration. */
  CONFIGURATION(Duration.ofSeconds(120), Duration.ofSeconds(40)) {
    @Override
    void execute(SoakRun run) throws Exception {
      new ConfigurationScenario(run).execute();
    }
  },
  /** Callers on several hosts share idempotency keys while hosts are killed. */
  CLAIMS(Duration.ofSeconds(60), Duration.ofSeconds(100)) {
    @Override
    void execute(SoakRun run) throws Exception {
      new ClaimScenario(run).execute();
    }
  },
  /** Processes whose clocks differ compete for a lease and send orders to upstreams under it. */
  LEASES(Duration.ofSeconds(300), Duration.ofSeconds(60)) {
    @Override
    void execute(SoakRun run) throws Exception {
      new LeaseScenario(run).execute();
    }
  },
  /** Hosts copy and seal bill records while one host at a time is killed. */
  BILLING(Duration.ofSeconds(200), Duration.ofSeconds(60)) {
    @Override
    void execute(SoakRun run) throws Exception {
      new BillingScenario(run).execute();
    }
  };

  private final Duration faults;
  private final Duration recovery;

  Scenario(Duration faults, Duration recovery) {
    this.faults = faults;
    this.recovery = recovery;
  }

  /** Starts processes, runs them to the end and checks the history. */
  abstract void execute(SoakRun run) throws Exception;

  /** Returns the name on the command line, in lower case. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }

  /** Returns the scenario with this name on the command line; empty if there is none. */
  public static Optional<Scenario> fromLabel(String label) {
    return Arrays.stream(values()).filter(scenario -> scenario.label().equals(label)).findFirst();
  }

  /** Runs the scenario once; an exception of the scenario counts as a violation. */
  public SoakRun.Result run(long seed, Optional<Mutant> mutant) {
    try (SoakRun run = new SoakRun(seed, faults, recovery, mutant)) {
      try {
        execute(run);
      } catch (Exception e) {
        run.addViolation("the scenario failed: " + e);
      }
      return run.result();
    }
  }

  public List<Mutant> mutants() {
    return Arrays.stream(Mutant.values()).filter(mutant -> mutant.scenario() == this).toList();
  }
}
