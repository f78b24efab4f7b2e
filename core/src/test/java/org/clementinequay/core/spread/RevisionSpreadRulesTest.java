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

/** Tests of the rules by which a host takes up configuration revisions. */
public class RevisionSpreadRulesTest {
  private static final RouterConfiguration CONFIGURATION = RouterConfiguration.builder().build();

  private static RevisionedConfiguration revision(long number) {
    String text = "document " + number;
    return new RevisionedConfiguration(number, DocumentHash.of(text), text, CONFIGURATION);
  }

  /** The revision in force on a host. */
  public static class Keeper {
    /** Guards against a revision that is applied but not passed on when the host fails. */
    @Test
    public void announcesBeforeItApplies() {
      List<String> order = new ArrayList<>();
      CurrentRevision[] keeper = new CurrentRevision[1];
      keeper[0] =
          new CurrentRevision(
              offered -> order.add("announce " + offered.revision() + " in " + keeper[0].number()));
      keeper[0].addListener(
          applied -> order.add("apply " + applied.revision() + " in " + keeper[0].number()));
      assertTrue(keeper[0].activateIfNewer(revision(3)));
      assertEquals(order, List.of("announce 3 in 0", "apply 3 in 3"));
    }

    /** Guards against a host that returns to a lower revision. */
    @Test
    public void neverMovesLower() {
      CurrentRevision keeper = new CurrentRevision(offered -> {});
      assertTrue(keeper.activateIfNewer(revision(3)));
      assertFalse(keeper.activateIfNewer(revision(2)));
      assertFalse(keeper.activateIfNewer(revision(3)));
      assertEquals(keeper.number(), 3);
    }

    /** Guards against a failing link that keeps a host on an old revision. */
    @Test
    public void appliesAlthoughTheAnnouncementFails() {
      CurrentRevision keeper =
          new CurrentRevision(
              offered -> {
                throw new IllegalStateException("no links");
              });
      assertThrows(IllegalStateException.class, () -> keeper.activateIfNewer(revision(1)));
      assertEquals(keeper.number(), 1);
    }
  }

  /** Steps of the reader. */
  public static class Reader {
    private boolean tableDown;
    private boolean objectsDown;
    private boolean understood;
    private List<Long> asked;
    private ManualClock clock;
    private ConfigurationPublisher publisher;
    private CurrentRevision keeper;
    private ConfigurationReader reader;
    private StalenessRule staleness;

    /** Creates a host without a configuration. */
    @BeforeMethod
    public void create() {
      tableDown = false;
      objectsDown = false;
      understood = true;
      asked = new ArrayList<>();
      clock = new ManualClock(Instant.EPOCH);
      publisher =
          new ConfigurationPublisher(
              new InMemoryTableService(failingWhile(() -> tableDown)),
              new InMemoryObjectStore(failingWhile(() -> objectsDown)),
              clock);
      keeper = new CurrentRevision(offered -> {});
      reader =
          new ConfigurationReader(
              publisher,
              keeper,
              text -> understood ? Optional.of(CONFIGURATION) : Optional.empty(),
              asked::add,
              clock);
      staleness = new StalenessRule(keeper, clock);
    }

    private static CallHook failingWhile(BooleanSupplier down) {
      return new CallHook() {
        @Override
        public void beforeEffect(String operation) throws PlatformException {
          if (down.getAsBoolean()) {
            throw new PlatformUnavailableException("down");
          }
        }
      };
    }

    /** Guards against a host that misses a revision or reads documents it has. */
    @Test
    public void advancesToTheHead() throws Exception {
      assertEquals(reader.poll(), ConfigurationReader.PollResult.NO_CONFIGURATION);
      publisher.publish(0, "s1", "morning", "one");
      publisher.publish(1, "s2", "morning", "two");
      assertEquals(reader.poll(), ConfigurationReader.PollResult.ADVANCED);
      assertEquals(keeper.configuration().get().text(), "two");
      objectsDown = true;
      assertEquals(reader.poll(), ConfigurationReader.PollResult.CURRENT);
    }

