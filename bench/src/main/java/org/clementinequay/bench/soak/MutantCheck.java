package org.clementinequay.bench.soak;

import java.util.Optional;

/**
 * Result of checking whether a scenario detects a disabled mechanism.
 *
 * @param mutant the disabled mechanism
 * @param caught whether a run had a violation that the unchanged code does not have
 * @param seed first seed that caught it, or the last one tried
 * @param violation first violation, or an empty string if not caught
 */
public record MutantCheck(Mutant mutant, boolean caught, long seed, String violation) {
  /** Number of seeds to try before a mutant counts as not caught. */
  public static final int DEFAULT_SEEDS = 40;

  /** Tries consecutive seeds until one catches the mutant. */
  public static MutantCheck run(Mutant mutant, long firstSeed, int seeds) {
    for (long seed = firstSeed; seed < firstSeed + seeds; seed++) {
      SoakRun.Result result = mutant.scenario().run(seed, Optional.of(mutant));
      if (!result.violations().isEmpty() && passesWithoutMutant(mutant, seed)) {
        return new MutantCheck(mutant, true, seed, result.violations().get(0));
      }
    }
    return new MutantCheck(mutant, false, firstSeed + seeds - 1, "");
  }

  /**
   * Returns whether the unchanged code passes; otherwise the violation is not due to the mutant.
   */
  private static boolean passesWithoutMutant(Mutant mutant, long seed) {
    return mutant.scenario().run(seed, Optional.empty()).violations().isEmpty();
  }

  @Override
  public String toString() {
    return String.format(
        "%-16s %-32s %-10s seed %d %s",
        mutant.scenario().label(),
        mutant.label(),
        caught ? "caught" : "NOT CAUGHT",
        seed,
        violation);
  }
}
