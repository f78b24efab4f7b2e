package org.clementinequay.server.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.clementinequay.server.upstream.PlainConnector;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Builds Jetty servers and clients with the limits that this program needs. */
final class HttpParts {
  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int OUTPUT_BUFFER_BYTES = 32 * 1024;
  private static final int ACCEPT_QUEUE = 1024;

  /** One connection carries one stream, and 5,000 streams may be open on a host. */
  private static final int MAX_CONNECTIONS_PER_UPSTREAM = 8192;

  private static final int MAX_QUEUED_PER_UPSTREAM = 8192;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private HttpParts() {}

  static Server server(
      String name, String address, int maxThreads, Duration idleTimeout, Handler handler) {
    QueuedThreadPool threads = new QueuedThreadPool(maxThreads, Math.min(8, maxThreads));
    threads.setName(name);
    Server server = new Server(threads);
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setRequestHeaderSize(MAX_HEADER_BYTES);
    http.setOutputBufferSize(OUTPUT_BUFFER_BYTES);
    ServerConnector connector = new ServerConnector(server, 1, -1, new HttpConnectionFactory(http));
    InetSocketAddress socket = parse(address);
    connector.setHost(socket.getHostString());
    connector.setPort(socket.getPort());
    connector.setIdleTimeout(idleTimeout.toMillis());
    connector.setAcceptQueueSize(ACCEPT_QUEUE);
    server.addConnector(connector);
    server.setHandler(handler);
    return server;
  }

  static int port(Server server) {
    return ((ServerConnector) server.getConnectors()[0]).getLocalPort();
  }

  static HttpClient client(String name, int maxThreads) {
    ClientConnector connector = new PlainConnector();
    QueuedThreadPool threads = new QueuedThreadPool(maxThreads, Math.min(8, maxThreads));
    threads.setName(name);
    connector.setExecutor(threads);
    connector.setConnectTimeout(CONNECT_TIMEOUT);
    HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(connector));
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_UPSTREAM);
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_PER_UPSTREAM);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    return client;
  }

  static InetSocketAddress parse(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
