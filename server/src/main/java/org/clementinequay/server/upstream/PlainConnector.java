package org.clementinequay.server.upstream;

import org.eclipse.jetty.io.ByteBufferPool;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.RetainableByteBuffer;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * Connects without TLS and without a pool of buffers. By default Jetty loads the trusted
 * certificates whenever a client starts, which took a fifth of the startup time of a host that has
 * part of a core. With the pool of Jetty 12.1.13, responses on other connections lose bytes after a
 * response has broken off within a chunk.
 */
public class PlainConnector extends ClientConnector {
  public PlainConnector() {
    setSslContextFactory(new NoTls());
    setByteBufferPool(new HeapBuffers());
  }

  /** Allocates on the heap: direct buffers without a pool are freed only by full collections. */
  private static final class HeapBuffers extends ByteBufferPool.NonPooling {
    @Override
    public RetainableByteBuffer.Mutable acquire(int size, boolean direct) {
      return super.acquire(size, false);
    }
  }

  private static final class NoTls extends SslContextFactory.Client {
    @Override
    protected void doStart() {
      // Loads no certificates, because no connection of this client uses TLS.
    }
  }
}
