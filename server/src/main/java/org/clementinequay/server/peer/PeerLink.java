package org.clementinequay.server.peer;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.peer.PeerStatistics.Counter;

/**
 * One connection to another entry host, on which hellos, heartbeats and messages are exchanged. The
 * link is offered to the network once its first heartbeat has been acknowledged, which excludes a
 * process that died after it sent its hello. A connection that was closed or became silent is never
 * reused. Runs on the thread of the {@link LinkLoop}; other threads may queue frames and read what
 * is known of the other end.
 */
final class PeerLink implements LinkConnection.Events {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Why a link ended. */
  enum EndReason {
    CLOSED,
    SILENT,
    SUPERSEDED,
    SURPLUS,
    REFUSED,
    SHUTDOWN
  }

  /** How far a link has come. */
  private enum State {
    /** The other end has not identified itself, or has not answered a heartbeat. */
    OPENING(false),
    /** The link to that host. */
    UP(true),
    /** Another connection is the link; what the other end still sends on this one is taken. */
    RETIRED(true),
    ENDED(false);

    private final boolean delivers;

    State(boolean delivers) {
      this.delivers = delivers;
    }
  }

  /** What the network decides on a link whose other end has acknowledged a heartbeat. */
  enum Admission {
    UP,
    RETIRED,
    REFUSED
  }

  /** Callbacks to the network that a link belongs to. */
  interface Owner {
    /** Returns the hello of this host, which is the first message on a connection. */
    PeerMessage.Hello hello();

    /** Checks the identity of the other end; false closes the connection. */
    boolean accepts(PeerMessage.Hello hello, PeerIdentity remote);

    /** Returns the content of the next heartbeat. */
    HeartbeatContent heartbeat();

    /** Decides on a link whose other end has acknowledged a heartbeat. */
    Admission admit(PeerLink link);

    /** Called when the other end has begun to use an admitted link. */
    void used(PeerLink link);

    /** Delivers a message of an admitted link. */
    void received(PeerLink link, PeerMessage message);

    /** Called once when the link has ended. */
    void ended(PeerLink link, EndReason reason);
  }

  private final Owner owner;
  private final String label;
  private final boolean dialled;
  private final RuntimeClock clock;
  private final PeerStatistics statistics;
  private final HeartbeatExchange heartbeats;
  private final LinkConnection connection;
  private final long openedNanos;
  private volatile State state = State.OPENING;
  private volatile PeerIdentity remote;
  private volatile PeerNetwork.Peer peer;
  private boolean usedByPeer;

  /** Creates a link on a connection that was accepted, or on a new one if there is none. */
  PeerLink(
      Owner owner,
      String label,
      Optional<SocketChannel> accepted,
      LinkConnection.Factory connections,
      RuntimeClock clock,
      PeerTimings timings)
      throws IOException {
    this.owner = owner;
    this.label = label;
    this.dialled = accepted.isEmpty();
    this.clock = clock;
    this.statistics = connections.statistics();
    this.openedNanos = clock.nanoTime();
    this.heartbeats = new HeartbeatExchange(timings.progressTimeout(), openedNanos);
    this.connection =
        dialled ? connections.dialled(this) : connections.accepted(accepted.get(), this);
  }

  /** Opens the connection; an address is given if this end dials. */
  void open(Optional<InetSocketAddress> target) {
    connection.open(target);
  }

  @Override
  public void connected() throws IOException {
    connection.offer(FrameCodec.encode(owner.hello()));
  }

  @Override
  public int maxFrameBytes() {
    return remote == null ? FrameCodec.MAX_HELLO_BYTES : FrameCodec.MAX_FRAME_BYTES;
  }

  @Override
  public boolean received(byte[] body) throws IOException {
    Optional<PeerMessage> message = FrameCodec.decode(body);
    if (message.isEmpty()) {
      statistics.add(Counter.UNKNOWN_MESSAGES, 1);
    }
    boolean kept =
        remote == null
            ? identify(message.orElse(null))
            : message.isEmpty() || handle(message.get());
    if (!kept) {
      end(EndReason.REFUSED);
    }
    return state != State.ENDED;
  }

  @Override
  public void broken(Exception cause) {
    if (cause instanceof InvalidFrameException) {
      statistics.add(Counter.INVALID_FRAMES, 1);
      logger.atWarning().atMostEvery(1, TimeUnit.SECONDS).log(
          "closing the connection with %s: %s", label, cause.getMessage());
    } else {
      logger.atFine().log("connection with %s ended: %s", label, cause.getMessage());
    }
    end(EndReason.CLOSED);
  }

