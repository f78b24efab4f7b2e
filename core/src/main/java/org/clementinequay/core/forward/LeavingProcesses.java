package org.clementinequay.core.forward;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Processes of upstreams that are known to leave, from the list or from their own answers. What is
 * known of a process does not depend on its entry in the list, which may be missing for a while and
 * may name the process as available again. Not thread-safe.
 */
final class LeavingProcesses {
  /** Maximum number of upstreams that are remembered although they are not listed. */
  static final int MAX_UNLISTED = 256;

  /** Maximum number of processes with the same id; the earliest one is forgotten first. */
  private static final int MAX_PROCESSES_PER_ID = 4;

  /** The processes by id; the id that was listed or recorded last comes last. */
  private final Map<String, List<UpstreamInstance>> processesById = new LinkedHashMap<>();

  /** Records that a process leaves; returns whether this was not known. */
  boolean add(UpstreamInstance instance) {
    if (contains(instance)) {
      return false;
    }
    List<UpstreamInstance> known = processesById.remove(instance.id());
    List<UpstreamInstance> processes = known == null ? new ArrayList<>() : known;
    processes.add(instance);
    if (processes.size() > MAX_PROCESSES_PER_ID) {
      processes.remove(0);
    }
    processesById.put(instance.id(), processes);
    return true;
  }

  /** Returns whether the process that an entry describes, or may describe, is known to leave. */
  boolean contains(UpstreamInstance instance) {
    for (UpstreamInstance process : processesById.getOrDefault(instance.id(), List.of())) {
      if (instance.mayBeProcess(process)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Forgets upstreams beyond the maximum number: those that were not listed for the longest time.
   */
  void trim(Set<String> listedIds) {
    int unlisted = processesById.size();
    for (String id : listedIds) {
      List<UpstreamInstance> processes = processesById.remove(id);
      if (processes != null) {
        processesById.put(id, processes);
        unlisted--;
      }
    }
    Iterator<String> ids = processesById.keySet().iterator();
    for (; unlisted > MAX_UNLISTED; unlisted--) {
      ids.next();
      ids.remove();
    }
  }
}
