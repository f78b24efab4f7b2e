package org.clementinequay.core.claim;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryObjectStore;
import org.clementinequay.core.platform.memory.InMemoryTableService;
import org.clementinequay.core.time.ManualClock;

/** A table service with scripted faults, and hosts that claim keys in it. */
final class ClaimFixture implements CallHook {
  /** What happens to one commit. */
  enum Fault {
    NONE,
    UNAVAILABLE,
    LOST_BEFORE_EFFECT,
    LOST_AFTER_EFFECT
  }

  final ManualClock clock = new ManualClock(Instant.parse("2026-12-04T12:00:00Z"));
  final InMemoryTableService table = new InMemoryTableService(this);
  final InMemoryObjectStore objects = new InMemoryObjectStore(CallHook.NONE);
  final Deque<Fault> nextCommits = new ArrayDeque<>();
  boolean down;
  boolean downAfterCommit;
  Runnable onCommit = () -> {};
  int commits;
  private final Random random = new Random(4711);

  ClaimService host() {
    return new ClaimService(table, objects, clock, Incarnation.random(random));
  }

  ClaimRequest request(String key, String body) {
    return ClaimRequest.of(
        new ClaimKey("labelworks", key),
        body.getBytes(StandardCharsets.UTF_8),
        clock.nanoTime() + Duration.ofSeconds(2).toNanos());
  }

  ClaimResult claim(ClaimService host, String key, String body) throws InterruptedException {
    return host.claim(List.of(request(key, body))).get(0);
  }

  ClaimAttempt granted(ClaimService host, String key) throws InterruptedException {
    return ((ClaimResult.Granted) claim(host, key, "body")).attempt();
  }

  static StoredAnswer answer(String body) {
    return StoredAnswer.of(200, "text/plain", body.getBytes(StandardCharsets.UTF_8));
  }

  @Override
  public void beforeEffect(String operation) throws PlatformException {
    if (down) {
      throw new PlatformUnavailableException("scripted outage");
    }
    if (operation.equals("commit")) {
      commits++;
      Fault fault = nextCommits.isEmpty() ? Fault.NONE : nextCommits.peek();
      if (fault == Fault.UNAVAILABLE) {
        nextCommits.remove();
        throw new PlatformUnavailableException("scripted failure");
      }
      if (fault == Fault.LOST_BEFORE_EFFECT) {
        nextCommits.remove();
        throw new AnswerLostException("scripted loss before the effect");
      }
    }
  }

  @Override
  public void afterEffect(String operation) throws PlatformException {
    if (operation.equals("commit")) {
      onCommit.run();
      down = down || downAfterCommit;
      downAfterCommit = false;
    }
    if (operation.equals("commit") && !nextCommits.isEmpty()) {
      if (nextCommits.remove() == Fault.LOST_AFTER_EFFECT) {
        throw new AnswerLostException("scripted loss after the effect");
      }
    }
  }
}
