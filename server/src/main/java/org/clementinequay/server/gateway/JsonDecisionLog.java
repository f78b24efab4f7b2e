package org.clementinequay.server.gateway;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Collection;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.clementinequay.core.time.RuntimeClock;

/**
 * Writes each decision as a line of JSON. Callers only add an entry to a bounded queue; one thread
 * writes. Entries that do not fit into the queue are dropped and counted, and the count is logged
 * with the next entries, so that a slow reader of the log never delays a request.
 */
public final class JsonDecisionLog implements DecisionLog, AutoCloseable {
  private static final int QUEUE_CAPACITY = 4096;
  private static final int INITIAL_BUFFER_BYTES = 512;

  /** Bytes after which lines are written before further ones are formatted. */
  static final int MAX_BATCH_BYTES = 64 << 10;

  /** Length to which texts are cut: ids and headers of callers may have the size of a head. */
  static final int MAX_TEXT_LENGTH = 512;

  private static final String CUT_MARK = "...";

  private final BlockingQueue<Entry> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final AtomicLong dropped = new AtomicLong();
  private final JsonFactory json = new JsonFactory();
  private final OutputStream out;
  private final RuntimeClock clock;
  private final String host;
  private final Thread writer = new Thread(this::run, "decision-log");

  private record Entry(long nanos, String event, Object[] fields) {}

  /** Creates a log and starts its writer thread; the stream is never closed. */
  public JsonDecisionLog(OutputStream out, RuntimeClock clock, String host) {
    this.out = out;
    this.clock = clock;
    this.host = host;
    writer.setDaemon(true);
    writer.start();
  }

  @Override
  public void record(String event, Object... fields) {
    for (int i = 1; i < fields.length; i += 2) {
      fields[i] = bounded(fields[i]);
    }
    if (!queue.offer(new Entry(clock.nanoTime(), event, fields))) {
      dropped.incrementAndGet();
    }
  }

  /** Returns a value that does not keep what a caller sent in memory while it waits. */
  private static Object bounded(Object value) {
    if (value instanceof Number || value instanceof Boolean) {
      return value;
    }
    String text = value instanceof Collection<?> items ? join(items) : String.valueOf(value);
    return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH) + CUT_MARK;
  }

  private static String join(Collection<?> items) {
    StringBuilder text = new StringBuilder("[");
    for (Object item : items) {
      if (text.length() > MAX_TEXT_LENGTH) {
        return text.toString();
      }
      text.append(text.length() == 1 ? "" : ", ").append(item);
    }
    return text.append(']').toString();
  }

  /** Returns the number of dropped entries since the start. */
  public long dropped() {
    return dropped.get();
  }

  private void run() {
    long reportedDropped = 0;
    try {
      while (true) {
        Entry entry = queue.take();
        ByteArrayOutputStream lines = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
        while (entry != null) {
          appendLine(lines, entry);
          entry = lines.size() < MAX_BATCH_BYTES ? queue.poll() : null;
        }
        long totalDropped = dropped.get();
        if (totalDropped > reportedDropped) {
          Object[] fields = {"count", totalDropped - reportedDropped};
          appendLine(lines, new Entry(clock.nanoTime(), "log_dropped", fields));
          reportedDropped = totalDropped;
        }
        lines.writeTo(out);
        out.flush();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The log can no longer be written; from here on entries are dropped and counted.
      dropped.addAndGet(queue.size());
    }
  }

  private void appendLine(ByteArrayOutputStream lines, Entry entry) throws IOException {
    try (JsonGenerator generator = json.createGenerator(lines)) {
      generator.writeStartObject();
      generator.writeNumberField("t_ms", entry.nanos() / 1_000_000);
      generator.writeStringField("host", host);
      generator.writeStringField("event", entry.event());
      for (int i = 0; i + 1 < entry.fields().length; i += 2) {
        generator.writeFieldName(String.valueOf(entry.fields()[i]));
        writeValue(generator, entry.fields()[i + 1]);
      }
      generator.writeEndObject();
    }
    lines.write('\n');
  }

  private static void writeValue(JsonGenerator generator, Object value) throws IOException {
    if (value instanceof Integer || value instanceof Long) {
      generator.writeNumber(((Number) value).longValue());
    } else if (value instanceof Number number) {
      generator.writeNumber(number.doubleValue());
    } else if (value instanceof Boolean flag) {
      generator.writeBoolean(flag);
    } else {
      generator.writeString(String.valueOf(value));
    }
  }

  @Override
  public void close() {
    writer.interrupt();
  }
}
