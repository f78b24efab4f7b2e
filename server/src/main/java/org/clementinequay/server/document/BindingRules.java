package org.clementinequay.server.document;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Rules for binding JSON to records that the record types do not express: which keys are optional,
 * and which placeholder replaces an invalid value so that the rest of the document is still
 * checked.
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

    /**
     * Makes a key optional.
     *
     * @param component name of the record component and key
     * @param value value of the component if the key is missing
     */
    public Builder optional(Class<? extends Record> type, String component, Object value) {
      defaults.put(key(type, component), value);
      return this;
    }

    /** Sets the placeholder that replaces invalid values of a type. */
    public Builder placeholder(Class<?> type, Object value) {
      placeholders.put(type, value);
      return this;
    }

    /** Returns rules that later calls of this builder do not change. */
    public BindingRules build() {
      return new BindingRules(defaults, placeholders);
    }
  }
}
