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

/** Simulated entry host that polls the configuration and exchanges revisions with its peers. */
final class ConfigurationHost {
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(500);
  private static final Duration MAX_IDLE_WAIT = Duration.ofHours(1);

  private final SoakRun run;
  private final VirtualScheduler.Process process;
  private final boolean losesPlatform;
  private final FakeNetwork.Endpoint links;
  private final RevisionDistributor distributor;
  private final ConfigurationReader reader;
  private final StalenessRule staleness;

  /**
   * Starts a host.
   *
   * @param losesPlatform whether the host can reach its peers but not the platform after the end of
   *     faults
   */
  ConfigurationHost(SoakRun run, FakeNetwork network, String name, boolean losesPlatform) {
    this.run = run;
    this.losesPlatform = losesPlatform;
    process = run.scheduler().process(name);
    Incarnation incarnation = Incarnation.random(run.random());
    links = network.join(process, incarnation, "domain");
    RouterConfiguration emptyConfiguration = RouterConfiguration.builder().build();
    distributor =
        new RevisionDistributor(links, text -> Optional.of(emptyConfiguration), process.clock());
    distributor.currentRevision().addListener(this::recordActivation);
    links.addListener(distributor);
    ConfigurationPublisher publisher =
        new ConfigurationPublisher(new IsolatedTable(), new IsolatedStore(), process.clock());
    reader =
        new ConfigurationReader(
            publisher,
            distributor.currentRevision(),
            text -> Optional.of(emptyConfiguration),
            distributor::requestFromPeers,
            process.clock());
    staleness = new StalenessRule(distributor.currentRevision(), process.clock());
    if (run.hasMutant(Mutant.LOWER_REVISION_ACCEPTED)) {
      links.addListener(new UncheckedActivation());
    }
    process.start("configuration reader", this::pollConfiguration);
    process.start("peer revisions", this::activateReplies);
    process.start("heartbeat", this::sendHeartbeats);
  }

  VirtualScheduler.Process process() {
    return process;
  }

  boolean losesPlatform() {
    return losesPlatform;
  }

  long revision() {
    return distributor.currentRevision().number();
  }

  boolean stale() {
    return staleness.isStale() && !run.hasMutant(Mutant.STALENESS_IGNORED);
  }

  private void recordActivation(RevisionedConfiguration revision) {
    run.history().add(process.name(), "in_force", "", revision.revision(), revision.hash());
  }

  private void pollConfiguration() {
    while (true) {
      try {
        if (!run.hasMutant(Mutant.HEAD_NOT_POLLED)) {
          reader.poll();
        }
      } catch (PlatformException e) {
        // The active revision stays.
      }
      run.scheduler().sleep(ConfigurationReader.randomPollDelay(run.random()));
    }
  }

  private void activateReplies() throws Exception {
    Field field = RevisionDistributor.class.getDeclaredField("replies");
    field.setAccessible(true);
    Queue<?> replies = (Queue<?>) field.get(distributor);
    while (true) {
      run.scheduler().await(() -> !replies.isEmpty(), MAX_IDLE_WAIT);
      Object reply = replies.poll();
      if (reply != null) {
        DutySteps.call(distributor, "activate", reply);
      }
    }
  }

  private void sendHeartbeats() {
    long sequence = 0;
    boolean revisionHidden = run.hasMutant(Mutant.REVISION_NOT_ANNOUNCED);
    while (true) {
      sequence++;
      links.broadcast(
          new PeerMessage.Heartbeat(sequence, -1, 0, revisionHidden ? 0 : revision(), false, 0, 0));
      run.scheduler().sleep(HEARTBEAT_INTERVAL);
    }
  }

  /** Records documents of peers as active without comparing their revision. */
  private final class UncheckedActivation implements PeerNetwork.Listener {
    @Override
    public void received(PeerNetwork.Peer from, PeerMessage message) {
      if (message instanceof PeerMessage.DocumentReply reply) {
        run.history().add(process.name(), "in_force", "", reply.revision(), reply.hash());
      }
    }
  }

  private void requirePlatformReachable() throws PlatformUnavailableException {
    if (losesPlatform && run.faultsEnded()) {
      throw new PlatformUnavailableException("the host is isolated from the platform");
    }
  }

  private final class IsolatedTable implements TableService {
    @Override
    public Optional<Row> read(RowKey key) throws PlatformException {
      requirePlatformReachable();
      return run.platform().table().read(key);
    }

    @Override
    public List<Row> scan(String table, String keyPrefix, String afterKey, int limit)
        throws PlatformException {
      requirePlatformReachable();
      return run.platform().table().scan(table, keyPrefix, afterKey, limit);
    }

    @Override
    public CommitResult commit(List<RowWrite> writes) throws PlatformException {
      requirePlatformReachable();
      return run.platform().table().commit(writes);
    }
  }

  private final class IsolatedStore implements ObjectStore {
    @Override
    public boolean putIfAbsent(String name, byte[] content) throws PlatformException {
      requirePlatformReachable();
      return run.platform().store().putIfAbsent(name, content);
    }

    @Override
    public Optional<byte[]> read(String name) throws PlatformException {
      requirePlatformReachable();
      return run.platform().store().read(name);
    }
  }
}
