import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** What was sent, answered and run, in the order of time; shared by all threads of a case. */
final class Record implements AutoCloseable {
  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  Record(Path file) throws IOException {
    out = new PrintWriter(file.toFile());
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void add(String format, Object... values) {
    out.printf("%8d ms  %s%n", millis(), String.format(format, values));
  }

  /** Adds a line that is also shown to who runs the case. */
  synchronized void show(String format, Object... values) {
    add(format, values);
    System.out.println(String.format(format, values));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
