package org.clementinequay.server.peer;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.clementinequay.core.platform.HostEntry;

/**
 * Decides when to open a connection to which host. DialState to one host are spaced by a jittered
 * exponential back-off, so that hosts that lost their links at the same time do not all reconnect
 * at the same time. Not thread-safe.
 */
final class Dialler {
  private static final int MAX_DOUBLINGS = 10;

  private final String self;
  private final PeerTimings timings;
  private final RandomGenerator random;
  private final Map<String, DialState> stateByHost = new HashMap<>();

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

  /** State of the attempts to reach one host. */
  private static final class DialState {
    private Optional<PeerLink> link = Optional.empty();
    private int failures;
    private long nextAttemptNanos;
  }

  /**
   * Opens connections to the targets that have no link and whose back-off has elapsed.
   *
   * @param isLinked whether a host has a link
   * @param open starts to open a connection and returns its link; empty if it cannot
   */
  void dial(
      List<HostEntry> targets,
      Predicate<String> isLinked,
      Function<HostEntry, Optional<PeerLink>> open,
      long nowNanos) {
    for (HostEntry target : targets) {
      DialState state =
          stateByHost.computeIfAbsent(target.name(), name -> initialState(name, nowNanos));
      if (isLinked.test(target.name())) {
        state.failures = 0;
        state.nextAttemptNanos =
            nowNanos + jittered(timings.initialBackOff()).plus(dialDelay(target.name())).toNanos();
      } else if (isDue(state, nowNanos)) {
        state.nextAttemptNanos = nowNanos + jittered(backOff(state.failures)).toNanos();
        state.failures++;
        state.link = open.apply(target);
      }
    }
    stateByHost
        .keySet()
        .retainAll(targets.stream().map(HostEntry::name).collect(Collectors.toSet()));
  }

  private DialState initialState(String target, long nowNanos) {
    DialState state = new DialState();
    state.nextAttemptNanos = nowNanos + dialDelay(target).toNanos();
    return state;
  }

  private Duration dialDelay(String target) {
    return self.compareTo(target) > 0 ? timings.secondDialDelay() : Duration.ZERO;
  }

  private static boolean isDue(DialState state, long nowNanos) {
    boolean inProgress = state.link.isPresent() && !state.link.get().isEnded();
    return !inProgress && nowNanos - state.nextAttemptNanos >= 0;
  }

  private Duration backOff(int failures) {
    Duration backOff =
        timings.initialBackOff().multipliedBy(1L << Math.min(failures, MAX_DOUBLINGS));
    return backOff.compareTo(timings.maxBackOff()) < 0 ? backOff : timings.maxBackOff();
  }

  private Duration jittered(Duration mean) {
    return Duration.ofNanos((long) (mean.toNanos() * (0.5 + random.nextDouble())));
  }
}
