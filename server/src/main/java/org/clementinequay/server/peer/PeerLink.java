package org.clementinequay.server.peer;

import com.google.common.flogger.FluentLogger;
import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.clementinequay.core.membership.FailureDetector;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.peer.PeerStatistics.Counter;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;

/**
 * One connection to another entry host. Its reader thread opens it, exchanges hellos and reads; its
 * writer thread sends frames from a bounded ring. The link is offered to the network when the first
 * heartbeat was answered: a process that died after it sent its hello never gets that far. A
 * connection that was closed or went silent is never used again.
 */
final class PeerLink {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Frames waiting to be sent; about ten seconds of a busy host's bill copies. */
  private static final int QUEUE_FRAMES = 1024;

  /** Bytes waiting to be sent; a few configuration documents. */
  private static final long QUEUE_BYTES = 16L << 20;

  /** A new sample of the round-trip time counts an eighth, as in TCP. */
  private static final int ROUND_TRIP_SHIFT = 3;

  /** Why a link ended. */
  enum End {
    CLOSED,
    SILENT,
    SUPERSEDED,
    SURPLUS,
    REFUSED,
    SHUTDOWN
  }

  /** The network that a link belongs to. */
  interface Owner {
    /** Returns the first message to send. */
    PeerMessage.Hello hello();

    /** Checks the identity of the other end; false closes the connection. */
    boolean accepts(PeerMessage.Hello hello, PeerIdentity remote);

    /** Returns the content of the next heartbeat. */
    HeartbeatContent heartbeat();

    /** Offers a link whose other end has answered a heartbeat; false closes it. */
    boolean admit(PeerLink link);

    /** Delivers a message of an admitted link. */
    void received(PeerLink link, PeerMessage message);

    /** Called once when the link has ended. */
    void ended(PeerLink link, End end);
  }

  private final Owner owner;
  private final String label;
  private final boolean dialled;
  private final Socket raw;
  private final PeerSockets.Opener opener;
  private final RuntimeClock clock;
  private final PeerStatistics statistics;
  private final FailureDetector detector;
  private final MpscBlockingConsumerArrayQueue<byte[]> queue =
      new MpscBlockingConsumerArrayQueue<>(QUEUE_FRAMES);
  private final AtomicLong queuedBytes = new AtomicLong();
  private final AtomicBoolean ended = new AtomicBoolean();
  private final long openedNanos;
  private volatile Thread writer;
  private volatile PeerIdentity remote;
  private volatile PeerNetwork.Peer peer;
  private volatile boolean admitted;
  private long lastSequence = -1;
  private long lastSentNanos;
  private long lastAnswered = -1;
  private long lastHeard = -1;
  private long lastHeardNanos;

  /**
   * Creates a link that is not open yet.
   *
   * @param label name of the other end for threads and logs
   * @param dialled whether this host opened the connection
   * @param raw the TCP socket, below TLS
   */
  PeerLink(
      Owner owner,
      String label,
      boolean dialled,
      Socket raw,
      PeerSockets.Opener opener,
      RuntimeClock clock,
      PeerStatistics statistics,
      PeerTimings timings) {
    this.owner = owner;
    this.label = label;
    this.dialled = dialled;
    this.raw = raw;
    this.opener = opener;
    this.clock = clock;
    this.statistics = statistics;
    this.openedNanos = clock.nanoTime();
    this.detector = new FailureDetector(timings.progressTimeout(), openedNanos);
  }

  /** Starts the reader thread, which opens the connection. */
  void start() {
    Threads.start("peer-reader-" + label, this::run);
  }

  private void run() {
    End end = End.CLOSED;
    try {
      Socket socket = opener.open(raw);
      end = converse(socket);
    } catch (InvalidFrameException e) {
      statistics.add(Counter.INVALID_FRAMES, 1);
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "closing the connection with %s: %s", label, e.getMessage());
    } catch (IOException e) {
      logger.atFine().log("connection with %s ended: %s", label, e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("closing the connection with %s", label);
    } finally {
      end(end);
    }
  }

  private End converse(Socket socket) throws IOException, InterruptedException {
    DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    OutputStream out = new BufferedOutputStream(socket.getOutputStream());
    send(out, FrameCodec.encode(owner.hello()));
    out.flush();
    Optional<PeerMessage> first = next(in, FrameCodec.MAX_HELLO_BYTES);
    if (!(first.orElse(null) instanceof PeerMessage.Hello hello)) {
      throw new InvalidFrameException("first message is not a hello");
    }
    PeerIdentity identity = PeerIdentity.of(hello);
    if (!owner.accepts(hello, identity)) {
      return End.REFUSED;
    }
    remote = identity;
    peer = describe(0, 0, false);
    writer = Threads.start("peer-writer-" + identity.host(), () -> write(out));
    beat(owner.heartbeat());
    while (!ended.get()) {
      Optional<PeerMessage> message = next(in, FrameCodec.MAX_FRAME_BYTES);
      if (message.isPresent() && !handle(message.get())) {
        return End.REFUSED;
      }
    }
    return End.CLOSED;
  }

  private Optional<PeerMessage> next(DataInputStream in, int maxBytes) throws IOException {
    byte[] body = FrameCodec.read(in, maxBytes);
    statistics.add(Counter.BYTES_RECEIVED, FrameCodec.PREFIX_BYTES + (long) body.length);
    Optional<PeerMessage> message = FrameCodec.decode(body);
    if (message.isEmpty()) {
      statistics.add(Counter.UNKNOWN_MESSAGES, 1);
    }
    return message;
  }

