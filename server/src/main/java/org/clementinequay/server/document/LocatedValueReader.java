package org.clementinequay.server.document;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.clementinequay.core.config.Finding;
import org.clementinequay.core.config.Severity;

/** Parses JSON with Java comments into values with their locations in the text. */
public final class LocatedValueReader {
  private static final JsonFactory FACTORY =
      JsonFactory.builder().enable(JsonReadFeature.ALLOW_JAVA_COMMENTS).build();

  private final JsonParser parser;
  private final List<Finding> findings;

  private LocatedValueReader(JsonParser parser, List<Finding> findings) {
    this.parser = parser;
    this.findings = findings;
  }

  /**
   * Parses a document.
   *
   * @param findings receives duplicate keys and at most one syntax error
   * @return empty after a syntax error, since the rest of the text cannot be interpreted
   */
  public static Optional<LocatedValue> read(String text, List<Finding> findings) {
    try (JsonParser parser = FACTORY.createParser(text)) {
      if (parser.nextToken() == null) {
        findings.add(Finding.error("", "the document is empty").withLocation(1, 1));
        return Optional.empty();
      }
      LocatedValue value = new LocatedValueReader(parser, findings).readValue("");
      if (parser.nextToken() != null) {
        JsonLocation location = parser.currentTokenLocation();
        findings.add(
            Finding.error("", "text after the end of the document")
                .withLocation(location.getLineNr(), location.getColumnNr()));
        return Optional.empty();
      }
      return Optional.of(value);
    } catch (JsonProcessingException e) {
      JsonLocation location = e.getLocation();
      findings.add(
          new Finding(
              Severity.ERROR,
              "",
              location == null ? 0 : location.getLineNr(),
              location == null ? 0 : location.getColumnNr(),
              "not valid JSON: " + e.getOriginalMessage()));
      return Optional.empty();
    } catch (IOException e) {
      throw new UncheckedIOException("reading from memory failed", e);
    }
  }

  private LocatedValue readValue(String pointer) throws IOException {
    JsonToken token = parser.currentToken();
    JsonLocation start = parser.currentTokenLocation();
    return switch (token) {
      case START_OBJECT -> {
        Map<String, LocatedValue.Member> members = readMembers(pointer);
        yield new LocatedValue.ObjectValue(location(pointer, start), members);
      }
      case START_ARRAY -> {
        List<LocatedValue> items = readItems(pointer);
        yield new LocatedValue.ArrayValue(location(pointer, start), items);
      }
      case VALUE_STRING -> {
        String text = parser.getText();
        yield new LocatedValue.StringValue(location(pointer, start), text);
      }
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> {
        String literal = parser.getText();
        yield new LocatedValue.NumberValue(
            location(pointer, start), literal, token == JsonToken.VALUE_NUMBER_INT);
      }
      default -> {
        String literal = parser.getText();
        yield new LocatedValue.LiteralValue(location(pointer, start), literal);
      }
    };
  }

  private Map<String, LocatedValue.Member> readMembers(String pointer) throws IOException {
    Map<String, LocatedValue.Member> members = new LinkedHashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String key = parser.currentName();
      String memberPointer = JsonPointers.child(pointer, key);
      LocatedValue.Location keyLocation = location(memberPointer, parser.currentTokenLocation());
      parser.nextToken();
      LocatedValue.Member member = new LocatedValue.Member(keyLocation, readValue(memberPointer));
      if (members.putIfAbsent(key, member) != null) {
        findings.add(
            Finding.error(memberPointer, "key \"" + key + "\" occurs more than once")
                .withLocation(keyLocation.line(), keyLocation.column()));
      }
    }
    return members;
  }

  private List<LocatedValue> readItems(String pointer) throws IOException {
    List<LocatedValue> items = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      items.add(readValue(pointer + "/" + items.size()));
    }
    return items;
  }

  /** Returns the location of the key or value that ends at the parser's position. */
  private LocatedValue.Location location(String pointer, JsonLocation start) {
    return new LocatedValue.Location(
        pointer,
        start.getLineNr(),
        start.getColumnNr(),
        (int) start.getCharOffset(),
        (int) parser.currentLocation().getCharOffset());
  }
}
