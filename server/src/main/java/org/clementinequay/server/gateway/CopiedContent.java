package org.clementinequay.server.gateway;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.io.Content;

/**
 * Body of a request that is sent in copies of its parts. A connection of Jetty 12.1.13 refers to
 * the last buffer that it has sent, also when it is idle or closed; a buffer of the whole body
 * would be held beyond the request.
 */
final class CopiedContent implements Request.Content {
  private static final int PART_BYTES = 16 * 1024;

  private final String contentType;
  private final byte[] body;
  private int position;
  private Throwable failure;

  CopiedContent(String contentType, byte[] body) {
    this.contentType = contentType;
    this.body = body;
  }

  @Override
  public String getContentType() {
    return contentType;
  }

  @Override
  public long getLength() {
    return body.length;
  }

  @Override
  public synchronized Content.Chunk read() {
    if (failure != null) {
      return Content.Chunk.from(failure);
    }
    if (position == body.length) {
      return Content.Chunk.EOF;
    }
    int end = Math.min(position + PART_BYTES, body.length);
    ByteBuffer part = ByteBuffer.wrap(Arrays.copyOfRange(body, position, end));
    position = end;
    return Content.Chunk.from(part, end == body.length);
  }

  /** Runs the callback at once: {@link #read} always returns content or the end. */
  @Override
  public void demand(Runnable demandCallback) {
    demandCallback.run();
  }

  @Override
  public synchronized void fail(Throwable cause) {
    failure = cause;
  }

  @Override
  public synchronized boolean rewind() {
    position = 0;
    return true;
  }
}
