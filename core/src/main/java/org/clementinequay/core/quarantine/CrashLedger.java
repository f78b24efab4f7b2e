package org.clementinequay.core.quarantine;

import java.time.Duration;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Collects under which parts of prompts upstreams crashed, and names a part once it explains enough
 * crashes. Requests beside the one that crashes an upstream lose their connections too, so parts of
 * sound prompts are reported as well. Three things tell them apart: a part with which an answer has
 * begun since is sound; upstreams that crash together for another reason take no request with them
 * that was sent after the first of them had crashed; and a crash that a named part explains does
 * not count against others. Thread-safe.
 */
public final class CrashLedger {
  /**
   * Crashed upstreams that a part must explain, without an answer that has begun; more than the
   * attempts of one request.
   */
  public static final int CRASH_THRESHOLD = 4;

  /** Time after the last of these crashes in which an answer that begins still clears the part. */
  public static final Duration CONFIRMATION_TIME = Duration.ofSeconds(1);

  /** Time for which a crash counts. */
  static final Duration EVIDENCE_TIME = Duration.ofMinutes(5);

  /** Maximum number of crashes that are kept. */
  static final int MAX_CRASHES = 512;

  /**
   * Maximum number of parts that are kept, summed over the crashes. Callers choose the parts of
   * their prompts, of which a head has room for thousands.
   */
  static final int MAX_PARTS = 16_384;

  /** Maximum number of parts of a prompt that counts as evidence. */
  static final int MAX_PARTS_OF_PROMPT = MAX_PARTS / 2;

  /**
   * Share of the crashes under the most implicated part from which a more specific part is named
   * instead.
   */
  private static final double SPECIFIC_SHARE = 0.75;

  private static final Comparator<Suspect> MOST_SPECIFIC =
      Comparator.<Suspect>comparingInt(suspect -> suspect.position)
          .thenComparingInt(Suspect::crashes);

  private final Map<String, Crash> crashesByUpstream = new LinkedHashMap<>();
  private final Map<SharedPart, Suspect> suspects = new HashMap<>();
  private final Set<SharedPart> named = new HashSet<>();
  private int parts;

  private static final class Crash {
    private final Set<SharedPart> parts = new HashSet<>();
    private long nanos;
    private boolean explained;

    private Crash(long nanos) {
      this.nanos = nanos;
    }
  }

  /** A part with the latest start of an attempt that had it, by crashed upstream. */
  private static final class Suspect {
    private final Map<String, Long> startNanosByUpstream = new HashMap<>();
    private int position;

    private int crashes() {
      return startNanosByUpstream.size();
    }
  }

  /**
   * Records a crash that this host or a peer saw.
   *
   * @return whether the report tells something new
   */
  public synchronized boolean recordCrash(CrashReport report, long nowNanos) {
    expire(nowNanos);
    Crash crash =
        crashesByUpstream.computeIfAbsent(report.upstream(), id -> new Crash(report.crashNanos()));
    if (report.crashNanos() - crash.nanos < 0) {
      crash.nanos = report.crashNanos();
    }
    if (report.partIds().size() > MAX_PARTS_OF_PROMPT) {
      return false;
    }
    List<SharedPart> reported =
        report.partIds().stream().map(id -> new SharedPart(report.service(), id)).toList();
    if (!makeRoom(crash, reported)) {
      return false;
    }
    parts -= crash.parts.size();
    crash.parts.addAll(reported);
    parts += crash.parts.size();
    if (crash.explained) {
      return false;
    }
    if (reported.stream().anyMatch(named::contains)) {
      explain(Set.of(report.upstream()));
      return true;
    }
    boolean isNews = false;
    for (int i = 0; i < reported.size(); i++) {
      Suspect suspect = suspects.computeIfAbsent(reported.get(i), part -> new Suspect());
      suspect.position = Math.max(suspect.position, i);
      isNews |= !suspect.startNanosByUpstream.containsKey(report.upstream());
      suspect.startNanosByUpstream.merge(
          report.upstream(), report.startNanos(), (a, b) -> a - b > 0 ? a : b);
    }
    return isNews;
  }

  /**
   * Forgets the crashes with the most parts until further parts of a crash fit; returns false if
   * they do not, because that crash has the most. Ordinary prompts have few parts, so that their
   * evidence outlasts that of very long ones.
   */
  private boolean makeRoom(Crash crash, List<SharedPart> reported) {
    int added = (int) reported.stream().distinct().filter(p -> !crash.parts.contains(p)).count();
    while (parts + added > MAX_PARTS) {
      Map.Entry<String, Crash> largest =
          Collections.max(
              crashesByUpstream.entrySet(),
              Comparator.comparingInt(entry -> entry.getValue().parts.size()));
      if (largest.getValue() == crash || largest.getValue().parts.size() < added) {
        return false;
      }
      remove(Set.of(largest.getKey()));
    }
    return true;
  }

