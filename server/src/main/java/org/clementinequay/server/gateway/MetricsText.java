package org.clementinequay.server.gateway;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * Text of the metrics, which is megabytes long on hosts with many client accounts and routes. Those
 * who read it at the same time share one text, so that slow readers hold it once. Thread-safe.
 */
final class MetricsText {
  /** Readers at a time; the connections beyond are left to the readiness check. */
  static final int MAX_READERS = 8;

  private static final int SEGMENT_BYTES = 64 << 10;

  private final Source source;
  private List<byte[]> segments = List.of();
  private int readers;

  /** Writes the current metrics. */
  interface Source {
    void writeTo(OutputStream out) throws IOException;
  }

  MetricsText(Source source) {
    this.source = source;
  }

  /**
   * Begins to read: returns the segments of the text, or nothing if too many read it already. Each
   * reader that has got them must call {@link #close} once.
   */
  synchronized Optional<List<byte[]>> open() {
    if (readers == MAX_READERS) {
      return Optional.empty();
    }
    if (readers == 0) {
      segments = write();
    }
    readers++;
    return Optional.of(segments);
  }

  /** Ends the reading by one reader. */
  synchronized void close() {
    readers--;
    if (readers == 0) {
      segments = List.of();
    }
  }

  private List<byte[]> write() {
    SegmentedOutput out = new SegmentedOutput();
    try {
      source.writeTo(out);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return out.segments();
  }

  /** Output in segments, which needs no contiguous room for the whole. */
  private static final class SegmentedOutput extends OutputStream {
    private final List<byte[]> full = new ArrayList<>();
    private byte[] current = new byte[SEGMENT_BYTES];
    private int length;

    @Override
    public void write(int value) {
      write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int count) {
      for (int done = 0; done < count; ) {
        if (length == SEGMENT_BYTES) {
          full.add(current);
          current = new byte[SEGMENT_BYTES];
          length = 0;
        }
        int part = Math.min(count - done, SEGMENT_BYTES - length);
        System.arraycopy(bytes, offset + done, current, length, part);
        length += part;
        done += part;
      }
    }

    private List<byte[]> segments() {
      List<byte[]> all = new ArrayList<>(full);
      all.add(Arrays.copyOf(current, length));
      return List.copyOf(all);
    }
  }
}
