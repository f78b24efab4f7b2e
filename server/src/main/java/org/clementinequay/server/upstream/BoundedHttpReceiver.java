package org.clementinequay.server.upstream;

import java.nio.ByteBuffer;
import org.eclipse.jetty.client.transport.internal.HttpChannelOverHTTP;
import org.eclipse.jetty.client.transport.internal.HttpReceiverOverHTTP;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.HttpVersion;

/** Receiver that fails on bytes without a request and on too many bytes that are no content. */
final class BoundedHttpReceiver extends HttpReceiverOverHTTP {
  /** Bytes read between two parts of the content: heads, chunk extensions and trailers. */
  private static final int MAX_BYTES_WITHOUT_CONTENT = 64 * 1024;

  /** Whether a request was sent whose response is not complete. */
  private volatile boolean responseExpected;

  private volatile boolean surplus;
  private boolean informational;
  private long bytesWithoutContent;

  BoundedHttpReceiver(HttpChannelOverHTTP channel) {
    super(channel);
  }

  void expectResponse() {
    responseExpected = true;
  }

  /** Returns whether bytes arrived together with the response that do not belong to it. */
  boolean hasSurplus() {
    return surplus;
  }

  /**
   * Records that bytes were read that have not been parsed.
   *
   * @throws UnexpectedBytesException if the connection was closed instead of parsing them
   */
  void recordRead(long count) {
    if (!responseExpected) {
      UnexpectedBytesException failure = new UnexpectedBytesException("bytes without a request");
      getHttpChannel().getHttpConnection().close();
      throw failure;
    }
    bytesWithoutContent += count;
    if (bytesWithoutContent > MAX_BYTES_WITHOUT_CONTENT) {
      UnexpectedBytesException failure =
          new UnexpectedBytesException(bytesWithoutContent + " bytes without content");
      // Ends the reads that Jetty has queued for informational responses, ahead of the failure.
      getHttpChannel().getHttpConnection().getEndPoint().close(failure);
      throw failure;
    }
  }

  @Override
  public void startResponse(HttpVersion version, int status, String reason) {
    informational = HttpStatus.isInterim(status);
    super.startResponse(version, status, reason);
  }

  @Override
  public boolean headerComplete() {
    if (!informational) {
      bytesWithoutContent = 0;
    }
    return super.headerComplete();
  }

  @Override
  public boolean content(ByteBuffer buffer) {
    bytesWithoutContent = 0;
    return super.content(buffer);
  }

  @Override
  public boolean messageComplete() {
    if (!informational) {
      responseExpected = false;
      surplus = getResponseBuffer().hasRemaining();
      bytesWithoutContent = 0;
    }
    return super.messageComplete();
  }
}
