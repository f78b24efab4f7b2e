package org.clementinequay.server.document;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/** A JSON value that knows where it stands in the text. */
public sealed interface LocatedValue {
  /** Returns where the value stands. */
  Location location();

  /** Returns the kind of the value as it is named in messages. */
  String kind();

  /**
   * A place in a text.
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
   * @param key where the key stands
   * @param value the value
   */
  record Member(Location key, LocatedValue value) {}

  /**
   * An object.
   *
   * @param location where it stands
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
   * @param location where it stands
   * @param items its items
   */
  record ArrayValue(Location location, List<LocatedValue> items) implements LocatedValue {
    @Override
    public String kind() {
      return "a list";
    }
  }

  /**
   * A text.
   *
   * @param location where it stands, with its quotes
   * @param text the text without quotes and escapes
   */
  record StringValue(Location location, String text) implements LocatedValue {
    @Override
    public String kind() {
      return "a text";
    }
  }

  /**
   * A number.
   *
   * @param location where it stands
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
   * @param location where it stands
   * @param literal the word
   */
  record LiteralValue(Location location, String literal) implements LocatedValue {
    @Override
    public String kind() {
      return literal;
    }
  }

  /** Returns the value at a JSON pointer below this value. */
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

  /** Returns the value at a JSON pointer, or the innermost value that contains the location. */
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
