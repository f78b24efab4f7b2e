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
 * One connection to another entry host. Its reader thread opens it, exchanges hellos and reads
 * messages; its writer thread sends frames from a bounded queue. The link is offered to the network
 * once its first heartbeat has been acknowledged, which excludes a process that died after it sent
 * its hello. A connection that was closed or became silent is never reused.
 */
final class PeerLink {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Maximum number of queued frames; about ten seconds of a busy host's bill copies. */
  private static final int MAX_QUEUED_FRAMES = 1024;

  /** Maximum number of queued bytes; a few configuration documents. */
  private static final long MAX_QUEUED_BYTES = 16L << 20;

  /** Weight of a new sample of the round-trip time, as a right shift: one eighth, as in TCP. */
  private static final int ROUND_TRIP_SHIFT = 3;

  /** Why a link ended. */
  enum EndReason {
    CLOSED,
    SILENT,
    SUPERSEDED,
    SURPLUS,
    REFUSED,
    SHUTDOWN
  }

  /** Callbacks to the network that a link belongs to. */
  interface Owner {
    /** Returns the hello of this host, which is the first message on a connection. */
    PeerMessage.Hello hello();

    /** Checks the identity of the other end; false closes the connection. */
    boolean accepts(PeerMessage.Hello hello, PeerIdentity remote);

    /** Returns the content of the next heartbeat. */
    HeartbeatContent heartbeat();

    /** Admits a link whose other end has acknowledged a heartbeat; false closes it. */
    boolean admit(PeerLink link);

    /** Delivers a message of an admitted link. */
    void received(PeerLink link, PeerMessage message);

    /** Called once when the link has ended. */
    void ended(PeerLink link, EndReason reason);
  }

  private final Owner owner;
  private final String label;
  private final boolean dialled;
  private final Socket tcpSocket;
  private final PeerSockets.Opener opener;
  private final RuntimeClock clock;
  private final PeerStatistics statistics;
  private final FailureDetector detector;
  private final MpscBlockingConsumerArrayQueue<byte[]> queue =
      new MpscBlockingConsumerArrayQueue<>(MAX_QUEUED_FRAMES);
  private final AtomicLong queuedBytes = new AtomicLong();
  private final AtomicBoolean ended = new AtomicBoolean();
  private final long openedNanos;
  private volatile Thread writer;
  private volatile PeerIdentity remote;
  private volatile PeerNetwork.Peer peer;
  private volatile boolean admitted;
  private long lastSentSequence = -1;
  private long lastSentNanos;
  private long lastAcknowledgedSequence = -1;
  private long lastReceivedSequence = -1;
  private long lastReceivedNanos;

  /**
   * Creates a link that is not open yet.
   *
   * @param label name of the other end for threads and logs
   * @param dialled whether this host opened the connection
   * @param tcpSocket the TCP socket, below TLS
   */
  PeerLink(
      Owner owner,
      String label,
      boolean dialled,
      Socket tcpSocket,
      PeerSockets.Opener opener,
      RuntimeClock clock,
      PeerStatistics statistics,
      PeerTimings timings) {
    this.owner = owner;
    this.label = label;
    this.dialled = dialled;
    this.tcpSocket = tcpSocket;
    this.opener = opener;
    this.clock = clock;
    this.statistics = statistics;
    this.openedNanos = clock.nanoTime();
    this.detector = new FailureDetector(timings.progressTimeout(), openedNanos);
  }

  /** Starts the reader thread, which opens the connection. */
  void start() {
    DaemonThreads.start("peer-reader-" + label, this::run);
  }

  private void run() {
    EndReason reason = EndReason.CLOSED;
    try {
      Socket socket = opener.open(tcpSocket);
      reason = runProtocol(socket);
    } catch (InvalidFrameException e) {
      statistics.add(Counter.INVALID_FRAMES, 1);
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "closing the connection with %s: %s", label, e.getMessage());
    } catch (IOException e) {
      logger.atFine().log("connection with %s ended: %s", label, e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log(
          "closing the connection with %s after an unexpected exception", label);
    } finally {
      end(reason);
    }
  }

  private EndReason runProtocol(Socket socket) throws IOException, InterruptedException {
    DataInputStream in = new DataInputStream(new BufferedInputStream(socket.getInputStream()));
    OutputStream out = new BufferedOutputStream(socket.getOutputStream());
    writeFrame(out, FrameCodec.encode(owner.hello()));
    out.flush();
    Optional<PeerMessage> first = readMessage(in, FrameCodec.MAX_HELLO_BYTES);
    if (!(first.orElse(null) instanceof PeerMessage.Hello hello)) {
      throw new InvalidFrameException("first message is not a hello");
    }
    PeerIdentity identity = PeerIdentity.fromHello(hello);
    if (!owner.accepts(hello, identity)) {
      return EndReason.REFUSED;
    }
    remote = identity;
    peer = snapshot(0, 0, false);
    writer = DaemonThreads.start("peer-writer-" + identity.host(), () -> writeQueue(out));
    queueHeartbeat(owner.heartbeat());
    while (!ended.get()) {
      Optional<PeerMessage> message = readMessage(in, FrameCodec.MAX_FRAME_BYTES);
      if (message.isPresent() && !handle(message.get())) {
        return EndReason.REFUSED;
      }
    }
    return EndReason.CLOSED;
  }

