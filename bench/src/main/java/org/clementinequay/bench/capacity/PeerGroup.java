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
import org.clementinequay.server.peer.RevisionSpread;
import org.clementinequay.server.peer.TcpPeerNetwork;

/**
 * Group of entry hosts that are linked over loopback in one process, with the timer intervals of a
 * deployment. Only links and the distribution of revisions run. The threads of each host form a
 * thread group, so that processor time can be attributed to a host.
 */
final class PeerGroup implements AutoCloseable {
  private static final long TIMEOUT_SECONDS = 60;
  private static final long POLL_INTERVAL_MILLIS = 20;
  private static final int EXTRA_THREAD_SLOTS = 64;

  private final List<Host> hosts = new ArrayList<>();
  private final ThreadMXBean threadMxBean = ManagementFactory.getThreadMXBean();

  /** Peer network and revision distribution of one entry host. */
  private static final class Host {
    private final ThreadGroup group;
    private final TcpPeerNetwork network;
    private final RevisionSpread spread;
    private volatile List<HostEntry> hostEntries = List.of();

    private Host(int number) throws Exception {
      group = new ThreadGroup("host-" + number);
      SplittableRandom random = new SplittableRandom(number);
      network =
          TcpPeerNetwork.builder(
                  new PeerIdentity(Incarnation.random(random), name(number), "a", "pnw", 1))
              .listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
              .directory(() -> hostEntries)
              .heartbeat(this::heartbeat)
              .random(random)
              .build();
      RouterConfiguration configuration = RouterConfiguration.builder().build();
      spread = new RevisionSpread(network, text -> Optional.of(configuration), new SystemClock());
    }

    private static String name(int number) {
      return "entry-" + number;
    }

    private HeartbeatContent heartbeat() {
      return new HeartbeatContent(spread == null ? 0 : spread.keeper().number(), false, 12, 0.7);
    }

    private void start() throws InterruptedException {
      // New threads inherit the thread group of the thread that creates them.
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

    private long trafficBytes() {
      return network.statistics().value(Counter.BYTES_SENT)
          + network.statistics().value(Counter.BYTES_RECEIVED);
    }
  }

  /**
   * Starts the hosts and waits until all links are established.
   *
   * @param size number of hosts
   * @param isStar whether all hosts link to the first one only, instead of a full mesh
   */
  PeerGroup(int size, boolean isStar) throws Exception {
    List<HostEntry> entries = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      Host host = new Host(i);
      hosts.add(host);
      String address = "127.0.0.1:" + host.network.address().getPort();
      entries.add(new HostEntry(Host.name(i), "entry", "a", address, false));
    }
    for (int i = 0; i < size; i++) {
      hosts.get(i).hostEntries = !isStar ? entries : i == 0 ? List.of() : entries.subList(0, 1);
      hosts.get(i).start();
    }
    awaitLinks(isStar);
  }

  private void awaitLinks(boolean isStar) throws InterruptedException {
    long startNanos = System.nanoTime();
    for (Host host : hosts) {
      int expectedLinks = isStar && host != hosts.get(0) ? 1 : hosts.size() - 1;
      while (host.network.peers().size() < expectedLinks) {
        if (System.nanoTime() - startNanos > TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS)) {
          throw new IllegalStateException("peer links were not established in time");
        }
        Thread.sleep(POLL_INTERVAL_MILLIS);
      }
    }
  }

  /** Returns the current number of links of the first host. */
  int links() {
    return hosts.get(0).network.peers().size();
  }

  /** Returns the current number of threads of the first host. */
  int threads() {
    return hosts.get(0).group.activeCount();
  }

  /**
   * Returns the number of links lost since the start, summed over all hosts. It is zero unless the
   * run was disturbed.
   */
  long lostLinks() {
    return hosts.stream()
        .mapToLong(
            host ->
                host.network.statistics().value(Counter.LINKS_SILENT)
                    + host.network.statistics().value(Counter.LINKS_CLOSED))
        .sum();
  }

  /** Returns the number of bytes that the first host has sent and received so far. */
  long trafficBytes() {
    return hosts.get(0).trafficBytes();
  }

  /**
   * Returns the processor time used so far by the live threads of the first host, in nanoseconds.
   */
  long cpuNanos() {
    ThreadGroup group = hosts.get(0).group;
    Thread[] groupThreads = new Thread[group.activeCount() + EXTRA_THREAD_SLOTS];
    int count = group.enumerate(groupThreads);
    long nanos = 0;
    for (int i = 0; i < count; i++) {
      nanos += Math.max(0, threadMxBean.getThreadCpuTime(groupThreads[i].getId()));
    }
    return nanos;
  }

  /**
   * Activates a revision at the host with the highest index and waits until all have applied it.
   *
   * @return time until the slowest host had applied it, in nanoseconds
   */
  long distributeRevision(long revision, int documentBytes) throws InterruptedException {
    String document = revision + "x".repeat(documentBytes);
    CountDownLatch notYetApplied = new CountDownLatch(hosts.size());
    for (Host host : hosts) {
      host.spread
          .keeper()
          .addListener(
              offered -> {
                if (offered.revision() == revision) {
                  notYetApplied.countDown();
                }
              });
    }
    RevisionedConfiguration configuration =
        new RevisionedConfiguration(
            revision, DocumentHash.of(document), document, RouterConfiguration.builder().build());
    long startNanos = System.nanoTime();
    hosts.get(hosts.size() - 1).spread.keeper().activateIfNewer(configuration);
    if (!notYetApplied.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
      throw new IllegalStateException("revision was not applied by all hosts in time");
    }
    return System.nanoTime() - startNanos;
  }

  @Override
  public void close() {
    for (Host host : hosts) {
      host.spread.close();
      host.network.close();
    }
  }
}
