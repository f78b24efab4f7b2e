package org.clementinequay.core.platform;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Named fields of a row value. The text form is URL-encoded like an HTML form, with the fields in
 * alphabetical order. The JDK implements this encoding, so the core module needs no serialization
 * library.
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
   * Parses a row value.
   *
   * @throws IllegalArgumentException if a field has no '=' or is not URL-encoded
   */
  public static RowFields parse(String text) {
    Map<String, String> fields = new TreeMap<>();
    for (String pair : text.split("&")) {
      int separator = pair.indexOf('=');
      if (separator < 0) {
        throw new IllegalArgumentException("row value has a field without '=': " + pair);
      }
      fields.put(decode(pair.substring(0, separator)), decode(pair.substring(separator + 1)));
    }
    return new RowFields(fields);
  }

  /**
   * Returns a field.
   *
   * @throws IllegalArgumentException if the field is missing
   */
  public String text(String name) {
    return optionalText(name)
        .orElseThrow(() -> new IllegalArgumentException("row value lacks field " + name));
  }

  /** Returns a field, or empty if it is missing. */
  public Optional<String> optionalText(String name) {
    return Optional.ofNullable(fields.get(name));
  }

  /**
   * Returns a field that holds an integer.
   *
   * @throws IllegalArgumentException if the field is missing or not an integer
   */
  public long number(String name) {
    return Long.parseLong(text(name));
  }

  private static String decode(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }

  /** Builds the text form of a row value. */
  public static final class Builder {
    private final Map<String, String> fields = new TreeMap<>();

    private Builder() {}

    /** Sets a text field. */
    public Builder text(String name, String value) {
      fields.put(name, value);
      return this;
    }

    /** Sets a field that holds an integer. */
    public Builder number(String name, long value) {
      return text(name, Long.toString(value));
    }

    /** Returns the text form, with the fields in alphabetical order. */
    public String encode() {
      StringBuilder encoded = new StringBuilder();
      fields.forEach(
          (name, value) -> {
            if (encoded.length() > 0) {
              encoded.append('&');
            }
            encoded.append(URLEncoder.encode(name, StandardCharsets.UTF_8));
            encoded.append('=');
            encoded.append(URLEncoder.encode(value, StandardCharsets.UTF_8));
          });
      return encoded.toString();
    }
  }
}
