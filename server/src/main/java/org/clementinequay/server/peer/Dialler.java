package org.clementinequay.server.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.clementinequay.core.platform.HostEntry;

/**
 * Decides when to open a connection to which host. Attempts to one host are spaced by a jittered
 * exponential back-off, so that hosts that lost their links together do not return together. Used
 * by one thread.
 */
final class Dialler {
  private static final int MAX_DOUBLINGS = 10;

  private final String self;
  private final PeerTimings timings;
  private final RandomGenerator random;
  private final Map<String, Attempts> attempts = new HashMap<>();

  /**
   * Creates a dialler without targets.
   *
   * @param self name of this host
   */
  Dialler(String self, PeerTimings timings, RandomGenerator random) {
    this.self = self;
    this.timings = timings;
    this.random = random;
  }

  /** Attempts to reach one host. */
  private static final class Attempts {
    private PeerLink current;
    private int failures;
    private long notBeforeNanos;
  }

  /**
   * Opens connections to the targets that have no link and whose back-off is over.
   *
   * @param isLinked whether a host has a link
   * @param open starts to open a connection
   */
  void dial(
      List<HostEntry> targets,
      Predicate<String> isLinked,
      Function<HostEntry, PeerLink> open,
      long nowNanos) {
    for (HostEntry target : targets) {
      Attempts state = attempts.computeIfAbsent(target.name(), name -> first(name, nowNanos));
      if (isLinked.test(target.name())) {
        state.failures = 0;
        state.notBeforeNanos =
            nowNanos + jittered(timings.initialBackOff()).plus(delay(target.name())).toNanos();
      } else if (isDue(state, nowNanos)) {
        state.notBeforeNanos = nowNanos + jittered(backOff(state.failures)).toNanos();
        state.failures++;
        state.current = open.apply(target);
      }
    }
    attempts.keySet().retainAll(targets.stream().map(HostEntry::name).collect(Collectors.toSet()));
  }

  private Attempts first(String target, long nowNanos) {
    Attempts state = new Attempts();
    state.notBeforeNanos = nowNanos + delay(target).toNanos();
    return state;
  }

  private Duration delay(String target) {
    return self.compareTo(target) > 0 ? timings.secondDialDelay() : Duration.ZERO;
  }

  private static boolean isDue(Attempts state, long nowNanos) {
    boolean busy = state.current != null && !state.current.isEnded();
    return !busy && nowNanos - state.notBeforeNanos >= 0;
  }

  private Duration backOff(int failures) {
    Duration grown = timings.initialBackOff().multipliedBy(1L << Math.min(failures, MAX_DOUBLINGS));
    return grown.compareTo(timings.maxBackOff()) < 0 ? grown : timings.maxBackOff();
  }

  private Duration jittered(Duration mean) {
    return Duration.ofNanos((long) (mean.toNanos() * (0.5 + random.nextDouble())));
  }
}
