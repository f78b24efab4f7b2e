package org.clementinequay.server.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.clementinequay.core.forward.ForwardingConfiguration;
import org.clementinequay.core.ingress.Admission;
import org.clementinequay.core.ingress.IngressHolder;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** One request of a caller, from its head to the end of its response. */
final class CallerExchange implements CallerResponse {
  private final Gateway gateway;
  private final Response response;
  private final Callback callback;
  private final CloseAwareEndPoint endPoint;
  private final BooleanSupplier draining;
  private final AtomicBoolean completed = new AtomicBoolean();

  /** Time at which the head of the request was read. */
  final long receivedNanos;

  private volatile long bodyNanos;
  private volatile RequestForwarder forwarder;
  private boolean headSet;

  /**
   * Creates an exchange whose head was just read.
   *
   * @param endPoint connection of the caller
   * @param draining whether responses announce the close of the connection
   * @param onEnd called when the response was written or failed, before the next request is read
   */
  CallerExchange(
      Gateway gateway,
      Response response,
      Callback callback,
      CloseAwareEndPoint endPoint,
      BooleanSupplier draining,
      Consumer<CallerExchange> onEnd) {
    this.gateway = gateway;
    this.response = response;
    this.callback = Callback.from(() -> onEnd.accept(this), callback);
    this.endPoint = endPoint;
    this.draining = draining;
    this.receivedNanos = gateway.clock.nanoTime();
  }

  /** Records that the whole body was read. */
  void bodyRead() {
    bodyNanos = gateway.clock.nanoTime();
  }

  /**
   * Records that the request is forwarded.
   *
   * @return false if it was refused meanwhile, so that it must not run
   */
  synchronized boolean forwardedBy(RequestForwarder value) {
    if (completed.get()) {
      return false;
    }
    forwarder = value;
    return true;
  }

  /** Ends the request because this host ends. */
  void endForStop() {
    synchronized (this) {
      if (forwarder == null) {
        refuse("", HttpStatus.SERVICE_UNAVAILABLE_503, "this host stops");
        return;
      }
    }
    forwarder.endForStop();
  }

  /** Logs the state of this request, which is open when this host ends. */
  void logUnfinished(long stopNanos) {
    RequestForwarder running = forwarder;
    gateway.log.record(
        "unfinished",
        "request",
        running == null ? "" : running.request.id().orElse(""),
        "head_ms",
        (receivedNanos - stopNanos) / 1_000_000,
        "body_read",
        bodyNanos != 0,
        "body_ms",
        bodyNanos == 0 ? 0 : (bodyNanos - stopNanos) / 1_000_000,
        "request_of_connection",
        endPoint.requestCount());
    if (running != null) {
      running.logUnfinished(stopNanos);
    }
  }

  /** Refuses a request that was not sent to any upstream. */
  void refuse(String id, int status, String reason) {
    long version = gateway.configuration().map(ForwardingConfiguration::version).orElse(0L);
    gateway.log.record(
        "refused", "request", id, "status", status, "reason", reason, "configuration", version);
    long elapsedNanos = gateway.clock.nanoTime() - receivedNanos;
    gateway.observer.requestFinished("", "", status, "refused", 0, elapsedNanos);
    sendComplete(
        status,
        ErrorResponses.headers(status, ErrorResponses.DEFAULT_RETRY_AFTER_SECONDS),
        ErrorResponses.body(reason));
  }

  @Override
  public Admission takeRoom(long bytes, IngressHolder holder) {
    endPoint.setReceiver(holder);
    return endPoint.share().takeAnswerRoom(bytes);
  }

  @Override
  public void recordReceived(int bytes) {
    endPoint.share().recordProgress(bytes);
  }

  @Override
  public void releaseRoom() {
    endPoint.setReceiver(null);
    endPoint.share().releaseAnswerRoom();
  }

  @Override
  public void sendComplete(int status, HttpFields headers, byte[] body) {
    if (headSet) {
      abort("the response has begun with another head");
      return;
    }
    if (completed.compareAndSet(false, true)) {
      setHead(status, headers);
      if (bodyNanos == 0) {
        // What is left of the request is not read.
        response.getHeaders().put(HttpHeader.CONNECTION, "close");
      }
      // From here on a caller who is turned away loses its connection.
      endPoint.setReceiver(null);
      endPoint.share().takeAnswer(body.length);
      response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
      response.write(true, ByteBuffer.wrap(body), callback);
    }
  }

  @Override
  public void sendHead(int status, HttpFields headers) {
    setHead(status, headers);
    // Jetty omits the chunked encoding on a connection that will close, and a truncated response
    // would then look complete.
    response.getHeaders().put(HttpHeader.TRANSFER_ENCODING, "chunked");
  }

  private void setHead(int status, HttpFields headers) {
    headSet = true;
    response.setStatus(status);
    for (HttpField field : headers) {
      response.getHeaders().add(field);
    }
    if (draining.getAsBoolean()) {
      response.getHeaders().put(HttpHeader.CONNECTION, "close");
    }
  }

  @Override
  public void sendPart(ByteBuffer bytes, Callback sent) {
    response.write(false, bytes, sent);
  }

  @Override
  public void end() {
    if (completed.compareAndSet(false, true)) {
      response.write(true, null, callback);
    }
  }

  @Override
  public boolean isDisconnected() {
    return endPoint.isClosedByCaller();
  }

  @Override
  public void abort(String reason) {
    if (completed.compareAndSet(false, true)) {
      callback.failed(new IOException(reason));
    }
  }
}
