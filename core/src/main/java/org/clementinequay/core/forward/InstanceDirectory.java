package org.clementinequay.core.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Holds the upstreams listed in the platform's store. Each reading replaces the list, except right
 * after an outage of the store: entries that expired during the outage are written again within
 * about two seconds after its end, so a missing entry is retained for that time. If only this host
 * was partitioned from the store, it must apply the new list immediately instead. The number of
 * missing entries distinguishes the two cases: an outage of the store stops the heartbeats of all
 * upstreams, whereas few upstreams leave during a partition. An upstream that sent something to
 * this host shortly before the store became reachable was partitioned together with this host and
 * is retained as well. An upstream that was seen leaving, in the list or in an answer of its own,
 * never becomes available again, even if a reading lists it as available. Not thread-safe.
 */
public final class InstanceDirectory {
  /** Time without a reading that counts as an outage, in nanoseconds: two missed heartbeats. */
  static final long OUTAGE_THRESHOLD_NANOS = 2_500_000_000L;

  /**
   * Time after an outage for which entries may not be up to date, in nanoseconds. The platform's
   * documentation states that entries are written again within two seconds. The first reading after
   * that must not retain a missing entry, because a host counts as connected 3 s after the end of
   * its partition.
   */
  static final long RETENTION_NANOS = 2_050_000_000L;

  private final Map<String, UpstreamInstance> instances = new HashMap<>();
  private final LeavingProcesses leavingProcesses = new LeavingProcesses();
  private long lastReadNanos;
  private final Set<String> retainedIds = new HashSet<>();
  private long retainUntilNanos;
  private boolean hasRead;

  /**
   * Addresses, by id, of listed upstreams that stated that they are leaving since the last reading,
   * and after an outage since the last one before it.
   */
  private final Map<String, String> statedSinceReading = new HashMap<>();

  /**
   * Differences between a reading and the one before it.
   *
   * @param added upstreams that are new or whose entry changed
   * @param removed upstreams that are no longer listed
   * @param afterOutage whether the previous reading is older than the outage threshold
   */
  public record Changes(
      List<UpstreamInstance> added, List<UpstreamInstance> removed, boolean afterOutage) {}

  /**
   * Applies a reading of the whole list.
   *
   * @param recentlyActive returns whether this host received data from the upstream with the given
   *     id shortly before
   */
  public Changes update(
      Collection<UpstreamInstance> listed, Predicate<String> recentlyActive, long nowNanos) {
    boolean afterOutage = hasRead && nowNanos - lastReadNanos > OUTAGE_THRESHOLD_NANOS;
    if (afterOutage) {
      retainMissing(listed, recentlyActive);
      retainUntilNanos = nowNanos + RETENTION_NANOS;
    } else if (nowNanos - retainUntilNanos >= 0) {
      retainedIds.clear();
      statedSinceReading.clear();
    }
    hasRead = true;
    lastReadNanos = nowNanos;
    Map<String, UpstreamInstance> next = new HashMap<>();
    for (UpstreamInstance instance : listed) {
      if (instance.leaving()) {
        leavingProcesses.add(instance);
      }
      next.put(instance.id(), withStatement(instance));
    }
    List<UpstreamInstance> removed = new ArrayList<>();
    for (UpstreamInstance previous : instances.values()) {
      if (!next.containsKey(previous.id())) {
        if (retainedIds.contains(previous.id()) && !previous.leaving()) {
          next.put(previous.id(), previous);
        } else {
          removed.add(previous);
        }
      }
    }
    List<UpstreamInstance> added = new ArrayList<>();
    for (UpstreamInstance instance : next.values()) {
      if (!instance.equals(instances.get(instance.id()))) {
        added.add(instance);
      }
    }
    instances.clear();
    instances.putAll(next);
    leavingProcesses.trim(next.keySet());
    return new Changes(added, removed, afterOutage);
  }

  /**
   * Records that an upstream has stated itself that it is leaving. This holds for its process, also
   * while the list does not name it. In an outage the process may have been replaced by one with
   * the same id and address, so the statement holds for that one too until its entry must be up to
   * date.
   *
   * @return whether this was not known
   */
  public boolean recordLeaving(UpstreamInstance instance) {
    boolean recorded = leavingProcesses.add(instance);
    if (recorded && isListed(instance)) {
      statedSinceReading.put(instance.id(), instance.address());
    }
    instances.computeIfPresent(instance.id(), (id, listed) -> withStatement(listed));
    return recorded;
  }

  private UpstreamInstance withStatement(UpstreamInstance listed) {
    boolean leaving =
        leavingProcesses.contains(listed)
            || listed.address().equals(statedSinceReading.get(listed.id()));
    return leaving ? listed.asLeaving() : listed;
  }

  /** Returns whether the list names the process. */
  public boolean isListed(UpstreamInstance instance) {
    UpstreamInstance listed = instances.get(instance.id());
    return listed != null && listed.isSameProcess(instance);
  }

  private void retainMissing(
      Collection<UpstreamInstance> listed, Predicate<String> recentlyActive) {
    Set<String> missing = new HashSet<>(instances.keySet());
    listed.forEach(instance -> missing.remove(instance.id()));
    boolean mostMissing = 2 * missing.size() > instances.size();
    retainedIds.clear();
    for (String id : missing) {
      if (mostMissing || recentlyActive.test(id)) {
        retainedIds.add(id);
      }
    }
  }

  /** Returns the upstreams that accept new requests, by name of their service. */
  public Map<String, List<UpstreamInstance>> available() {
    Map<String, List<UpstreamInstance>> result = new HashMap<>();
    for (UpstreamInstance instance : instances.values()) {
      if (!instance.leaving()) {
        result.computeIfAbsent(instance.service(), s -> new ArrayList<>()).add(instance);
      }
    }
    return result;
  }

  /** Returns the ids of all upstreams in the list, including those that are leaving. */
  public Set<String> ids() {
    return Set.copyOf(instances.keySet());
  }

  /** Returns the time since the last reading in nanoseconds; -1 if there was none. */
  public long ageNanos(long nowNanos) {
    return hasRead ? nowNanos - lastReadNanos : -1;
  }
}