    /** Guards against a host that stays behind while only the object store is down. */
    @Test
    public void asksPeersWhenTheDocumentIsMissing() throws Exception {
      publisher.publish(0, "s1", "morning", "one");
      objectsDown = true;
      assertEquals(reader.poll(), ConfigurationReader.PollResult.DOCUMENT_MISSING);
      assertEquals(asked, List.of(1L));
      assertTrue(staleness.isStale());
    }

    /** Guards against a host that counts as fresh although it cannot apply the newest revision. */
    @Test
    public void isNotRefreshedByWhatItDoesNotUnderstand() throws Exception {
      publisher.publish(0, "s1", "morning", "one");
      understood = false;
      assertEquals(reader.poll(), ConfigurationReader.PollResult.NOT_UNDERSTOOD);
      assertEquals(keeper.number(), 0);
      assertTrue(staleness.isStale());
    }

    /** Guards against versions being rolled out that a host cut off for 15 s goes on using. */
    @Test
    public void staleHostStopsVersionsBeingRolledOut() throws Exception {
      publisher.publish(0, "s1", "morning", "one");
      reader.poll();
      tableDown = true;
      clock.advance(StalenessRule.MAX_AGE);
      assertThrows(PlatformException.class, () -> reader.poll());
      assertTrue(staleness.permits(VersionState.ROLLING_OUT));
      clock.advance(Duration.ofNanos(1));
      assertFalse(staleness.permits(VersionState.ROLLING_OUT));
      assertTrue(staleness.permits(VersionState.LIVE));
      tableDown = false;
      reader.poll();
      assertTrue(staleness.permits(VersionState.ROLLING_OUT));
    }
  }

  /** Histories of concurrent hosts. */
  public static class Histories {
    private static final int HOSTS = 4;
    private static final int REVISIONS = 200;
    private static final int FAULT_ONE_IN = 4;

    /** Random source of a host's thread; the publisher's thread has none and sees no faults. */
    private static final ThreadLocal<SplittableRandom> FAULTS = new ThreadLocal<>();

    private final CallHook hook =
        new CallHook() {
          @Override
          public void beforeEffect(String operation) throws PlatformException {
            SplittableRandom random = FAULTS.get();
            if (random != null && random.nextInt(FAULT_ONE_IN) == 0) {
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
     * Guards against a host that goes back while polls, late peer messages and faults interleave.
     */
    @Test
    public void revisionsNeverGoBack() throws Exception {
      List<List<Long>> histories = new ArrayList<>();
      List<CurrentRevision> keepers = new ArrayList<>();
      for (int i = 0; i < HOSTS; i++) {
        List<Long> history = new CopyOnWriteArrayList<>();
        CurrentRevision keeper = new CurrentRevision(offered -> {});
        keeper.addListener(offered -> history.add(offered.revision()));
        histories.add(history);
        keepers.add(keeper);
      }
      List<Thread> threads = new ArrayList<>();
      for (int i = 0; i < HOSTS; i++) {
        CurrentRevision own = keepers.get(i);
        CurrentRevision next = keepers.get((i + 1) % HOSTS);
        SplittableRandom random = new SplittableRandom(100 + i);
        threads.add(new Thread(() -> host(own, next, random), "host-" + i));
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

    private void host(CurrentRevision own, CurrentRevision next, SplittableRandom random) {
      FAULTS.set(random);
      ConfigurationReader reader =
          new ConfigurationReader(
              publisher,
              own,
              text -> Optional.of(CONFIGURATION),
              revision -> {},
              new ManualClock(Instant.EPOCH));
      Optional<RevisionedConfiguration> late = Optional.empty();
      while (own.number() < REVISIONS) {
        try {
          reader.poll();
        } catch (PlatformException e) {
          // The next step tries again.
        }
        late.ifPresent(next::activateIfNewer);
        if (random.nextBoolean()) {
          late = own.configuration();
        }
      }
      own.configuration().ifPresent(next::activateIfNewer);
    }
  }
}
