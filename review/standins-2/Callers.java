import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ordinary callers of one host. Each keeps its channel and asks on it for one sheet after another,
 * whose first event takes {@link Upstream#FIRST_EVENT_MILLIS}. Judges LOST as it is written.
 */
final class Callers {
  private static final int TIME_BUDGET_MILLIS = 25_000;

  /** Requests that may be closed without an answer. */
  private static final int MOST_LOST = 3;

  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger others = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private final Record record;
  private final Host host;
  private volatile boolean over;

  Callers(Record record, Host host) {
    this.record = record;
    this.host = host;
  }

  void start(int callers) {
    for (int i = 0; i < callers; i++) {
      int number = i;
      Net.start("callers", () -> call(number));
    }
  }

  /** Ends the callers; what happens from now on is not counted. */
  void stop() {
    over = true;
  }

  private void call(int caller) throws Exception {
    try (Socket socket = Net.connect(host.callers)) {
      socket.setSoTimeout(TIME_BUDGET_MILLIS);
      boolean open = true;
      for (int i = 0; open && !over; i++) {
        open = send(socket, String.format("a%03x%05x", caller, i), i == 0);
      }
    }
  }

  /** Sends a request; returns whether the channel can be used again. */
  private boolean send(Socket socket, String id, boolean first) throws IOException {
    record.add("sheet %s is sent", id);
    socket
        .getOutputStream()
        .write(
            Net.bytes(
                Manifest.request(
                        "POST",
                        "sheet",
                        id,
                        TIME_BUDGET_MILLIS,
                        "Model: m0\r\nToken-Count: 3000,6\r\nContent-Length: 5\r\n")
                    + "hello"));
    boolean closed = false;
    boolean whole = false;
    String end;
    try {
      Net.Message head = Net.readHead(socket.getInputStream());
      closed = head == null;
      end = closed ? "closed" : head.firstLine();
      whole = !closed && Net.readBody(socket.getInputStream(), head) != null;
    } catch (SocketTimeoutException e) {
      end = "the client leaves";
    } catch (IOException e) {
      closed = true;
      end = e.getMessage();
    }
    if (over) {
      return false;
    }
    boolean passedOn = Upstream.SOUND.contains(id) && !Upstream.TROUBLED.contains(id);
    record.add("sheet %s: %s%s", id, end, passedOn ? " (reached a sound server)" : "");
    if (whole && end.contains(" 200")) {
      answered.incrementAndGet();
    } else if (closed && !first && passedOn) {
      lost.incrementAndGet();
    } else {
      others.incrementAndGet();
    }
    return whole;
  }

  /** Shows what was counted and returns the exit code. */
  int verdict() {
    record.show(
        "sheets of the callers: %d answered; %d on kept channels reached a sound server only and"
            + " were closed without an answer; %d others",
        answered.get(), lost.get(), others.get());
    boolean broken = lost.get() > MOST_LOST;
    record.show(broken ? "LOST is broken" : "the rule held");
    return broken ? Net.BROKEN : 0;
  }
}
