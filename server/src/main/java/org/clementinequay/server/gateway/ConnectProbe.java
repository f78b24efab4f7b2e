package org.clementinequay.server.gateway;

import com.google.common.flogger.FluentLogger;
import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.core.time.SystemClock;

/**
 * Probes upstreams over TCP, several at the same time: if a failure domain is cut off, all of its
 * upstreams fall silent at once.
 */
final class ConnectProbe implements UpstreamProbe {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final long TIMEOUT_MILLIS = 100;

  private final RuntimeClock clock = new SystemClock();

  @Override
  public Result probe(String address) {
    return probeAll(List.of(address)).get(address);
  }

  @Override
  public Map<String, Result> probeAll(Collection<String> addresses) {
    Map<String, Result> results = new HashMap<>();
    // No connection in time, or an address to which none can be opened.
    addresses.forEach(address -> results.put(address, Result.SILENT));
    try (Selector selector = Selector.open()) {
      try {
        results.keySet().forEach(address -> startConnection(selector, address, results));
        awaitConnections(selector, results);
      } finally {
        selector.keys().forEach(ConnectProbe::close);
      }
    } catch (IOException e) {
      logger.atWarning().withCause(e).log("upstreams could not be probed");
    }
    return results;
  }

  private static void startConnection(
      Selector selector, String address, Map<String, Result> results) {
    SocketChannel channel = null;
    try {
      HostAndPort upstream = HostAndPort.fromString(address);
      InetSocketAddress target = new InetSocketAddress(upstream.getHost(), upstream.getPort());
      channel = SocketChannel.open();
      channel.configureBlocking(false);
      SelectionKey key = channel.register(selector, SelectionKey.OP_CONNECT, address);
      if (channel.connect(target)) {
        results.put(address, Result.CONNECTED);
        key.cancel();
        channel.close();
      }
    } catch (ConnectException e) {
      results.put(address, Result.REFUSED);
      closeQuietly(channel);
    } catch (IOException | IllegalArgumentException | IllegalStateException e) {
      closeQuietly(channel);
    }
  }

  private void awaitConnections(Selector selector, Map<String, Result> results) throws IOException {
    long end = clock.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
    long left = TIMEOUT_MILLIS;
    while (left > 0 && selector.keys().stream().anyMatch(SelectionKey::isValid)) {
      selector.select(key -> results.put((String) key.attachment(), finishConnection(key)), left);
      left = TimeUnit.NANOSECONDS.toMillis(end - clock.nanoTime());
    }
  }

  private static Result finishConnection(SelectionKey key) {
    try {
      ((SocketChannel) key.channel()).finishConnect();
      return Result.CONNECTED;
    } catch (ConnectException e) {
      return Result.REFUSED;
    } catch (IOException e) {
      return Result.SILENT;
    } finally {
      close(key);
    }
  }

  private static void close(SelectionKey key) {
    key.cancel();
    closeQuietly((SocketChannel) key.channel());
  }

  private static void closeQuietly(SocketChannel channel) {
    if (channel != null) {
      try {
        channel.close();
      } catch (IOException e) {
        logger.atFine().withCause(e).log("the connection of a probe could not be closed");
      }
    }
  }
}
