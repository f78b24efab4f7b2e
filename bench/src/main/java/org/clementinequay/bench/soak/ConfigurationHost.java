package org.clementinequay.bench.soak;

import java.lang.reflect.Field;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.platform.CommitResult;
import org.clementinequay.core.platform.ObjectStore;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.core.platform.Row;
import org.clementinequay.core.platform.RowKey;
import org.clementinequay.core.platform.RowWrite;
import org.clementinequay.core.platform.TableService;
import org.clementinequay.core.spread.ConfigurationPublisher;
import org.clementinequay.core.spread.ConfigurationReader;
import org.clementinequay.core.spread.StalenessRule;
import org.clementinequay.server.peer.PeerMessage;
import org.clementinequay.server.peer.PeerNetwork;
import org.clementinequay.server.peer.RevisionDistributor;

/** An entry host that reads the configuration and exchanges it with its peers. */
final class ConfigurationHost {
  private static final Duration HEARTBEAT = Duration.ofMillis(500);
  private static final Duration IDLE = Duration.ofHours(1);

  private final SoakRun run;
  private final VirtualScheduler.Process process;
  private final boolean cutOff;
  private final FakeNetwork.Endpoint links;
  private final RevisionDistributor spread;
  private final ConfigurationReader reader;
  private final StalenessRule staleness;

  /**
   * Starts a host.
   *
   * @param cutOff whether it reaches its peers but not the platform once faults are over
   */
  ConfigurationHost(SoakRun run, FakeNetwork network, String name, boolean cutOff) {
    this.run = run;
    this.cutOff = cutOff;
    process = run.scheduler().process(name);
    Incarnation incarnation = Incarnation.random(run.random());
    links = network.join(process, incarnation, "domain");
    RouterConfiguration empty = RouterConfiguration.builder().build();
    spread = new RevisionDistributor(links, text -> Optional.of(empty), process.clock());
    spread.currentRevision().addListener(this::inForce);
    links.addListener(spread);
    ConfigurationPublisher source =
        new ConfigurationPublisher(new CutTable(), new CutStore(), process.clock());
    reader =
        new ConfigurationReader(
            source,
            spread.currentRevision(),
            text -> Optional.of(empty),
            spread::requestFromPeers,
            process.clock());
    staleness = new StalenessRule(spread.currentRevision(), process.clock());
    if (run.mutated(Mutant.LOWER_REVISION_ACCEPTED)) {
      links.addListener(new Unguarded());
    }
    process.start("configuration reader", this::poll);
    process.start("peer revisions", this::takeReplies);
    process.start("heartbeat", this::beat);
  }

  VirtualScheduler.Process process() {
    return process;
  }

  boolean cutOff() {
    return cutOff;
  }

  long revision() {
    return spread.currentRevision().number();
  }

  boolean stale() {
    return staleness.isStale() && !run.mutated(Mutant.STALENESS_IGNORED);
  }

  private void inForce(RevisionedConfiguration revision) {
    run.history().add(process.name(), "in_force", "", revision.revision(), revision.hash());
  }

  private void poll() {
    while (true) {
      try {
        if (!run.mutated(Mutant.HEAD_NOT_POLLED)) {
          reader.poll();
        }
      } catch (PlatformException e) {
        // The revision in force stays.
      }
      run.scheduler().sleep(ConfigurationReader.randomPollDelay(run.random()));
    }
  }

  private void takeReplies() throws Exception {
    Field field = RevisionDistributor.class.getDeclaredField("replies");
    field.setAccessible(true);
    Queue<?> replies = (Queue<?>) field.get(spread);
    while (true) {
      run.scheduler().await(() -> !replies.isEmpty(), IDLE);
      Object reply = replies.poll();
      if (reply != null) {
        DutySteps.call(spread, "activate", reply);
      }
    }
  }

  private void beat() {
    long sequence = 0;
    boolean silent = run.mutated(Mutant.REVISION_NOT_ANNOUNCED);
    while (true) {
      sequence++;
      links.broadcast(
          new PeerMessage.Heartbeat(sequence, -1, 0, silent ? 0 : revision(), false, 0, 0));
      run.scheduler().sleep(HEARTBEAT);
    }
  }

  /** Puts documents of peers in force without the keeper. */
  private final class Unguarded implements PeerNetwork.Listener {
    @Override
    public void received(PeerNetwork.Peer from, PeerMessage message) {
      if (message instanceof PeerMessage.DocumentReply reply) {
        run.history().add(process.name(), "in_force", "", reply.revision(), reply.hash());
      }
    }
  }

  private void requireReachable() throws PlatformUnavailableException {
    if (cutOff && run.quiet()) {
      throw new PlatformUnavailableException("this host is cut off from the platform");
    }
  }

  private final class CutTable implements TableService {
    @Override
    public Optional<Row> read(RowKey key) throws PlatformException {
      requireReachable();
      return run.platform().table().read(key);
    }

    @Override
    public List<Row> scan(String table, String keyPrefix, String afterKey, int limit)
        throws PlatformException {
      requireReachable();
      return run.platform().table().scan(table, keyPrefix, afterKey, limit);
    }

    @Override
    public CommitResult commit(List<RowWrite> writes) throws PlatformException {
      requireReachable();
      return run.platform().table().commit(writes);
    }
  }

  private final class CutStore implements ObjectStore {
    @Override
    public boolean putIfAbsent(String name, byte[] content) throws PlatformException {
      requireReachable();
      return run.platform().store().putIfAbsent(name, content);
    }

    @Override
    public Optional<byte[]> read(String name) throws PlatformException {
      requireReachable();
      return run.platform().store().read(name);
    }
  }
}
