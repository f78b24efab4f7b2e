package org.clementinequay.server.peer;

import java.io.DataInputStream;
import java.io.IOException;
import java.net.Socket;
import java.util.Optional;

/** Writes and reads frames directly, so that tests can violate the protocol at any point. */
final class RawPeer implements AutoCloseable {
  static final String INCARNATION = "f".repeat(32);

  final Socket socket;
  final DataInputStream in;

  RawPeer(TestHost host) throws IOException {
    this(new Socket(host.network.address().getAddress(), host.network.address().getPort()));
  }

  /** Uses a connection that a host has opened. */
  RawPeer(Socket connection) throws IOException {
    socket = connection;
    in = new DataInputStream(socket.getInputStream());
  }

  static PeerMessage.Hello hello(int protocol) {
    return new PeerMessage.Hello(protocol, INCARNATION, "raw", "domain-1", "pnw", 1);
  }

  void send(PeerMessage message) throws IOException {
    socket.getOutputStream().write(FrameCodec.encode(message));
  }

  void sendBytes(byte[] bytes) throws IOException {
    socket.getOutputStream().write(bytes);
  }

  /** Sends a heartbeat without a change of state. */
  void sendHeartbeat(long sequence) throws IOException {
    send(new PeerMessage.Heartbeat(sequence, -1, 0, 0, false, 0, 0));
  }

  /** Exchanges hellos and acknowledges the first heartbeat, after which the link is up. */
  void bringLinkUp() throws IOException {
    send(hello(TcpPeerNetwork.PROTOCOL));
    while (true) {
      Optional<PeerMessage> message = read();
      if (message.orElse(null) instanceof PeerMessage.Heartbeat heartbeat) {
        send(new PeerMessage.HeartbeatAck(heartbeat.sequence(), 0));
        return;
      }
    }
  }

  /** Reads the next message; empty if its type is unknown. */
  Optional<PeerMessage> read() throws IOException {
    byte[] body = new byte[in.readInt()];
    in.readFully(body);
    return FrameCodec.decode(body);
  }

  /** Returns once the other end has closed the connection. */
  void awaitClose() {
    try {
      while (in.read() >= 0) {
        // Discards bytes that were sent before the close.
      }
    } catch (IOException e) {
      // A reset also closes the connection.
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
