package org.clementinequay.server.logging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Instant;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.testng.annotations.Test;

/** Guards against log lines that collectors cannot read. */
public class JsonLineFormatterTest {
  private static LogRecord entry(Level level, String message) {
    LogRecord entry = new LogRecord(level, message);
    entry.setLoggerName("a.B");
    entry.setInstant(Instant.parse("2026-12-04T08:00:00.250Z"));
    return entry;
  }

  private static JsonNode parse(LogRecord entry) throws IOException {
    String line = new JsonLineFormatter().format(entry);
    assertEquals(line.indexOf('\n'), line.length() - 1, line);
    return new ObjectMapper().readTree(line);
  }

  @Test
  public void recordIsOneLineWithTimeLevelLoggerAndMessage() throws IOException {
    JsonNode line = parse(entry(Level.WARNING, "quoted \"x\"\nsecond {0} line"));
    assertEquals(line.path("@timestamp").asText(), "2026-12-04T08:00:00.250Z");
    assertEquals(line.path("log.level").asText(), "WARN");
    assertEquals(line.path("log.logger").asText(), "a.B");
    assertEquals(line.path("message").asText(), "quoted \"x\"\nsecond {0} line");
    assertFalse(line.has("error.type"));
  }

  @Test
  public void failureHasTypeMessageAndTrace() throws IOException {
    LogRecord entry = entry(Level.SEVERE, "failed");
    entry.setThrown(new IOException("reset", new IllegalStateException("inner")));
    JsonNode line = parse(entry);
    assertEquals(line.path("log.level").asText(), "ERROR");
    assertEquals(line.path("error.type").asText(), "java.io.IOException");
    assertEquals(line.path("error.message").asText(), "reset");
    assertTrue(line.path("error.stack_trace").asText().contains("inner"));
  }

  @Test
  public void levelsBelowInfoAreDebug() throws IOException {
    assertEquals(parse(entry(Level.FINE, "x")).path("log.level").asText(), "DEBUG");
    assertEquals(parse(entry(Level.INFO, "x")).path("log.level").asText(), "INFO");
  }
}
