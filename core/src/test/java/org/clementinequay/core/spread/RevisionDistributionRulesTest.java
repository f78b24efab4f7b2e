package org.clementinequay.core.spread;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.config.VersionState;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryObjectStore;
import org.clementinequay.core.platform.memory.InMemoryTableService;
import org.clementinequay.core.time.ManualClock;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the rules by which a host puts configuration revisions in force. */
public class RevisionDistributionRulesTest {
  private static final RouterConfiguration CONFIGURATION = RouterConfiguration.builder().build();

  private static RevisionedConfiguration revision(long number) {
    String text = "document " + number;
    return new RevisionedConfiguration(number, DocumentHash.of(text), text, CONFIGURATION);
  }

  /** Updates of the revision in force on a host. */
  public static class Updates {
    /** Guards against a revision that a failing host has applied but not announced to its peers. */
    @Test
    public void announcesBeforeItApplies() {
      List<String> calls = new ArrayList<>();
      CurrentRevision[] currentRevision = new CurrentRevision[1];
      currentRevision[0] =
          new CurrentRevision(
              candidate ->
                  calls.add(
                      "announce " + candidate.revision() + " in " + currentRevision[0].number()));
      currentRevision[0].addListener(
          applied ->
              calls.add("apply " + applied.revision() + " in " + currentRevision[0].number()));
      assertTrue(currentRevision[0].activateIfNewer(revision(3)));
      assertEquals(calls, List.of("announce 3 in 0", "apply 3 in 3"));
    }

    /** Guards against a host that reverts to an older revision. */
    @Test
    public void neverRevertsToAnOlderRevision() {
      CurrentRevision currentRevision = new CurrentRevision(candidate -> {});
      assertTrue(currentRevision.activateIfNewer(revision(3)));
      assertFalse(currentRevision.activateIfNewer(revision(2)));
      assertFalse(currentRevision.activateIfNewer(revision(3)));
      assertEquals(currentRevision.number(), 3);
    }

    /** Guards against a failed announcement that keeps a host on an old revision. */
    @Test
    public void appliesAlthoughTheAnnouncementFails() {
      CurrentRevision currentRevision =
          new CurrentRevision(
              candidate -> {
                throw new IllegalStateException("no links");
              });
      assertThrows(IllegalStateException.class, () -> currentRevision.activateIfNewer(revision(1)));
      assertEquals(currentRevision.number(), 1);
    }
  }

  /** Polls of the configuration reader. */
  public static class Polls {
    private boolean tableUnavailable;
    private boolean objectsUnavailable;
    private boolean parseable;
    private List<Long> requestedRevisions;
    private ManualClock clock;
    private ConfigurationPublisher publisher;
    private CurrentRevision currentRevision;
    private ConfigurationReader reader;
    private StalenessRule staleness;

    /** Creates a host without a configuration. */
    @BeforeMethod
    public void create() {
      tableUnavailable = false;
      objectsUnavailable = false;
      parseable = true;
      requestedRevisions = new ArrayList<>();
      clock = new ManualClock(Instant.EPOCH);
      publisher =
          new ConfigurationPublisher(
              new InMemoryTableService(failingWhile(() -> tableUnavailable)),
              new InMemoryObjectStore(failingWhile(() -> objectsUnavailable)),
              clock);
      currentRevision = new CurrentRevision(candidate -> {});
      reader =
          new ConfigurationReader(
              publisher,
              currentRevision,
              text -> parseable ? Optional.of(CONFIGURATION) : Optional.empty(),
              requestedRevisions::add,
              clock);
      staleness = new StalenessRule(currentRevision, clock);
    }

    private static CallHook failingWhile(BooleanSupplier unavailable) {
      return new CallHook() {
        @Override
        public void beforeEffect(String operation) throws PlatformException {
          if (unavailable.getAsBoolean()) {
            throw new PlatformUnavailableException("down");
          }
        }
      };
    }

    /** Guards against a host that misses a revision, or reads a document that it already has. */
    @Test
    public void advancesToTheLatestRevision() throws Exception {
      assertEquals(reader.poll(), ConfigurationReader.PollResult.NO_CONFIGURATION);
      publisher.publish(0, "s1", "morning", "one");
      publisher.publish(1, "s2", "morning", "two");
      assertEquals(reader.poll(), ConfigurationReader.PollResult.ADVANCED);
      assertEquals(currentRevision.configuration().get().text(), "two");
      objectsUnavailable = true;
      assertEquals(reader.poll(), ConfigurationReader.PollResult.CURRENT);
    }

