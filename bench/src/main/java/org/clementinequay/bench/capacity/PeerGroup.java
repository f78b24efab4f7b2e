package org.clementinequay.bench.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.Incarnation;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.platform.HostEntry;
import org.clementinequay.core.spread.DocumentHash;
import org.clementinequay.core.time.SystemClock;
import org.clementinequay.server.peer.HeartbeatContent;
import org.clementinequay.server.peer.PeerIdentity;
import org.clementinequay.server.peer.PeerStatistics.Counter;
import org.clementinequay.server.peer.RevisionDistributor;
import org.clementinequay.server.peer.TcpPeerNetwork;

/**
 * Entry hosts' links in one process, on loopback, at the intervals of a running deployment. The
 * threads of each host form a thread group, so that their processor time can be told apart.
 */
final class PeerGroup implements AutoCloseable {
  private static final long LINK_LIMIT_SECONDS = 60;
  private static final long POLL_MILLIS = 20;
  private static final int SPARE_THREADS = 64;

  private final List<Host> hosts = new ArrayList<>();
  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

  /** One host. */
  private static final class Host {
    private final ThreadGroup group;
    private final TcpPeerNetwork network;
    private final RevisionDistributor spread;
    private volatile List<HostEntry> list = List.of();

    private Host(int number) throws Exception {
      group = new ThreadGroup("host-" + number);
      SplittableRandom random = new SplittableRandom(number);
      network =
          TcpPeerNetwork.builder(
                  new PeerIdentity(Incarnation.random(random), name(number), "a", "pnw", 1))
              .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
              .directory(() -> list)
              .heartbeat(this::heartbeat)
              .random(random)
              .build();
      RouterConfiguration configuration = RouterConfiguration.builder().build();
      spread =
          new RevisionDistributor(network, text -> Optional.of(configuration), new SystemClock());
    }

    private static String name(int number) {
      return "entry-" + number;
    }

    private HeartbeatContent heartbeat() {
      return new HeartbeatContent(
          spread == null ? 0 : spread.currentRevision().number(), false, 12, 0.7);
    }

    private void start() throws InterruptedException {
      // Threads inherit the group of the thread that starts them.
      Thread starter =
          new Thread(
              group,
              () -> {
                network.start();
                spread.start();
              });
      starter.start();
      starter.join();
    }

    private long traffic() {
      return network.statistics().value(Counter.BYTES_SENT)
          + network.statistics().value(Counter.BYTES_RECEIVED);
    }
  }

  /**
   * Creates hosts.
   *
   * @param star whether all hosts link to the first one only, instead of a full mesh
   */
  PeerGroup(int size, boolean star) throws Exception {
    List<HostEntry> entries = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      Host host = new Host(i);
      hosts.add(host);
      String address = "127.0.0.1:" + host.network.address().getPort();
      entries.add(new HostEntry(Host.name(i), "entry", "a", address, false));
    }
    for (int i = 0; i < size; i++) {
      hosts.get(i).list = !star ? entries : i == 0 ? List.of() : entries.subList(0, 1);
      hosts.get(i).start();
    }
    awaitLinks(star);
  }

  private void awaitLinks(boolean star) throws InterruptedException {
    long start = System.nanoTime();
    for (Host host : hosts) {
      int wanted = star && host != hosts.get(0) ? 1 : hosts.size() - 1;
      while (host.network.peers().size() < wanted) {
        if (System.nanoTime() - start > TimeUnit.SECONDS.toNanos(LINK_LIMIT_SECONDS)) {
          throw new IllegalStateException("links did not come up");
        }
        Thread.sleep(POLL_MILLIS);
      }
    }
  }

  /** Returns the number of links of the first host. */
  int links() {
    return hosts.get(0).network.peers().size();
  }

  /** Returns the number of threads of the first host. */
  int threads() {
    return hosts.get(0).group.activeCount();
  }

  /** Returns the links that were lost since the start, over all hosts; a disturbed run has some. */
  long lostLinks() {
    return hosts.stream()
        .mapToLong(
            host ->
                host.network.statistics().value(Counter.LINKS_SILENT)
                    + host.network.statistics().value(Counter.LINKS_CLOSED))
        .sum();
  }

  /** Returns bytes sent and received by the first host so far. */
  long trafficBytes() {
    return hosts.get(0).traffic();
  }

  /** Returns the processor time of the first host's threads so far, in nanoseconds. */
  long processorNanos() {
    ThreadGroup group = hosts.get(0).group;
    Thread[] found = new Thread[group.activeCount() + SPARE_THREADS];
    int count = group.enumerate(found);
    long nanos = 0;
    for (int i = 0; i < count; i++) {
      nanos += Math.max(0, threads.getThreadCpuTime(found[i].getId()));
    }
    return nanos;
  }

  /**
   * Puts a revision in force at the last host and waits until all have it.
   *
   * @return nanoseconds until the last host had it
   */
  long spread(long revision, int documentBytes) throws InterruptedException {
    String text = revision + "x".repeat(documentBytes);
    CountDownLatch applied = new CountDownLatch(hosts.size());
    for (Host host : hosts) {
      host.spread
          .currentRevision()
          .addListener(
              offered -> {
                if (offered.revision() == revision) {
                  applied.countDown();
                }
              });
    }
    RevisionedConfiguration newer =
        new RevisionedConfiguration(
            revision, DocumentHash.of(text), text, RouterConfiguration.builder().build());
    long start = System.nanoTime();
    hosts.get(hosts.size() - 1).spread.currentRevision().activateIfNewer(newer);
    if (!applied.await(LINK_LIMIT_SECONDS, TimeUnit.SECONDS)) {
      throw new IllegalStateException("revision did not reach all hosts");
    }
    return System.nanoTime() - start;
  }

  @Override
  public void close() {
    for (Host host : hosts) {
      host.spread.close();
      host.network.close();
    }
  }
}
