package org.clementinequay.server.logging;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/** Formats a log record as one line of JSON with the field names of the Elastic Common Schema. */
final class JsonLineFormatter extends Formatter {
  private static final String SCHEMA_VERSION = "1.2.0";

  private final JsonFactory json = new JsonFactory();

  @Override
  public String format(LogRecord logRecord) {
    StringWriter line = new StringWriter();
    try (JsonGenerator generator = json.createGenerator(line)) {
      generator.writeStartObject();
      generator.writeStringField("@timestamp", logRecord.getInstant().toString());
      generator.writeStringField("ecs.version", SCHEMA_VERSION);
      generator.writeStringField("log.level", levelName(logRecord.getLevel()));
      generator.writeStringField("message", formatMessage(logRecord));
      generator.writeStringField("process.thread.name", Thread.currentThread().getName());
      generator.writeStringField("log.logger", String.valueOf(logRecord.getLoggerName()));
      if (logRecord.getThrown() != null) {
        writeThrown(generator, logRecord.getThrown());
      }
      generator.writeEndObject();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return line.append('\n').toString();
  }

  private static void writeThrown(JsonGenerator generator, Throwable thrown) throws IOException {
    StringWriter trace = new StringWriter();
    thrown.printStackTrace(new PrintWriter(trace));
    generator.writeStringField("error.type", thrown.getClass().getName());
    generator.writeStringField("error.message", String.valueOf(thrown.getMessage()));
    generator.writeStringField("error.stack_trace", trace.toString());
  }

  private static String levelName(Level level) {
    if (level.intValue() >= Level.SEVERE.intValue()) {
      return "ERROR";
    }
    if (level.intValue() >= Level.WARNING.intValue()) {
      return "WARN";
    }
    return level.intValue() >= Level.INFO.intValue() ? "INFO" : "DEBUG";
  }
}
