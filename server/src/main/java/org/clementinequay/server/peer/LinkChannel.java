package org.clementinequay.server.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

/** Bytes of a connection, in plain text or under TLS. No method blocks. */
interface LinkChannel {
  /** Reads into a buffer; returns -1 at the end of the connection. */
  int read(ByteBuffer target) throws IOException;

  /** Takes bytes to write; returns how many. */
  int write(ByteBuffer source) throws IOException;

  /**
   * Returns whether {@link #write} should be called when the socket can be written.
   *
   * @param waiting whether bytes wait that were not taken yet
   */
  boolean wantsWrite(boolean waiting);

  /** Returns a channel without encryption. */
  static LinkChannel plain(SocketChannel socket) {
    return new LinkChannel() {
      @Override
      public int read(ByteBuffer target) throws IOException {
        return socket.read(target);
      }

      @Override
      public int write(ByteBuffer source) throws IOException {
        return socket.write(source);
      }

      @Override
      public boolean wantsWrite(boolean waiting) {
        return waiting;
      }
    };
  }
}
