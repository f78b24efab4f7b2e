package org.clementinequay.server.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** Relays connections; open ones can be made to swallow bytes while new ones work. */
final class Relay implements AutoCloseable {
  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final InetSocketAddress target;
  private final List<Pipe> pipes = new CopyOnWriteArrayList<>();

  Relay(InetSocketAddress target) throws IOException {
    this.target = target;
    Threads.start("relay", this::accept);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  void swallow(boolean toTarget, boolean fromTarget) {
    for (Pipe pipe : pipes) {
      pipe.swallowing |= pipe.toTarget ? toTarget : fromTarget;
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket client = server.accept();
        Socket upstream = new Socket(target.getAddress(), target.getPort());
        // Listed before they copy, so that a link that is up can always be made to swallow bytes.
        List<Pipe> both =
            List.of(new Pipe(client, upstream, true), new Pipe(upstream, client, false));
        pipes.addAll(both);
        both.forEach(Pipe::start);
      }
    } catch (IOException e) {
      // The relay was closed.
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Pipe pipe : pipes) {
      pipe.from.close();
    }
  }

  /** One direction of a connection. */
  private static final class Pipe {
    private final Socket from;
    private final Socket to;
    private final boolean toTarget;
    private volatile boolean swallowing;

    private Pipe(Socket from, Socket to, boolean toTarget) {
      this.from = from;
      this.to = to;
      this.toTarget = toTarget;
    }

    private void start() {
      Threads.start("relay-pipe", this::copy);
    }

    private void copy() {
      byte[] buffer = new byte[8192];
      try (InputStream in = from.getInputStream();
          OutputStream out = to.getOutputStream()) {
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
          if (!swallowing) {
            out.write(buffer, 0, n);
          }
        }
        while (swallowing) {
          // A silent connection does not show the other end's close either.
          Thread.sleep(50);
        }
      } catch (IOException | InterruptedException e) {
        // One end closed.
      }
    }
  }
}
