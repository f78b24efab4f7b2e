package org.clementinequay.server.entry;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.clementinequay.server.upstream.BoundedHttpTransport;
import org.clementinequay.server.upstream.PlainConnector;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates Jetty servers and clients with the limits of an entry host. */
final class JettyFactory {
  /** Longest head of a response; an upstream in trouble may send one without end. */
  private static final int MAX_RESPONSE_HEADER_BYTES = 16 * 1024;

  private static final int MAX_HEADER_BYTES = 16 * 1024;
  private static final int OUTPUT_BUFFER_BYTES = 32 * 1024;
  private static final int ACCEPT_QUEUE_SIZE = 1024;

  /** Each stream needs its own connection, and 5,000 streams may be open on a host. */
  private static final int MAX_CONNECTIONS_PER_DESTINATION = 8192;

  private static final int MAX_QUEUED_PER_DESTINATION = 8192;
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);

  private JettyFactory() {}

  static Server createServer(
      String name, String address, int maxThreads, Duration idleTimeout, Handler handler) {
    QueuedThreadPool threads = new QueuedThreadPool(maxThreads, Math.min(8, maxThreads));
    threads.setName(name);
    Server server = new Server(threads);
    HttpConfiguration httpConfiguration = new HttpConfiguration();
    httpConfiguration.setSendServerVersion(false);
    httpConfiguration.setRequestHeaderSize(MAX_HEADER_BYTES);
    httpConfiguration.setOutputBufferSize(OUTPUT_BUFFER_BYTES);
    ServerConnector connector =
        new ServerConnector(server, 1, -1, new HttpConnectionFactory(httpConfiguration));
    InetSocketAddress socketAddress = parseAddress(address);
    connector.setHost(socketAddress.getHostString());
    connector.setPort(socketAddress.getPort());
    connector.setIdleTimeout(idleTimeout.toMillis());
    connector.setAcceptQueueSize(ACCEPT_QUEUE_SIZE);
    server.addConnector(connector);
    server.setHandler(handler);
    return server;
  }

  static int localPort(Server server) {
    return ((ServerConnector) server.getConnectors()[0]).getLocalPort();
  }

  static HttpClient createClient(String name, int maxThreads) {
    ClientConnector connector = new PlainConnector();
    QueuedThreadPool threads = new QueuedThreadPool(maxThreads, Math.min(8, maxThreads));
    threads.setName(name);
    connector.setExecutor(threads);
    connector.setConnectTimeout(CONNECT_TIMEOUT);
    HttpClient client = new HttpClient(new BoundedHttpTransport(connector));
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_DESTINATION);
    client.setMaxRequestsQueuedPerDestination(MAX_QUEUED_PER_DESTINATION);
    client.setMaxResponseHeadersSize(MAX_RESPONSE_HEADER_BYTES);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    return client;
  }

  static InetSocketAddress parseAddress(String address) {
    int colon = address.lastIndexOf(':');
    return new InetSocketAddress(
        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
  }
}
