package org.clementinequay.server.document;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A JSON value with its location in the document. */
public sealed interface LocatedValue {
  /** Returns the location of the value, including its quotes or brackets. */
  Location location();

  /** Returns the kind of the value for messages, such as {@code an object}. */
  String kind();

  /**
   * Location of a key or value in the text of a document.
   *
   * @param pointer JSON pointer
   * @param line line, from 1
   * @param column column, from 1
   * @param start offset of the first character, from 0
   * @param end offset after the last character
   */
  record Location(String pointer, int line, int column, int start, int end) {}

  /**
   * A key of an object with its value.
   *
   * @param keyLocation location of the key
   * @param value the value
   */
  record Member(Location keyLocation, LocatedValue value) {}

  /**
   * An object.
   *
   * @param location location with its braces
   * @param members members by key, in the order of the text
   */
  record ObjectValue(Location location, Map<String, Member> members) implements LocatedValue {
    @Override
    public String kind() {
      return "an object";
    }
  }

  /**
   * An array.
   *
   * @param location location with its brackets
   * @param items items in the order of the text
   */
  record ArrayValue(Location location, List<LocatedValue> items) implements LocatedValue {
    @Override
    public String kind() {
      return "an array";
    }
  }

  /**
   * A string.
   *
   * @param location location with its quotes
   * @param text content without quotes and escapes
   */
  record StringValue(Location location, String text) implements LocatedValue {
    @Override
    public String kind() {
      return "a string";
    }
  }

  /**
   * A number.
   *
   * @param location location of the literal
   * @param literal the number as written
   * @param whole whether it is written without fraction and exponent
   */
  record NumberValue(Location location, String literal, boolean whole) implements LocatedValue {
    @Override
    public String kind() {
      return whole ? "a whole number" : "a fraction";
    }
  }

  /**
   * {@code true}, {@code false} or {@code null}.
   *
   * @param location location of the literal
   * @param literal the literal as written
   */
  record LiteralValue(Location location, String literal) implements LocatedValue {
    @Override
    public String kind() {
      return literal;
    }
  }

  /** Returns the value at a JSON pointer relative to this value, or empty if there is none. */
  default Optional<LocatedValue> find(String pointer) {
    LocatedValue value = this;
    for (String token : JsonPointers.tokens(pointer)) {
      Optional<LocatedValue> child = value.child(token);
      if (child.isEmpty()) {
        return Optional.empty();
      }
      value = child.get();
    }
    return Optional.of(value);
  }

  /** Returns the value at a JSON pointer, or the innermost existing value on the path to it. */
  default LocatedValue findInnermost(String pointer) {
    LocatedValue value = this;
    for (String token : JsonPointers.tokens(pointer)) {
      Optional<LocatedValue> child = value.child(token);
      if (child.isEmpty()) {
        return value;
      }
      value = child.get();
    }
    return value;
  }

  private Optional<LocatedValue> child(String token) {
    if (this instanceof ObjectValue object) {
      return Optional.ofNullable(object.members().get(token)).map(Member::value);
    }
    if (this instanceof ArrayValue array && token.matches("\\d{1,9}")) {
      int index = Integer.parseInt(token);
      return index < array.items().size()
          ? Optional.of(array.items().get(index))
          : Optional.empty();
    }
    return Optional.empty();
  }
}