  private boolean handle(PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.Heartbeat heartbeat) {
      heard(heartbeat);
      if (!answered(heartbeat.answered(), heartbeat.heldMicros())) {
        return false;
      }
    } else if (message instanceof PeerMessage.HeartbeatAck ack) {
      if (!answered(ack.answered(), 0)) {
        return false;
      }
    } else if (message instanceof PeerMessage.Hello || !admitted) {
      throw new InvalidFrameException("message out of order: " + message.getClass());
    }
    if (admitted) {
      owner.received(this, message);
    }
    return true;
  }

  private void heard(PeerMessage.Heartbeat heartbeat) throws IOException {
    boolean first;
    synchronized (this) {
      first = lastHeard < 0;
      lastHeard = heartbeat.sequence();
      lastHeardNanos = clock.nanoTime();
      detector.recordLeaving(heartbeat.leaving());
      peer = describe(peer.roundTripNanos(), heartbeat.revision(), heartbeat.leaving());
    }
    if (first) {
      // The other end's link is not up before an answer; it should not wait for an interval.
      long revision = owner.heartbeat().revision();
      offer(FrameCodec.encode(new PeerMessage.HeartbeatAck(heartbeat.sequence(), revision)));
    }
  }

  /** Takes up an answer to a heartbeat; returns false if the link is refused for it. */
  private boolean answered(long sequence, long heldMicros) {
    long now = clock.nanoTime();
    synchronized (this) {
      if (sequence < 0 || sequence > lastSequence || sequence < lastAnswered) {
        return true;
      }
      if (sequence > lastAnswered) {
        lastAnswered = sequence;
        detector.recordProgress(now);
        sample(sequence, now, heldMicros);
      }
    }
    if (!admitted) {
      admitted = owner.admit(this);
    }
    return admitted;
  }

  private void sample(long sequence, long now, long heldMicros) {
    if (sequence != lastSequence) {
      return;
    }
    long sample = Math.max(1, now - lastSentNanos - TimeUnit.MICROSECONDS.toNanos(heldMicros));
    long roundTrip = peer.roundTripNanos();
    long smoothed =
        roundTrip == 0 ? sample : roundTrip + ((sample - roundTrip) >> ROUND_TRIP_SHIFT);
    peer = describe(smoothed, peer.revision(), false);
  }

  private PeerNetwork.Peer describe(long roundTripNanos, long revision, boolean leaving) {
    boolean known = peer != null;
    return new PeerNetwork.Peer(
        remote.incarnation(),
        remote.host(),
        remote.domain(),
        remote.region(),
        remote.weight(),
        roundTripNanos,
        known ? Math.max(revision, peer.revision()) : revision,
        leaving || (known && peer.leaving()));
  }

  /** Queues a heartbeat; an answer to it counts as progress. */
  void beat(HeartbeatContent content) throws IOException {
    synchronized (this) {
      lastSequence++;
      lastSentNanos = clock.nanoTime();
      long held = TimeUnit.NANOSECONDS.toMicros(lastSentNanos - lastHeardNanos);
      offer(FrameCodec.encode(content.message(lastSequence, lastHeard, lastHeard < 0 ? 0 : held)));
    }
  }

  /** Queues a frame without blocking; returns false if it cannot be sent. */
  boolean offer(byte[] frame) {
    if (ended.get()) {
      return false;
    }
    if (queuedBytes.addAndGet(frame.length) <= QUEUE_BYTES && queue.offer(frame)) {
      return true;
    }
    queuedBytes.addAndGet(-frame.length);
    statistics.add(Counter.QUEUE_FULL, 1);
    return false;
  }

  private void write(OutputStream out) {
    try {
      while (!ended.get()) {
        byte[] frame = queue.take();
        queuedBytes.addAndGet(-frame.length);
        send(out, frame);
        if (queue.isEmpty()) {
          out.flush();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      logger.atFine().log("cannot write to %s: %s", label, e.getMessage());
    } finally {
      end(End.CLOSED);
    }
  }

  private void send(OutputStream out, byte[] frame) throws IOException {
    out.write(frame);
    statistics.add(Counter.BYTES_SENT, frame.length);
  }

  /** Ends the link; only the first call has an effect. */
  void end(End end) {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    try {
      // Closing the TCP socket wakes both threads; closing a TLS socket could wait for the writer.
      raw.close();
    } catch (IOException e) {
      logger.atFine().withCause(e).log("cannot close the connection with %s", label);
    }
    Thread thread = writer;
    if (thread != null) {
      thread.interrupt();
    }
    owner.ended(this, end);
  }

  boolean isEnded() {
    return ended.get();
  }

  boolean dialled() {
    return dialled;
  }

  String label() {
    return label;
  }

  /** Returns the identity of the other end; null before its hello. */
  PeerIdentity remote() {
    return remote;
  }

  PeerNetwork.Peer peer() {
    return peer;
  }

  long ageNanos(long nowNanos) {
    return nowNanos - openedNanos;
  }

  synchronized long silenceNanos(long nowNanos) {
    return detector.silenceNanos(nowNanos);
  }

  synchronized boolean isSilent(long nowNanos) {
    return !detector.state(nowNanos).reachable();
  }
}
