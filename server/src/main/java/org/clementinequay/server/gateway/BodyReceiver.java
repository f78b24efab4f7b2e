package org.clementinequay.server.gateway;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import org.clementinequay.core.ingress.Admission;
import org.clementinequay.core.ingress.IngressHolder;
import org.clementinequay.core.ingress.IngressShare;
import org.clementinequay.core.ingress.TurnAway;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;

/**
 * Reads the body of a request as far as the budget admits it. The body is held whole, as another
 * attempt may need it. A body that nobody needs is read and dropped, so that a caller that sends
 * all of it before it reads gets its answer.
 */
final class BodyReceiver implements IngressHolder {
  private static final int MIN_CAPACITY_BYTES = 8 * 1024;
  private static final byte[] EMPTY = {};

  /** What becomes of a body. Exactly one method is called, once. */
  interface Listener {
    void complete(byte[] body);

    void tooLong();

    void turnedAway(TurnAway limit);

    void broken(Throwable failure);
  }

  private final Request request;
  private final IngressShare share;
  private final int maxBytes;
  private final boolean keeps;
  private final Listener listener;
  private byte[] bytes = EMPTY;
  private int length;
  private boolean ended;

  /** Content that was read and has no room yet. */
  private Optional<Content.Chunk> pending = Optional.empty();

  /**
   * Creates a receiver for a body.
   *
   * @param maxBytes maximum size of the body
   * @param keeps whether the body is held; otherwise {@link Listener#complete} gets an empty one
   */
  BodyReceiver(
      Request request, IngressShare share, int maxBytes, boolean keeps, Listener listener) {
    this.request = request;
    this.share = share;
    this.maxBytes = maxBytes;
    this.keeps = keeps;
    this.listener = listener;
  }

  /** Reads what has arrived, and goes on when more does. */
  void advance() {
    Runnable next;
    synchronized (this) {
      next = read();
    }
    next.run();
  }

  private Runnable read() {
    while (!ended) {
      Content.Chunk chunk = pending.orElseGet(request::read);
      pending = Optional.empty();
      if (chunk == null) {
        return () -> request.demand(this::advance);
      }
      if (Content.Chunk.isFailure(chunk)) {
        ended = true;
        return () -> listener.broken(chunk.getFailure());
      }
      int count = chunk.remaining();
      if (count > maxBytes - length) {
        chunk.release();
        ended = true;
        return listener::tooLong;
      }
      if (keeps && !makeRoom(length + count)) {
        pending = Optional.of(chunk);
        return () -> {};
      }
      take(chunk.getByteBuffer());
      boolean last = chunk.isLast();
      chunk.release();
      if (last) {
        ended = true;
        return end();
      }
    }
    return () -> {};
  }

  /** Returns whether the array has a size; takes more from the budget if it has not. */
  private boolean makeRoom(int size) {
    if (size <= bytes.length) {
      return true;
    }
    int capacity = capacityFor(size);
    if (share.takeBody(capacity) != Admission.ADMITTED) {
      return false;
    }
    resize(capacity);
    return true;
  }

  /** Doubles the array, so that callers take no more than twice what they sent. */
  private int capacityFor(int size) {
    long declared = request.getLength();
    long most = declared < 0 ? maxBytes : Math.min(maxBytes, declared);
    return (int) Math.max(size, Math.min(most, Math.max(MIN_CAPACITY_BYTES, 2L * bytes.length)));
  }

  private void resize(int capacity) {
    int before = bytes.length;
    bytes = Arrays.copyOf(bytes, capacity);
    share.release(before);
  }

  private void take(ByteBuffer content) {
    int count = content.remaining();
    if (keeps) {
      content.get(bytes, length, count);
    }
    length += count;
    share.recordProgress(count);
  }

  private Runnable end() {
    share.endBody();
    byte[] body = keeps ? bytes : EMPTY;
    if (keeps && length < bytes.length) {
      body = Arrays.copyOf(bytes, length);
      share.release(bytes.length - length);
    }
    bytes = EMPTY;
    byte[] complete = body;
    return () -> listener.complete(complete);
  }

  @Override
  public void resume() {
    synchronized (this) {
      if (!ended && pending.isPresent()) {
        resize(capacityFor(length + pending.get().remaining()));
      }
    }
    advance();
  }

  @Override
  public void turnAway(TurnAway limit) {
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      pending.ifPresent(Content.Chunk::release);
      pending = Optional.empty();
      bytes = EMPTY;
    }
    listener.turnedAway(limit);
  }
}
