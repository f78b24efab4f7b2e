package org.clementinequay.core.platform;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Text form of a row's value: named fields in the order of their names, in the encoding of HTML
 * forms. The JDK encodes it, which keeps the core free of a serialization library.
 */
public final class RowFields {
  private final Map<String, String> fields;

  private RowFields(Map<String, String> fields) {
    this.fields = fields;
  }

  /** Returns a builder without fields. */
  public static Builder builder() {
    return new Builder();
  }

  /**
   * Parses the text form.
   *
   * @throws IllegalArgumentException if the text is not of that form
   */
  public static RowFields parse(String text) {
    Map<String, String> fields = new TreeMap<>();
    for (String pair : text.split("&")) {
      int equals = pair.indexOf('=');
      if (equals < 0) {
        throw new IllegalArgumentException("row value has a field without '=': " + pair);
      }
      fields.put(decode(pair.substring(0, equals)), decode(pair.substring(equals + 1)));
    }
    return new RowFields(fields);
  }

  /** Returns a field that must be present. */
  public String text(String name) {
    return optionalText(name)
        .orElseThrow(() -> new IllegalArgumentException("row value lacks field " + name));
  }

  /** Returns a field that may be absent. */
  public Optional<String> optionalText(String name) {
    return Optional.ofNullable(fields.get(name));
  }

  /** Returns a whole number that must be present. */
  public long number(String name) {
    return Long.parseLong(text(name));
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }

  /** Collects fields. */
  public static final class Builder {
    private final Map<String, String> fields = new TreeMap<>();

    private Builder() {}

    /** Adds a text field. */
    public Builder text(String name, String value) {
      fields.put(name, value);
      return this;
    }

    /** Adds a whole number. */
    public Builder number(String name, long value) {
      return text(name, Long.toString(value));
    }

    /** Returns the text form. */
    public String encode() {
      StringBuilder out = new StringBuilder();
      fields.forEach(
          (name, value) -> {
            if (out.length() > 0) {
              out.append('&');
            }
            out.append(URLEncoder.encode(name, StandardCharsets.UTF_8));
            out.append('=');
            out.append(URLEncoder.encode(value, StandardCharsets.UTF_8));
          });
      return out.toString();
    }
  }
}