  private Optional<PeerMessage> readMessage(DataInputStream in, int maxBytes) throws IOException {
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
      handleHeartbeat(heartbeat);
      if (!handleAcknowledgement(heartbeat.answered(), heartbeat.heldMicros())) {
        return false;
      }
    } else if (message instanceof PeerMessage.HeartbeatAck ack) {
      if (!handleAcknowledgement(ack.answered(), 0)) {
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

  private void handleHeartbeat(PeerMessage.Heartbeat heartbeat) throws IOException {
    boolean isFirst;
    synchronized (this) {
      isFirst = lastReceivedSequence < 0;
      lastReceivedSequence = heartbeat.sequence();
      lastReceivedNanos = clock.nanoTime();
      detector.recordLeaving(heartbeat.leaving());
      peer = snapshot(peer.roundTripNanos(), heartbeat.revision(), heartbeat.leaving());
    }
    if (isFirst) {
      // The other end's link comes up with this acknowledgement, without waiting for an interval.
      long revision = owner.heartbeat().revision();
      offer(FrameCodec.encode(new PeerMessage.HeartbeatAck(heartbeat.sequence(), revision)));
    }
  }

  /** Handles the acknowledgement of a heartbeat; returns false if the network rejects the link. */
  private boolean handleAcknowledgement(long sequence, long heldMicros) {
    long now = clock.nanoTime();
    synchronized (this) {
      if (sequence < 0 || sequence > lastSentSequence || sequence < lastAcknowledgedSequence) {
        return true;
      }
      if (sequence > lastAcknowledgedSequence) {
        lastAcknowledgedSequence = sequence;
        detector.recordProgress(now);
        updateRoundTripTime(sequence, now, heldMicros);
      }
    }
    if (!admitted) {
      admitted = owner.admit(this);
    }
    return admitted;
  }

  private void updateRoundTripTime(long sequence, long now, long heldMicros) {
    if (sequence != lastSentSequence) {
      return;
    }
    long sample = Math.max(1, now - lastSentNanos - TimeUnit.MICROSECONDS.toNanos(heldMicros));
    long roundTrip = peer.roundTripNanos();
    long smoothed =
        roundTrip == 0 ? sample : roundTrip + ((sample - roundTrip) >> ROUND_TRIP_SHIFT);
    peer = snapshot(smoothed, peer.revision(), false);
  }

  private PeerNetwork.Peer snapshot(long roundTripNanos, long revision, boolean leaving) {
    boolean hasSnapshot = peer != null;
    return new PeerNetwork.Peer(
        remote.incarnation(),
        remote.host(),
        remote.domain(),
        remote.region(),
        remote.weight(),
        roundTripNanos,
        hasSnapshot ? Math.max(revision, peer.revision()) : revision,
        leaving || (hasSnapshot && peer.leaving()));
  }

  /** Queues a heartbeat; its acknowledgement counts as progress. */
  void queueHeartbeat(HeartbeatContent content) throws IOException {
    synchronized (this) {
      lastSentSequence++;
      lastSentNanos = clock.nanoTime();
      long heldMicros = TimeUnit.NANOSECONDS.toMicros(lastSentNanos - lastReceivedNanos);
      offer(
          FrameCodec.encode(
              content.toMessage(
                  lastSentSequence,
                  lastReceivedSequence,
                  lastReceivedSequence < 0 ? 0 : heldMicros)));
    }
  }

  /** Queues a frame without blocking; returns false if the link has ended or its queue is full. */
  boolean offer(byte[] frame) {
    if (ended.get()) {
      return false;
    }
    if (queuedBytes.addAndGet(frame.length) <= MAX_QUEUED_BYTES && queue.offer(frame)) {
      return true;
    }
    queuedBytes.addAndGet(-frame.length);
    statistics.add(Counter.QUEUE_FULL, 1);
    return false;
  }

  private void writeQueue(OutputStream out) {
    try {
      while (!ended.get()) {
        byte[] frame = queue.take();
        queuedBytes.addAndGet(-frame.length);
        writeFrame(out, frame);
        if (queue.isEmpty()) {
          out.flush();
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      logger.atFine().log("cannot write to %s: %s", label, e.getMessage());
    } finally {
      end(EndReason.CLOSED);
    }
  }

  private void writeFrame(OutputStream out, byte[] frame) throws IOException {
    out.write(frame);
    statistics.add(Counter.BYTES_SENT, frame.length);
  }

  /** Ends the link; only the first call has an effect. */
  void end(EndReason reason) {
    if (!ended.compareAndSet(false, true)) {
      return;
    }
    try {
      // Closing the TCP socket unblocks both threads; closing a TLS socket could wait for the
      // writer.
      tcpSocket.close();
    } catch (IOException e) {
      logger.atFine().withCause(e).log("cannot close the connection with %s", label);
    }
    Thread writerThread = writer;
    if (writerThread != null) {
      writerThread.interrupt();
    }
    owner.ended(this, reason);
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
