package org.clementinequay.server.document;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.clementinequay.core.config.Finding;
import org.clementinequay.core.config.Severity;

/**
 * Turns JSON values into records. Jackson's own binding stops at the first fault; this one goes on
 * with a stand-in value and reports every fault with its location. A key is equal to the name of
 * its record component, a word for an enum constant is its name in lower case with dashes, and a
 * component of type {@link Optional} may be missing.
 */
public final class RecordBinder {
  private final BindingRules rules;
  private final Map<Class<?>, Shape> shapes = new HashMap<>();
  private final Severity unknownKeys;
  private final List<Finding> findings;

  /**
   * Creates a binder.
   *
   * @param unknownKeys severity of a key that no record component has
   * @param findings receives what is wrong
   */
  public RecordBinder(BindingRules rules, Severity unknownKeys, List<Finding> findings) {
    this.rules = rules;
    this.unknownKeys = unknownKeys;
    this.findings = findings;
  }

  /** Returns a record; it contains stand-in values where errors were found. */
  public <T extends Record> T bind(LocatedValue value, Class<T> type) {
    return type.cast(record(value, type));
  }

  private Object record(LocatedValue value, Class<?> type) {
    RecordComponent[] components = shape(type).components();
    Object[] arguments = new Object[components.length];
    if (value instanceof LocatedValue.ObjectValue object) {
      reportUnknownKeys(object, components);
      for (int i = 0; i < components.length; i++) {
        arguments[i] = component(object, type, components[i]);
      }
    } else {
      report(value, "must be an object, not " + value.kind());
      for (int i = 0; i < components.length; i++) {
        arguments[i] = standIn(components[i].getGenericType());
      }
    }
    return create(type, arguments);
  }

  private void reportUnknownKeys(LocatedValue.ObjectValue object, RecordComponent[] components) {
    List<String> known = Arrays.stream(components).map(RecordComponent::getName).toList();
    object
        .members()
        .forEach(
            (key, member) -> {
              if (!known.contains(key)) {
                String nearest =
                    NearestName.of(key, known).map(n -> "; did you mean \"" + n + "\"?").orElse("");
                LocatedValue.Location location = member.key();
                findings.add(
                    new Finding(
                        unknownKeys,
                        location.pointer(),
                        location.line(),
                        location.column(),
                        "unknown key \"" + key + "\"" + nearest));
              }
            });
  }

  private Object component(
      LocatedValue.ObjectValue object, Class<?> type, RecordComponent component) {
    LocatedValue.Member member = object.members().get(component.getName());
    if (member != null) {
      return convert(member.value(), component.getGenericType());
    }
    Optional<Object> missing =
        component.getType() == Optional.class
            ? Optional.of(Optional.empty())
            : rules.defaultOf(type, component.getName());
    if (missing.isEmpty()) {
      LocatedValue.Location location = object.location();
      findings.add(
          Finding.error(
                  JsonPointers.child(location.pointer(), component.getName()),
                  "key \"" + component.getName() + "\" is missing")
              .withLocation(location.line(), location.column()));
    }
    return missing.orElseGet(() -> standIn(component.getGenericType()));
  }

  private Object convert(LocatedValue value, Type type) {
    if (type instanceof ParameterizedType generic) {
      Type argument = generic.getActualTypeArguments()[0];
      return generic.getRawType() == Optional.class
          ? Optional.of(convert(value, argument))
          : list(value, argument);
    }
    Class<?> target = (Class<?>) type;
    if (target.isRecord()) {
      return record(value, target);
    }
    if (target.isEnum()) {
      return constant(value, target);
    }
    return scalar(value, target)
        .orElseGet(
            () -> {
              report(value, "must be " + describe(target) + ", not " + value.kind());
              return standIn(target);
            });
  }

  private List<Object> list(LocatedValue value, Type itemType) {
    List<Object> items = new ArrayList<>();
    if (value instanceof LocatedValue.ArrayValue array) {
      for (LocatedValue item : array.items()) {
        items.add(convert(item, itemType));
      }
    } else {
      report(value, "must be a list, not " + value.kind());
    }
    return items;
  }

