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

/** Relays TCP connections; open ones can be made to discard bytes while new ones still work. */
final class Relay implements AutoCloseable {
  private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
  private final InetSocketAddress target;
  private final List<Pipe> pipes = new CopyOnWriteArrayList<>();

  Relay(InetSocketAddress target) throws IOException {
    this.target = target;
    DaemonThreads.start("relay", this::accept);
  }

  String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  void discard(boolean toTarget, boolean fromTarget) {
    for (Pipe pipe : pipes) {
      pipe.discarding |= pipe.toTarget ? toTarget : fromTarget;
    }
  }

  private void accept() {
    try {
      while (true) {
        Socket clientSocket = server.accept();
        Socket targetSocket = new Socket(target.getAddress(), target.getPort());
        // Added before they copy, so that the pipes of every link that is up are in the list.
        List<Pipe> newPipes =
            List.of(
                new Pipe(clientSocket, targetSocket, true),
                new Pipe(targetSocket, clientSocket, false));
        pipes.addAll(newPipes);
        newPipes.forEach(Pipe::start);
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
    private volatile boolean discarding;

    private Pipe(Socket from, Socket to, boolean toTarget) {
      this.from = from;
      this.to = to;
      this.toTarget = toTarget;
    }

    private void start() {
      DaemonThreads.start("relay-pipe", this::copy);
    }

    private void copy() {
      byte[] buffer = new byte[8192];
      try (InputStream in = from.getInputStream();
          OutputStream out = to.getOutputStream()) {
        for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
          if (!discarding) {
            out.write(buffer, 0, n);
          }
        }
        while (discarding) {
          // The close of the other end is not passed on while bytes are discarded.
          Thread.sleep(50);
        }
      } catch (IOException | InterruptedException e) {
        // One end closed.
      }
    }
  }
}