    /** Guards against a host that keeps an old revision while only the object store is down. */
    @Test
    public void requestsMissingDocumentFromPeers() throws Exception {
      publisher.publish(0, "s1", "morning", "one");
      objectsUnavailable = true;
      assertEquals(reader.poll(), ConfigurationReader.PollResult.DOCUMENT_MISSING);
      assertEquals(requestedRevisions, List.of(1L));
      assertTrue(staleness.isStale());
    }

    /** Guards against a host that is not stale although it cannot apply the latest revision. */
    @Test
    public void unparseableDocumentDoesNotCountAsRefresh() throws Exception {
      publisher.publish(0, "s1", "morning", "one");
      parseable = false;
      assertEquals(reader.poll(), ConfigurationReader.PollResult.NOT_UNDERSTOOD);
      assertEquals(currentRevision.number(), 0);
      assertTrue(staleness.isStale());
    }

    /**
     * Guards against a host that uses versions being rolled out after 15 s without the platform.
     */
    @Test
    public void staleHostStopsUsingVersionsBeingRolledOut() throws Exception {
      publisher.publish(0, "s1", "morning", "one");
      reader.poll();
      tableUnavailable = true;
      clock.advance(StalenessRule.MAX_AGE);
      assertThrows(PlatformException.class, () -> reader.poll());
      assertTrue(staleness.permits(VersionState.ROLLING_OUT));
      clock.advance(Duration.ofNanos(1));
      assertFalse(staleness.permits(VersionState.ROLLING_OUT));
      assertTrue(staleness.permits(VersionState.LIVE));
      tableUnavailable = false;
      reader.poll();
      assertTrue(staleness.permits(VersionState.ROLLING_OUT));
    }
  }

  /** Revision histories of hosts that run concurrently. */
  public static class Histories {
    private static final int HOSTS = 4;
    private static final int REVISIONS = 200;
    private static final int MEAN_CALLS_PER_FAULT = 4;

    /**
     * Random source of a host's thread. The publisher's thread has none, so its calls do not fail.
     */
    private static final ThreadLocal<SplittableRandom> FAULT_RANDOM = new ThreadLocal<>();

    private final CallHook hook =
        new CallHook() {
          @Override
          public void beforeEffect(String operation) throws PlatformException {
            SplittableRandom random = FAULT_RANDOM.get();
            if (random != null && random.nextInt(MEAN_CALLS_PER_FAULT) == 0) {
              throw new PlatformUnavailableException("down");
            }
          }
        };

    private final ConfigurationPublisher publisher =
        new ConfigurationPublisher(
            new InMemoryTableService(hook),
            new InMemoryObjectStore(hook),
            new ManualClock(Instant.EPOCH));

    /**
     * Guards against a host that reverts to an older revision when polls, delayed peer messages and
     * platform faults interleave.
     */
    @Test
    public void revisionsNeverDecrease() throws Exception {
      List<List<Long>> histories = new ArrayList<>();
      List<CurrentRevision> revisions = new ArrayList<>();
      for (int i = 0; i < HOSTS; i++) {
        List<Long> history = new CopyOnWriteArrayList<>();
        CurrentRevision currentRevision = new CurrentRevision(candidate -> {});
        currentRevision.addListener(candidate -> history.add(candidate.revision()));
        histories.add(history);
        revisions.add(currentRevision);
      }
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < HOSTS; i++) {
        CurrentRevision own = revisions.get(i);
        CurrentRevision next = revisions.get((i + 1) % HOSTS);
        SplittableRandom random = new SplittableRandom(100 + i);
        threads.add(new Thread(() -> runHost(own, next, random), "host-" + i));
      }
      threads.forEach(Thread::start);
      for (int base = 0; base < REVISIONS; base++) {
        publisher.publish(base, "s" + base, "morning", "document " + (base + 1));
      }
      for (Thread thread : threads) {
        thread.join();
      }
      for (List<Long> history : histories) {
        assertEquals(history, history.stream().distinct().sorted().toList());
        assertEquals(history.get(history.size() - 1).longValue(), REVISIONS);
      }
    }

    private void runHost(CurrentRevision own, CurrentRevision next, SplittableRandom random) {
      FAULT_RANDOM.set(random);
      ConfigurationReader reader =
          new ConfigurationReader(
              publisher,
              own,
              text -> Optional.of(CONFIGURATION),
              revision -> {},
              new ManualClock(Instant.EPOCH));
      Optional<RevisionedConfiguration> delayed = Optional.empty();
      while (own.number() < REVISIONS) {
        try {
          reader.poll();
        } catch (PlatformException e) {
          // The next poll tries again.
        }
        delayed.ifPresent(next::activateIfNewer);
        if (random.nextBoolean()) {
          delayed = own.configuration();
        }
      }
      own.configuration().ifPresent(next::activateIfNewer);
    }
  }
}