  private Object constant(LocatedValue value, Class<?> type) {
    List<String> labels = Stream.of(type.getEnumConstants()).map(RecordBinder::label).toList();
    if (!(value instanceof LocatedValue.StringValue text)) {
      report(value, "must be one of " + labels + ", not " + value.kind());
      return standIn(type);
    }
    int index = labels.indexOf(text.text());
    if (index < 0) {
      String nearest = NearestName.of(text.text(), labels).orElseThrow();
      report(
          value,
          "must be one of "
              + labels
              + "; did you mean \""
              + nearest
              + "\" by \""
              + text.text()
              + "\"?");
      return standIn(type);
    }
    return type.getEnumConstants()[index];
  }

  private static Optional<Object> scalar(LocatedValue value, Class<?> type) {
    if (type == String.class && value instanceof LocatedValue.StringValue text) {
      return Optional.of(text.text());
    }
    if (type == boolean.class && value instanceof LocatedValue.LiteralValue word) {
      return word.literal().equals("null")
          ? Optional.empty()
          : Optional.of(Boolean.valueOf(word.literal()));
    }
    if (value instanceof LocatedValue.NumberValue number) {
      return number(number, type);
    }
    return Optional.empty();
  }

  private static Optional<Object> number(LocatedValue.NumberValue number, Class<?> type) {
    try {
      if (type == double.class) {
        return Optional.of(Double.valueOf(number.literal()));
      }
      if (type == long.class && number.whole()) {
        return Optional.of(Long.valueOf(number.literal()));
      }
      if (type == int.class && number.whole()) {
        return Optional.of(Integer.valueOf(number.literal()));
      }
    } catch (NumberFormatException e) {
      // Too large for the type: reported like any other value that does not fit.
      return Optional.empty();
    }
    return Optional.empty();
  }

  private Object standIn(Type type) {
    if (type instanceof ParameterizedType generic) {
      return generic.getRawType() == Optional.class ? Optional.empty() : List.of();
    }
    Class<?> target = (Class<?>) type;
    return rules.placeholder(target).orElseGet(() -> zero(target));
  }

  private Object zero(Class<?> type) {
    if (type == String.class) {
      return "";
    }
    if (type == boolean.class) {
      return false;
    }
    if (type == double.class) {
      return 0.0;
    }
    if (type == long.class) {
      return 0L;
    }
    if (type == int.class) {
      return 0;
    }
    if (type.isEnum()) {
      return type.getEnumConstants()[0];
    }
    Object[] arguments =
        Stream.of(shape(type).components())
            .map(component -> standIn(component.getGenericType()))
            .toArray();
    return create(type, arguments);
  }

  private Object create(Class<?> type, Object[] arguments) {
    try {
      return shape(type).constructor().newInstance(arguments);
    } catch (InvocationTargetException e) {
      throw new IllegalStateException(
          type + " must leave the check of its values to a validator", e.getCause());
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(type + " must be a public record", e);
    }
  }

  private Shape shape(Class<?> type) {
    return shapes.computeIfAbsent(type, Shape::of);
  }

  /** Components and constructor of a record; the JDK copies both at each look-up. */
  private record Shape(RecordComponent[] components, Constructor<?> constructor) {
    private static Shape of(Class<?> type) {
      RecordComponent[] components = type.getRecordComponents();
      Class<?>[] types =
          Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
      try {
        return new Shape(components, type.getConstructor(types));
      } catch (NoSuchMethodException e) {
        throw new IllegalStateException(type + " must be a public record", e);
      }
    }
  }

  private static String label(Object constant) {
    return Objects.toString(((Enum<?>) constant).name()).toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static String describe(Class<?> type) {
    if (type == String.class) {
      return "a text";
    }
    if (type == boolean.class) {
      return "true or false";
    }
    if (type == double.class) {
      return "a number";
    }
    return type == int.class
        ? "a whole number of at most 32 bits"
        : "a whole number of at most 64 bits";
  }

  private void report(LocatedValue value, String message) {
    LocatedValue.Location location = value.location();
    findings.add(
        Finding.error(location.pointer(), message)
            .withLocation(location.line(), location.column()));
  }

  /** Returns findings without those that are only consequences of earlier errors. */
  public static List<Finding> withoutRelated(List<Finding> later, List<Finding> earlier) {
    return later.stream()
        .filter(
            finding ->
                earlier.stream()
                    .noneMatch(e -> JsonPointers.related(e.pointer(), finding.pointer())))
        .collect(Collectors.toList());
  }
}
