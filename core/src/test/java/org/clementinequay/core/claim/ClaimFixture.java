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

/** Hosts that claim keys in an in-memory table service with scripted faults. */
final class ClaimFixture implements CallHook {
  /** Fault that is injected into one commit. */
  enum Fault {
    NONE,
    UNAVAILABLE,
    LOST_BEFORE_EFFECT,
    LOST_AFTER_EFFECT
  }

  final ManualClock clock = new ManualClock(Instant.parse("2026-12-04T12:00:00Z"));
  final InMemoryTableService table = new InMemoryTableService(this);
  final InMemoryObjectStore objects = new InMemoryObjectStore(CallHook.NONE);
  final Deque<Fault> faultsOfNextCommits = new ArrayDeque<>();
  boolean down;
  boolean downAfterCommit;
  Runnable onCommit = () -> {};
  int commits;
  private final Random random = new Random(4711);

  ClaimService newHost() {
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

  ClaimAttempt claimGranted(ClaimService host, String key) throws InterruptedException {
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
      Fault fault = faultsOfNextCommits.isEmpty() ? Fault.NONE : faultsOfNextCommits.peek();
      if (fault == Fault.UNAVAILABLE) {
        faultsOfNextCommits.remove();
        throw new PlatformUnavailableException("scripted failure");
      }
      if (fault == Fault.LOST_BEFORE_EFFECT) {
        faultsOfNextCommits.remove();
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
    if (operation.equals("commit") && !faultsOfNextCommits.isEmpty()) {
      if (faultsOfNextCommits.remove() == Fault.LOST_AFTER_EFFECT) {
        throw new AnswerLostException("scripted loss after the effect");
      }
    }
  }
}
