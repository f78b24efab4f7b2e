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
 * Binds JSON values to records. Jackson's own binding stops at the first error; this one continues
 * with a placeholder and reports every error with its location. A key equals the name of its record
 * component, an enum constant is written as its name in lower case with hyphens, and a component of
 * type {@link Optional} may be missing.
 */
public final class RecordBinder {
  private final BindingRules rules;
  private final Map<Class<?>, RecordMetadata> metadataByType = new HashMap<>();
  private final Severity unknownKeySeverity;
  private final List<Finding> findings;

  /**
   * Creates a binder.
   *
   * @param unknownKeySeverity severity of a key that no record component has
   * @param findings receives the errors and the unknown keys
   */
  public RecordBinder(BindingRules rules, Severity unknownKeySeverity, List<Finding> findings) {
    this.rules = rules;
    this.unknownKeySeverity = unknownKeySeverity;
    this.findings = findings;
  }

  /** Returns a record with placeholders in place of missing and invalid values. */
  public <T extends Record> T bind(LocatedValue value, Class<T> type) {
    return type.cast(record(value, type));
  }

  private Object record(LocatedValue value, Class<?> type) {
    RecordComponent[] components = metadata(type).components();
    Object[] arguments = new Object[components.length];
    if (value instanceof LocatedValue.ObjectValue object) {
      reportUnknownKeys(object, components);
      for (int i = 0; i < components.length; i++) {
        arguments[i] = component(object, type, components[i]);
      }
    } else {
      reportError(value, "must be an object, not " + value.kind());
      for (int i = 0; i < components.length; i++) {
        arguments[i] = placeholderFor(components[i].getGenericType());
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
                LocatedValue.Location location = member.keyLocation();
                findings.add(
                    new Finding(
                        unknownKeySeverity,
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
    return missing.orElseGet(() -> placeholderFor(component.getGenericType()));
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
              reportError(value, "must be " + expectedKind(target) + ", not " + value.kind());
              return placeholderFor(target);
            });
  }

  private List<Object> list(LocatedValue value, Type itemType) {
    List<Object> items = new ArrayList<>();
    if (value instanceof LocatedValue.ArrayValue array) {
      for (LocatedValue item : array.items()) {
        items.add(convert(item, itemType));
      }
    } else {
      reportError(value, "must be an array, not " + value.kind());
    }
    return items;
  }

  private Object constant(LocatedValue value, Class<?> type) {
    List<String> labels = Stream.of(type.getEnumConstants()).map(RecordBinder::label).toList();
    if (!(value instanceof LocatedValue.StringValue text)) {
      reportError(value, "must be one of " + labels + ", not " + value.kind());
      return placeholderFor(type);
    }
    int index = labels.indexOf(text.text());
    if (index < 0) {
      String nearest = NearestName.of(text.text(), labels).orElseThrow();
      reportError(
          value,
          "must be one of "
              + labels
              + "; did you mean \""
              + nearest
              + "\" instead of \""
              + text.text()
              + "\"?");
      return placeholderFor(type);
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
      // The number is too large for the type; the caller reports it like a value of a wrong type.
      return Optional.empty();
    }
    return Optional.empty();
  }

  private Object placeholderFor(Type type) {
    if (type instanceof ParameterizedType generic) {
      return generic.getRawType() == Optional.class ? Optional.empty() : List.of();
    }
    Class<?> target = (Class<?>) type;
    return rules.placeholder(target).orElseGet(() -> defaultPlaceholder(target));
  }

  private Object defaultPlaceholder(Class<?> type) {
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
        Stream.of(metadata(type).components())
            .map(component -> placeholderFor(component.getGenericType()))
            .toArray();
    return create(type, arguments);
  }

  private Object create(Class<?> type, Object[] arguments) {
    try {
      return metadata(type).constructor().newInstance(arguments);
    } catch (InvocationTargetException e) {
      throw new IllegalStateException(
          type + " must not check its values on creation; this is left to a validator",
          e.getCause());
    } catch (ReflectiveOperationException e) {
      throw new IllegalStateException(type + " must be a public record", e);
    }
  }

  private RecordMetadata metadata(Class<?> type) {
    return metadataByType.computeIfAbsent(type, RecordMetadata::of);
  }

  /** Components and constructor of a record, cached because the JDK copies both on each lookup. */
  private record RecordMetadata(RecordComponent[] components, Constructor<?> constructor) {
    private static RecordMetadata of(Class<?> type) {
      RecordComponent[] components = type.getRecordComponents();
      Class<?>[] types =
          Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
      try {
        return new RecordMetadata(components, type.getConstructor(types));
      } catch (NoSuchMethodException e) {
        throw new IllegalStateException(type + " must be a public record", e);
      }
    }
  }

  private static String label(Object constant) {
    return Objects.toString(((Enum<?>) constant).name()).toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static String expectedKind(Class<?> type) {
    if (type == String.class) {
      return "a string";
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

  private void reportError(LocatedValue value, String message) {
    LocatedValue.Location location = value.location();
    findings.add(
        Finding.error(location.pointer(), message)
            .withLocation(location.line(), location.column()));
  }

  /**
   * Returns the later findings without those whose pointer equals, contains or is below that of an
   * earlier finding; they are only consequences of it.
   */
  public static List<Finding> withoutRelated(List<Finding> later, List<Finding> earlier) {
    return later.stream()
        .filter(
            finding ->
                earlier.stream()
                    .noneMatch(e -> JsonPointers.related(e.pointer(), finding.pointer())))
        .collect(Collectors.toList());
  }
}
