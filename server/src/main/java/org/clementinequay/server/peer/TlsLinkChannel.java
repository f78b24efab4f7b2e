package org.clementinequay.server.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLEngineResult;
import javax.net.ssl.SSLEngineResult.HandshakeStatus;
import javax.net.ssl.SSLEngineResult.Status;

/** Bytes of a connection under TLS. The handshake goes on with each read and write. */
final class TlsLinkChannel implements LinkChannel {
  private static final ByteBuffer NO_BYTES = ByteBuffer.allocate(0);

  private final SocketChannel socket;
  private final SSLEngine engine;

  /** Records that were received and not decrypted, ready to be filled. */
  private final ByteBuffer received;

  /** Records that were not sent yet, ready to be filled. */
  private final ByteBuffer unsent;

  TlsLinkChannel(SocketChannel socket, SSLEngine engine) throws IOException {
    this.socket = socket;
    this.engine = engine;
    int recordBytes = engine.getSession().getPacketBufferSize();
    this.received = ByteBuffer.allocate(2 * recordBytes);
    this.unsent = ByteBuffer.allocate(2 * recordBytes);
    engine.beginHandshake();
  }

  @Override
  public int read(ByteBuffer target) throws IOException {
    int start = target.position();
    boolean ended = socket.read(received) < 0;
    advanceHandshake();
    Status status;
    do {
      received.flip();
      SSLEngineResult result = engine.unwrap(received, target);
      received.compact();
      status = result.getStatus();
      advanceHandshake();
      if (result.bytesConsumed() == 0 && result.bytesProduced() == 0) {
        break;
      }
    } while (status == Status.OK);
    send();
    int count = target.position() - start;
    return count == 0 && (ended || status == Status.CLOSED) ? -1 : count;
  }

  @Override
  public int write(ByteBuffer source) throws IOException {
    int start = source.position();
    send();
    advanceHandshake();
    while (isEstablished() && source.hasRemaining() && hasRoom()) {
      wrap(source);
    }
    send();
    return source.position() - start;
  }

  @Override
  public boolean wantsWrite(boolean waiting) {
    return unsent.position() > 0 || (waiting && isEstablished());
  }

  private boolean isEstablished() {
    return engine.getHandshakeStatus() == HandshakeStatus.NOT_HANDSHAKING;
  }

  private boolean hasRoom() {
    return unsent.remaining() >= engine.getSession().getPacketBufferSize();
  }

  private void advanceHandshake() throws IOException {
    while (true) {
      HandshakeStatus status = engine.getHandshakeStatus();
      if (status == HandshakeStatus.NEED_TASK) {
        for (Runnable task = engine.getDelegatedTask();
            task != null;
            task = engine.getDelegatedTask()) {
          task.run();
        }
      } else if (status == HandshakeStatus.NEED_WRAP && hasRoom()) {
        wrap(NO_BYTES);
      } else {
        return;
      }
    }
  }

  private void wrap(ByteBuffer source) throws IOException {
    if (engine.wrap(source, unsent).getStatus() == Status.CLOSED) {
      send();
      throw new IOException("the TLS session is closed");
    }
  }

  private void send() throws IOException {
    unsent.flip();
    try {
      socket.write(unsent);
    } finally {
      unsent.compact();
    }
  }
}
