package org.clementinequay.server.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import java.time.Instant;
import java.util.List;
import org.clementinequay.core.config.ConfigurationDiff;
import org.clementinequay.core.config.Finding;
import org.clementinequay.core.spread.RevisionRecord;

/** Converts values to the JSON of the operators' API, whose keys are in snake case. */
public final class OperatorJson {
  /** Maps records to snake-case keys and writes times in ISO 8601. */
  static final JsonMapper MAPPER =
      JsonMapper.builder()
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .addModule(new SimpleModule().addSerializer(Instant.class, ToStringSerializer.instance))
          .build();

  private OperatorJson() {}

  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Returns a revision without its document; the time of acceptance is in ISO 8601. */
  public static ObjectNode revision(RevisionRecord record) {
    return object()
        .put("revision", record.revision())
        .put("hash", record.hash())
        .put("operator", record.operator())
        .put("submission_id", record.submissionId())
        .put("base_revision", record.baseRevision())
        .put("accepted_at", record.acceptedAt().toString());
  }

  /** Returns findings as an array, in the given order. */
  public static ArrayNode findings(List<Finding> findings) {
    ArrayNode array = MAPPER.createArrayNode();
    for (Finding finding : findings) {
      array
          .addObject()
          .put("severity", finding.severity().label())
          .put("pointer", finding.pointer())
          .put("line", finding.line())
          .put("column", finding.column())
          .put("message", finding.message());
    }
    return array;
  }

  /**
   * Returns changes as an array, in the given order; {@code null} stands for a value that is absent
   * on one side.
   */
  public static ArrayNode changes(List<ConfigurationDiff.Change> changes) {
    ArrayNode array = MAPPER.createArrayNode();
    for (ConfigurationDiff.Change change : changes) {
      array
          .addObject()
          .put("pointer", change.pointer())
          .put("before", change.before().orElse(null))
          .put("after", change.after().orElse(null));
    }
    return array;
  }

  /**
   * Serializes a JSON tree or a record.
   *
   * @throws IllegalStateException if the value cannot be mapped to JSON
   */
  public static String text(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(
          "a value of " + value.getClass() + " cannot be mapped to JSON", e);
    }
  }
}
