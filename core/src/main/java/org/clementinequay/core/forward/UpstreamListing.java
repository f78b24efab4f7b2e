package org.clementinequay.core.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.clementinequay.core.SplitMix64;

/**
 * The list of upstreams as one host knows it, kept equal to the lists of other hosts by updates
 * that carry only differences. A checksum of the whole list tells whether an update fits; if one
 * was lost, the next does not fit and the list must be read from the store. Revisions of the store
 * keep an update that was delayed from bringing an older list back. Not thread-safe.
 */
public final class UpstreamListing {
  private final Map<String, UpstreamInstance> instances = new HashMap<>();
  private long revision = -1;
  private long checksum;

  /**
   * Difference between two lists.
   *
   * @param revision revision of the store at which the later list was read
   * @param baseChecksum checksum of the earlier list
   * @param checksum checksum of the later list; equal to the other one if nothing changed
   * @param changed entries that are new or changed
   * @param removed ids of the entries that the later list lacks
   */
  public record Update(
      long revision,
      long baseChecksum,
      long checksum,
      List<UpstreamInstance> changed,
      List<String> removed) {}

  /** What an update meant for a list. */
  public enum Outcome {
    /** The list was equal or was brought up to date. */
    CURRENT,
    /** The update is older than the list. */
    OUTDATED,
    /** An earlier update is missing; the list must be read from the store. */
    GAP
  }

  /** Returns the revision of the store at which the list was last known to be current; or -1. */
  public long revision() {
    return revision;
  }

  /** Replaces the list by one read from the store and returns the difference. */
  public Update replace(Collection<UpstreamInstance> listed, long readRevision) {
    Map<String, UpstreamInstance> next = new HashMap<>();
    listed.forEach(instance -> next.put(instance.id(), instance));
    List<UpstreamInstance> changed = new ArrayList<>();
    for (UpstreamInstance instance : next.values()) {
      if (!instance.equals(instances.get(instance.id()))) {
        changed.add(instance);
      }
    }
    List<String> removed = instances.keySet().stream().filter(id -> !next.containsKey(id)).toList();
    long baseChecksum = checksum;
    instances.clear();
    instances.putAll(next);
    checksum = checksumOf(instances.values());
    revision = readRevision;
    return new Update(readRevision, baseChecksum, checksum, changed, removed);
  }

  /** Applies an update of another host unless it is older or does not fit. */
  public Outcome apply(Update update) {
    if (update.revision() < revision) {
      return Outcome.OUTDATED;
    }
    if (revision < 0 || (update.checksum() != checksum && update.baseChecksum() != checksum)) {
      return Outcome.GAP;
    }
    if (update.checksum() != checksum) {
      update.changed().forEach(instance -> instances.put(instance.id(), instance));
      update.removed().forEach(instances::remove);
      checksum = checksumOf(instances.values());
      if (checksum != update.checksum()) {
        return Outcome.GAP;
      }
    }
    revision = update.revision();
    return Outcome.CURRENT;
  }

  /** Returns whether an update leads to this list, which is then current at its revision. */
  public boolean confirm(Update update) {
    boolean same = revision >= 0 && update.revision() >= revision && update.checksum() == checksum;
    revision = same ? update.revision() : revision;
    return same;
  }

  /** Returns an update that says that the list is unchanged. */
  public Update unchanged() {
    return new Update(revision, checksum, checksum, List.of(), List.of());
  }

  /** Returns the entries of the list. */
  public List<UpstreamInstance> instances() {
    return List.copyOf(instances.values());
  }

  /** Sums the hashes of the entries, so that their order does not matter. */
  private static long checksumOf(Collection<UpstreamInstance> instances) {
    long sum = 0;
    for (UpstreamInstance instance : instances) {
      sum += SplitMix64.mix(instance.toString().hashCode());
    }
    return sum;
  }
}
