package org.clementinequay.server.gateway;

import java.nio.channels.SocketChannel;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Connections of which each takes a descriptor. One that was closed takes it until its selector has
 * removed the registration of its channel. Thread-safe.
 */
final class OpenChannels {
  /** Number of closed channels that are remembered, beside as many as were open. */
  private static final int MAX_CLOSED = 16;

  private final Set<SocketChannel> channels = ConcurrentHashMap.newKeySet();
  private volatile int forgetSize = MAX_CLOSED;

  void add(SocketChannel channel) {
    channels.add(channel);
  }

  /** Returns whether fewer than a number of descriptors are taken. */
  boolean areFewerThan(int max) {
    if (channels.size() >= Math.min(max, forgetSize)) {
      channels.removeIf(channel -> !channel.isOpen() && !channel.isRegistered());
      forgetSize = 2 * channels.size() + MAX_CLOSED;
    }
    return channels.size() < max;
  }
}