  private void expire(long nowNanos) {
    Set<String> expired = new HashSet<>();
    for (Map.Entry<String, Crash> oldest : crashesByUpstream.entrySet()) {
      boolean old = nowNanos - oldest.getValue().nanos > EVIDENCE_TIME.toNanos();
      if (!old && crashesByUpstream.size() - expired.size() < MAX_CRASHES) {
        break;
      }
      expired.add(oldest.getKey());
    }
    remove(expired);
  }

  /** Removes crashes and what they are evidence for. */
  private void remove(Set<String> upstreams) {
    for (String upstream : upstreams) {
      parts -= crashesByUpstream.remove(upstream).parts.size();
    }
    forget(upstreams);
  }

  /** Removes crashes from the evidence against all parts. */
  private void forget(Set<String> upstreams) {
    if (!upstreams.isEmpty()) {
      suspects.values().forEach(s -> s.startNanosByUpstream.keySet().removeAll(upstreams));
      suspects.values().removeIf(suspect -> suspect.crashes() == 0);
    }
  }

  private void explain(Set<String> upstreams) {
    upstreams.forEach(upstream -> crashesByUpstream.get(upstream).explained = true);
    forget(upstreams);
  }

  /**
   * Records that an answer to a prompt with this part has begun.
   *
   * @return whether the part was under suspicion until then
   */
  public synchronized boolean clear(SharedPart part) {
    return suspects.remove(part) != null;
  }

  /** Returns the number of parts that are kept, summed over the crashes. */
  synchronized int keptParts() {
    return parts;
  }

  /**
   * Names the part that explains the most crashes, if there is one that explains enough. Parts that
   * explain fewer wait for it to be confirmed.
   */
  public synchronized Optional<SharedPart> nameNext(long nowNanos) {
    Map<SharedPart, Suspect> candidates = new HashMap<>();
    suspects.forEach(
        (part, suspect) -> {
          if (explainsEnough(suspect, nowNanos)) {
            candidates.put(part, suspect);
          }
        });
    int most = candidates.values().stream().mapToInt(Suspect::crashes).max().orElse(0);
    Optional<SharedPart> choice =
        candidates.entrySet().stream()
            .filter(entry -> entry.getValue().crashes() >= SPECIFIC_SHARE * most)
            .max(Map.Entry.comparingByValue(MOST_SPECIFIC))
            .filter(entry -> isConfirmed(entry.getValue(), nowNanos))
            .map(Map.Entry::getKey);
    choice.ifPresent(this::addNamed);
    return choice;
  }

  /**
   * Returns whether a part was in enough crashes, at least one of them of a request that was sent
   * after the first crash.
   */
  private boolean explainsEnough(Suspect suspect, long nowNanos) {
    if (suspect.crashes() < CRASH_THRESHOLD) {
      return false;
    }
    long[] crashAges = crashAges(suspect, nowNanos);
    long youngestAttemptAge =
        suspect.startNanosByUpstream.values().stream().mapToLong(s -> nowNanos - s).min().orElse(0);
    return youngestAttemptAge < crashAges[crashAges.length - 1];
  }

  private boolean isConfirmed(Suspect suspect, long nowNanos) {
    long[] crashAges = crashAges(suspect, nowNanos);
    return crashAges[crashAges.length - CRASH_THRESHOLD] >= CONFIRMATION_TIME.toNanos();
  }

  /** Returns the times since the crashes in ascending order, in nanoseconds. */
  private long[] crashAges(Suspect suspect, long nowNanos) {
    return suspect.startNanosByUpstream.keySet().stream()
        .mapToLong(upstream -> nowNanos - crashesByUpstream.get(upstream).nanos)
        .sorted()
        .toArray();
  }

  /** Takes over a part that a peer named; it explains the crashes under it. */
  public synchronized void addNamed(SharedPart part) {
    named.add(part);
    Suspect suspect = suspects.remove(part);
    if (suspect != null) {
      explain(Set.copyOf(suspect.startNanosByUpstream.keySet()));
    }
  }

  /**
   * Forgets the named parts whose crashes another named part explains together with more crashes,
   * and returns them. Such a part was in all requests with the other one until then.
   */
  public synchronized List<SharedPart> releaseExplained() {
    Map<SharedPart, Set<String>> crashesByPart = new HashMap<>();
    named.forEach(part -> crashesByPart.put(part, crashesUnder(part)));
    List<SharedPart> released =
        named.stream()
            .filter(part -> !crashesByPart.get(part).isEmpty())
            .filter(
                part ->
                    crashesByPart.values().stream()
                        .anyMatch(other -> isExplainedBy(other, crashesByPart.get(part))))
            .toList();
    released.forEach(named::remove);
    return released;
  }

  private static boolean isExplainedBy(Set<String> crashes, Set<String> explained) {
    return crashes.size() > explained.size() && crashes.containsAll(explained);
  }

  private Set<String> crashesUnder(SharedPart part) {
    return crashesByUpstream.entrySet().stream()
        .filter(entry -> entry.getValue().parts.contains(part))
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /** Forgets that a part was named; later crashes count against it again. */
  public synchronized void removeNamed(SharedPart part) {
    named.remove(part);
  }
}
