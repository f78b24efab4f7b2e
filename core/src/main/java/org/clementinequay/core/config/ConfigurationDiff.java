package org.clementinequay.core.config;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * What differs between two configurations. Named items are matched by name, not by position, so
 * that an inserted item is one change. The records are compared component by component through
 * reflection, so that a component added to a record is never left out of a difference.
 */
public final class ConfigurationDiff {
  /** Components of each record; the JDK creates them anew at each look-up. */
  private static final ClassValue<RecordComponent[]> COMPONENTS =
      new ClassValue<>() {
        @Override
        protected RecordComponent[] computeValue(Class<?> type) {
          return type.getRecordComponents();
        }
      };

  private ConfigurationDiff() {}

  /**
   * One difference.
   *
   * @param pointer place of the value, like a JSON pointer but with the item's name in place of its
   *     index, such as {@code /models/label-small/versions/v2/state}
   * @param before the earlier value as text; empty if the item was added
   * @param after the later value as text; empty if the item was removed
   */
  public record Change(String pointer, Optional<String> before, Optional<String> after) {
    @Override
    public String toString() {
      if (before.isEmpty()) {
        return "+ " + pointer + ": " + after.orElse("");
      }
      return after.isEmpty()
          ? "- " + pointer + ": " + before.get()
          : "~ " + pointer + ": " + before.get() + " -> " + after.get();
    }
  }

  /** Returns the changes that lead from one configuration to another, in document order. */
  public static List<Change> between(RouterConfiguration before, RouterConfiguration after) {
    List<Change> changes = new ArrayList<>();
    compare("", before, after, changes);
    return changes;
  }

  private static void compare(String pointer, Object before, Object after, List<Change> changes) {
    if (before.equals(after)) {
      return;
    }
    if (before instanceof Record) {
      for (RecordComponent component : COMPONENTS.get(before.getClass())) {
        compare(
            pointer + "/" + component.getName(),
            value(component, before),
            value(component, after),
            changes);
      }
    } else if (isNamedList(before) || isNamedList(after)) {
      compareItems(pointer, named((List<?>) before), named((List<?>) after), changes);
    } else {
      changes.add(new Change(pointer, Optional.of(text(before)), Optional.of(text(after))));
    }
  }

  private static void compareItems(
      String pointer, Map<String, Object> before, Map<String, Object> after, List<Change> changes) {
    before.forEach(
        (name, item) -> {
          String itemPointer = pointer + "/" + name;
          if (after.containsKey(name)) {
            compare(itemPointer, item, after.get(name), changes);
          } else {
            changes.add(new Change(itemPointer, Optional.of(text(item)), Optional.empty()));
          }
        });
    after.forEach(
        (name, item) -> {
          if (!before.containsKey(name)) {
            changes.add(
                new Change(pointer + "/" + name, Optional.empty(), Optional.of(text(item))));
          }
        });
    List<String> oldOrder = before.keySet().stream().filter(after::containsKey).toList();
    List<String> newOrder = after.keySet().stream().filter(before::containsKey).toList();
    if (!oldOrder.equals(newOrder)) {
      changes.add(
          new Change(
              pointer,
              Optional.of("order " + text(oldOrder)),
              Optional.of("order " + text(newOrder))));
    }
  }

  private static boolean isNamedList(Object value) {
    return value instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof Record;
  }

  private static Map<String, Object> named(List<?> items) {
    Map<String, Object> byName = new LinkedHashMap<>();
    for (Object item : items) {
      byName.put(nameOf(item), item);
    }
    return byName;
  }

  private static String nameOf(Object item) {
    for (RecordComponent component : COMPONENTS.get(item.getClass())) {
      if (component.getName().equals("name")) {
        return String.valueOf(value(component, item));
      }
    }
    throw new IllegalStateException(item.getClass() + " has no component \"name\"");
  }

  private static Object value(RecordComponent component, Object owner) {
    try {
      return component.getAccessor().invoke(owner);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("cannot read " + component, e);
    }
  }

  private static String text(Object value) {
    if (value instanceof VersionState state) {
      return state.label();
    }
    if (value instanceof UpstreamKind kind) {
      return kind.label();
    }
    if (value instanceof List<?> list) {
      return list.stream().map(ConfigurationDiff::text).collect(Collectors.joining(", ", "[", "]"));
    }
    if (value instanceof Record) {
      List<String> parts = new ArrayList<>();
      for (RecordComponent component : COMPONENTS.get(value.getClass())) {
        parts.add(component.getName() + "=" + text(value(component, value)));
      }
      return "{" + String.join(", ", parts) + "}";
    }
    return String.valueOf(value);
  }
}
