package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.Test;

/** Guards against connections to upstreams that take all descriptors of a host. */
public class ConnectionLimitTest {
  private static final int MAX_CONNECTIONS = 3;

  private final ConnectionLimit limit = new ConnectionLimit(MAX_CONNECTIONS);
  private final List<SocketChannel> open = new ArrayList<>();

  private void connect() {
    try {
      SocketChannel channel = SocketChannel.open();
      open.add(channel);
      limit.opened(channel);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private boolean closeOldest() {
    try {
      open.remove(0).close();
      return true;
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @AfterMethod
  public void closeAll() {
    while (!open.isEmpty()) {
      closeOldest();
    }
  }

  @Test
  public void thoseBeyondItWaitInTheirOrder() {
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      assertFalse(limit.connect(this::connect));
    }
    List<String> late = new ArrayList<>();
    assertTrue(limit.connect(() -> late.add("first")));
    assertFalse(limit.connect(() -> late.add("second")), "the first one polls for both");
    assertTrue(limit.connectWaiting());
    assertEquals(late, List.of());
    closeOldest();
    assertFalse(limit.connectWaiting());
    assertEquals(late, List.of("first", "second"));
  }

  @Test
  public void idleConnectionsGiveWay() {
    for (int i = 0; i < MAX_CONNECTIONS; i++) {
      limit.connect(this::connect);
    }
    limit.addIdleCloser(() -> false);
    limit.addIdleCloser(this::closeOldest);
    assertTrue(limit.connect(this::connect));
    assertTrue(limit.connectWaiting());
    assertFalse(limit.connectWaiting());
    assertEquals(open.size(), MAX_CONNECTIONS);
  }
}
