package org.clementinequay.bench.soak;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/** What happened in a run, in the order of virtual time. */
public final class History {
  private final VirtualScheduler scheduler;
  private final List<Event> events = new ArrayList<>();

  /** Creates an empty history. */
  public History(VirtualScheduler scheduler) {
    this.scheduler = scheduler;
  }

  /**
   * One event.
   *
   * @param atNanos virtual time in nanoseconds
   * @param process name of the process where it happened
   * @param kind what happened
   * @param key what it happened to
   * @param number number that belongs to the kind, such as a revision or a fencing number
   * @param detail text that belongs to the kind
   */
  public record Event(
      long atNanos, String process, String kind, String key, long number, String detail) {
    /** Checks that all parts are present. */
    public Event {
      Objects.requireNonNull(process);
      Objects.requireNonNull(kind);
      Objects.requireNonNull(key);
      Objects.requireNonNull(detail);
    }
  }

  /** Adds an event at the present virtual time. */
  public void add(String process, String kind, String key, long number, String detail) {
    events.add(new Event(scheduler.nowNanos(), process, kind, key, number, detail));
  }

  /** Returns all events. */
  public List<Event> events() {
    return List.copyOf(events);
  }

  /** Returns the events of one kind. */
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
