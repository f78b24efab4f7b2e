package org.clementinequay.bench.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** Events of a run, in the order of virtual time. */
public final class History {
  private final VirtualScheduler scheduler;
  private final List<Event> events = new ArrayList<>();

  public History(VirtualScheduler scheduler) {
    this.scheduler = scheduler;
  }

  /**
   * One event.
   *
   * @param atNanos virtual time in nanoseconds
   * @param process name of the process in which the event occurred
   * @param kind kind of event, as listed at the scenario
   * @param key subject of the event, such as a request id; empty if there is none
   * @param number number whose meaning depends on the kind, such as a revision or a fencing number
   * @param detail text whose meaning depends on the kind
   */
  public record Event(
      long atNanos, String process, String kind, String key, long number, String detail) {
    /** Rejects null components. */
    public Event {
      Objects.requireNonNull(process);
      Objects.requireNonNull(kind);
      Objects.requireNonNull(key);
      Objects.requireNonNull(detail);
    }
  }

  /** Adds an event with the current virtual time. */
  public void add(String process, String kind, String key, long number, String detail) {
    events.add(new Event(scheduler.nowNanos(), process, kind, key, number, detail));
  }

  public List<Event> events() {
    return List.copyOf(events);
  }

  public List<Event> events(String kind) {
    return events.stream().filter(event -> event.kind().equals(kind)).toList();
  }

  /** Returns the events of one kind by key, in order of first appearance. */
  public Map<String, List<Event>> byKey(String kind) {
    Map<String, List<Event>> grouped = new LinkedHashMap<>();
    for (Event event : events(kind)) {
      grouped.computeIfAbsent(event.key(), key -> new ArrayList<>()).add(event);
    }
    return grouped;
  }
}