  private boolean identify(PeerMessage first) throws IOException {
    if (!(first instanceof PeerMessage.Hello hello)) {
      throw new InvalidFrameException("first message is not a hello");
    }
    PeerIdentity identity = PeerIdentity.fromHello(hello);
    if (!owner.accepts(hello, identity)) {
      return false;
    }
    peer =
        new PeerNetwork.Peer(
            identity.incarnation(),
            identity.host(),
            identity.domain(),
            identity.region(),
            identity.weight(),
            0,
            0,
            false);
    remote = identity;
    queueHeartbeat(owner.heartbeat());
    return true;
  }

  private boolean handle(PeerMessage message) throws IOException {
    if (message instanceof PeerMessage.Heartbeat heartbeat) {
      handleHeartbeat(heartbeat);
      if (!handleAnswer(heartbeat.answered(), heartbeat.heldMicros())) {
        return false;
      }
    } else if (message instanceof PeerMessage.HeartbeatAck ack) {
      if (!handleAnswer(ack.answered(), 0)) {
        return false;
      }
    } else if (message instanceof PeerMessage.Hello || !state.delivers) {
      throw new InvalidFrameException("message out of order: " + message.getClass());
    }
    if (state.delivers) {
      owner.received(this, message);
    }
    if (state == State.UP && !usedByPeer && heartbeats.isUsedByPeer()) {
      usedByPeer = true;
      owner.used(this);
    }
    return true;
  }

  private void handleHeartbeat(PeerMessage.Heartbeat heartbeat) throws IOException {
    boolean first = heartbeats.recordReceived(heartbeat, clock.nanoTime());
    updatePeer(heartbeat.revision(), heartbeat.leaving());
    if (first) {
      // The other end's link comes up with this acknowledgement, without waiting for an interval.
      long revision = owner.heartbeat().revision();
      offer(FrameCodec.encode(new PeerMessage.HeartbeatAck(heartbeat.sequence(), revision)));
    }
  }

  /** Handles the answer to a heartbeat; returns false if the network rejects the link. */
  private boolean handleAnswer(long sequence, long heldMicros) {
    if (!heartbeats.recordAnswer(sequence, heldMicros, clock.nanoTime())) {
      return true;
    }
    updatePeer(0, false);
    if (state == State.OPENING) {
      Admission admission = owner.admit(this);
      if (admission == Admission.REFUSED) {
        return false;
      }
      if (state == State.OPENING) {
        state = admission == Admission.UP ? State.UP : State.RETIRED;
      }
    }
    return true;
  }

  private void updatePeer(long revision, boolean leaving) {
    peer =
        new PeerNetwork.Peer(
            remote.incarnation(),
            remote.host(),
            remote.domain(),
            remote.region(),
            remote.weight(),
            heartbeats.roundTripNanos(),
            Math.max(revision, peer.revision()),
            leaving || peer.leaving());
  }

  /** Queues a heartbeat; its acknowledgement counts as progress. */
  void queueHeartbeat(HeartbeatContent content) throws IOException {
    offer(FrameCodec.encode(heartbeats.next(content, clock.nanoTime())));
  }

  /** Queues a frame without blocking; returns false if the link has ended or its queue is full. */
  boolean offer(byte[] frame) {
    return state != State.ENDED && connection.offer(frame);
  }

  /** Leaves the place of the link to its host to another connection. */
  void retire() {
    if (state != State.ENDED) {
      state = State.RETIRED;
    }
  }

  /** Returns whether the other end has begun to use this link. */
  boolean isUsedByPeer() {
    return usedByPeer;
  }

  /** Ends the link; only the first call has an effect. */
  void end(EndReason reason) {
    if (state == State.ENDED) {
      return;
    }
    state = State.ENDED;
    try {
      connection.close();
    } catch (IOException e) {
      logger.atFine().withCause(e).log("cannot close the connection with %s", label);
    }
    owner.ended(this, reason);
  }

  boolean isEnded() {
    return state == State.ENDED;
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

  long silenceNanos(long nowNanos) {
    return heartbeats.silenceNanos(nowNanos);
  }

  boolean isSilent(long nowNanos) {
    return heartbeats.isSilent(nowNanos);
  }
}
