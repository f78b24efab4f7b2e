package org.clementinequay.server.document;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What the binding of records cannot learn from their types: which keys may be missing, and which
 * value stands in for one that is faulty, so that the rest of the document is still checked.
 */
public final class BindingRules {
  private final Map<String, Object> defaults;
  private final Map<Class<?>, Object> placeholders;

  private BindingRules(Map<String, Object> defaults, Map<Class<?>, Object> placeholders) {
    this.defaults = Map.copyOf(defaults);
    this.placeholders = Map.copyOf(placeholders);
  }

  /** Returns a builder; without rules every key is required. */
  public static Builder builder() {
    return new Builder();
  }

  Optional<Object> defaultOf(Class<?> type, String component) {
    return Optional.ofNullable(defaults.get(key(type, component)));
  }

  Optional<Object> placeholder(Class<?> type) {
    return Optional.ofNullable(placeholders.get(type));
  }

  private static String key(Class<?> type, String component) {
    return type.getName() + "#" + component;
  }

  /** Builds {@link BindingRules}. */
  public static final class Builder {
    private final Map<String, Object> defaults = new HashMap<>();
    private final Map<Class<?>, Object> placeholders = new HashMap<>();

    private Builder() {}

    /** Lets a key be missing. */
    public Builder optional(Class<? extends Record> type, String component, Object value) {
      defaults.put(key(type, component), value);
      return this;
    }

    /** Sets what stands in for a faulty value of a type. */
    public Builder placeholder(Class<?> type, Object value) {
      placeholders.put(type, value);
      return this;
    }

    /** Returns the rules. */
    public BindingRules build() {
      return new BindingRules(defaults, placeholders);
    }
  }
}
