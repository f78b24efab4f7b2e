package org.clementinequay.core.config;

import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Collectors;

/**
 * Computes the differences between two configurations. Named items are matched by name instead of
 * position, so that an inserted item is a single change. Records are compared component by
 * component through reflection, so that a component added to a record cannot be left out of the
 * comparison.
 */
public final class ConfigurationDiff {
  /** Caches the components of each record type, because the JDK copies them on every lookup. */
  private static final ClassValue<RecordComponent[]> COMPONENTS =
      new ClassValue<>() {
        @Override
        protected RecordComponent[] computeValue(Class<?> type) {
          return type.getRecordComponents();
        }
      };

  private ConfigurationDiff() {}

  /**
   * A value that was changed, added or removed.
   *
   * @param pointer location of the value: a JSON pointer with the names of list items in place of
   *     their indices, such as {@code /models/label-small/versions/v2/state}
   * @param before the old value as text; empty if the item was added
   * @param after the new value as text; empty if the item was removed
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

  /**
   * Returns the changes from {@code before} to {@code after}, in document order.
   *
   * @param before a configuration; the items of its lists of records have names
   * @param after a configuration of the same type
   */
  public static <T extends Record> List<Change> between(T before, T after) {
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
            componentValue(component, before),
            componentValue(component, after),
            changes);
      }
    } else if (isNamedList(before) || isNamedList(after)) {
      compareItems(pointer, indexByName((List<?>) before), indexByName((List<?>) after), changes);
    } else {
      changes.add(new Change(pointer, Optional.of(format(before)), Optional.of(format(after))));
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
            changes.add(new Change(itemPointer, Optional.of(format(item)), Optional.empty()));
          }
        });
    after.forEach(
        (name, item) -> {
          if (!before.containsKey(name)) {
            changes.add(
                new Change(pointer + "/" + name, Optional.empty(), Optional.of(format(item))));
          }
        });
    List<String> commonNamesBefore = before.keySet().stream().filter(after::containsKey).toList();
    List<String> commonNamesAfter = after.keySet().stream().filter(before::containsKey).toList();
    if (!commonNamesBefore.equals(commonNamesAfter)) {
      changes.add(
          new Change(
              pointer,
              Optional.of("order " + format(commonNamesBefore)),
              Optional.of("order " + format(commonNamesAfter))));
    }
  }

  private static boolean isNamedList(Object value) {
    return value instanceof List<?> list && !list.isEmpty() && list.get(0) instanceof Record;
  }

  private static Map<String, Object> indexByName(List<?> items) {
    Map<String, Object> byName = new LinkedHashMap<>();
    for (Object item : items) {
      byName.put(nameOf(item), item);
    }
    return byName;
  }

  private static String nameOf(Object item) {
    for (RecordComponent component : COMPONENTS.get(item.getClass())) {
      if (component.getName().equals("name")) {
        return String.valueOf(componentValue(component, item));
      }
    }
    throw new IllegalStateException(item.getClass() + " has no component \"name\"");
  }

  private static Object componentValue(RecordComponent component, Object owner) {
    try {
      return component.getAccessor().invoke(owner);
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException("cannot read " + component, e);
    }
  }

  private static String format(Object value) {
    if (value instanceof VersionState state) {
      return state.label();
    }
    if (value instanceof UpstreamKind kind) {
      return kind.label();
    }
    if (value instanceof Optional<?> optional) {
      return optional.map(ConfigurationDiff::format).orElse("none");
    }
    if (value instanceof OptionalInt optional) {
      return optional.isPresent() ? Integer.toString(optional.getAsInt()) : "none";
    }
    if (value instanceof List<?> list) {
      return list.stream()
          .map(ConfigurationDiff::format)
          .collect(Collectors.joining(", ", "[", "]"));
    }
    if (value instanceof Record) {
      List<String> parts = new ArrayList<>();
      for (RecordComponent component : COMPONENTS.get(value.getClass())) {
        parts.add(component.getName() + "=" + format(componentValue(component, value)));
      }
      return "{" + String.join(", ", parts) + "}";
    }
    return String.valueOf(value);
  }
}
