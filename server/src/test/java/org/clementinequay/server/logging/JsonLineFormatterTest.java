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
  private static LogRecord newRecord(Level level, String message) {
    LogRecord logRecord = new LogRecord(level, message);
    logRecord.setLoggerName("a.B");
    logRecord.setInstant(Instant.parse("2026-12-04T08:00:00.250Z"));
    return logRecord;
  }

  private static JsonNode parse(LogRecord logRecord) throws IOException {
    String line = new JsonLineFormatter().format(logRecord);
    assertEquals(line.indexOf('\n'), line.length() - 1, line);
    return new ObjectMapper().readTree(line);
  }

  @Test
  public void recordIsOneLineWithTimeLevelLoggerAndMessage() throws IOException {
    JsonNode line = parse(newRecord(Level.WARNING, "quoted \"x\"\nsecond {0} line"));
    assertEquals(line.path("@timestamp").asText(), "2026-12-04T08:00:00.250Z");
    assertEquals(line.path("log.level").asText(), "WARN");
    assertEquals(line.path("log.logger").asText(), "a.B");
    assertEquals(line.path("message").asText(), "quoted \"x\"\nsecond {0} line");
    assertFalse(line.has("error.type"));
  }

  @Test
  public void failureHasTypeMessageAndTrace() throws IOException {
    LogRecord logRecord = newRecord(Level.SEVERE, "failed");
    logRecord.setThrown(new IOException("reset", new IllegalStateException("inner")));
    JsonNode line = parse(logRecord);
    assertEquals(line.path("log.level").asText(), "ERROR");
    assertEquals(line.path("error.type").asText(), "java.io.IOException");
    assertEquals(line.path("error.message").asText(), "reset");
    assertTrue(line.path("error.stack_trace").asText().contains("inner"));
  }

  @Test
  public void levelsBelowInfoAreDebug() throws IOException {
    assertEquals(parse(newRecord(Level.FINE, "x")).path("log.level").asText(), "DEBUG");
    assertEquals(parse(newRecord(Level.INFO, "x")).path("log.level").asText(), "INFO");
  }
}
