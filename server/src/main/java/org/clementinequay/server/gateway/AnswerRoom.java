package org.clementinequay.server.gateway;

import java.util.Optional;
import org.clementinequay.core.ingress.IngressHolder;
import org.clementinequay.core.ingress.TurnAway;

/**
 * Room for the whole answer of one request in the budget of the callers. The answer is held until
 * its caller has read it, so the room is taken before the answer is received, or before it is sent
 * if its length is not known earlier. The lock of the forwarder guards the state.
 */
final class AnswerRoom implements IngressHolder {
  /** Size up to which no room is taken: each connection of a caller counts with as much. */
  static final int UNCOUNTED_BYTES = 16 << 10;

  private record Waiting(long bytes, Runnable next) {}

  private final RequestForwarder forwarder;
  private Optional<Waiting> waiting = Optional.empty();
  private boolean used;

  AnswerRoom(RequestForwarder forwarder) {
    this.forwarder = forwarder;
  }

  /** Returns whether an answer is held back until there is room. */
  boolean isWaiting() {
    return waiting.isPresent();
  }

  /**
   * Goes on with an answer once there is room for it, at once if there is. The action is also run
   * if the attempt ends before that, and must find out.
   */
  void whenTaken(long bytes, Runnable next) {
    if (bytes <= UNCOUNTED_BYTES) {
      next.run();
      return;
    }
    used = true;
    switch (forwarder.response.takeRoom(bytes, this)) {
      case ADMITTED -> {
        waiting = Optional.empty();
        next.run();
      }
      case HELD_BACK -> {
        if (waiting.isEmpty()) {
          forwarder.log("answer_waits", "bytes", bytes, "ms", forwarder.times.elapsedMillis());
        }
        waiting = Optional.of(new Waiting(bytes, next));
      }
      case REFUSED -> {
        waiting = Optional.of(new Waiting(bytes, next));
        giveUp(TurnAway.MEMORY.reason());
      }
      default -> throw new IllegalStateException("unknown admission");
    }
  }

  /** Gives back the room, because the answer does not come. The attempt must have ended. */
  void release() {
    dropWaiting();
    if (used) {
      used = false;
      forwarder.response.releaseRoom();
    }
  }

  /** Lets an attempt that has ended give back the bytes that it holds of a connection. */
  void dropWaiting() {
    Optional<Waiting> held = waiting;
    waiting = Optional.empty();
    held.ifPresent(dropped -> dropped.next().run());
  }

  @Override
  public void resume() {
    forwarder.update(
        () -> {
          if (!forwarder.finished) {
            // Asks again, as the room may be that of an attempt that has ended meanwhile.
            waiting.ifPresent(held -> whenTaken(held.bytes(), held.next()));
          }
        });
  }

  @Override
  public void turnAway(TurnAway limit) {
    forwarder.update(
        () -> {
          if (!forwarder.finished && used) {
            giveUp(limit.reason());
          }
        });
  }

  /** Fails the request without another attempt, whose answer would find no room either. */
  private void giveUp(String reason) {
    forwarder.history.recordMayHaveRun();
    forwarder.abandonCurrent(reason);
    release();
    forwarder.fail(forwarder.history.failureStatus(), reason);
  }
}
