package org.clementinequay.server.gateway;

import com.google.common.net.HostAndPort;
import org.clementinequay.core.ingress.IngressBudget;
import org.clementinequay.server.upstream.BoundedHttpTransport;
import org.eclipse.jetty.client.Connection;
import org.eclipse.jetty.client.Destination;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpDestination;
import org.eclipse.jetty.http.HttpCompliance;
import org.eclipse.jetty.http.HttpCookieStore;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Creates Jetty servers and clients with few threads, for hosts with a fraction of a core. */
final class JettyFactory {
  /** Largest head of a request in bytes; the configuration may allow less. */
  private static final int MAX_REQUEST_HEAD_BYTES = 64 * 1024;

  /** Room for the headers that an attempt has in addition to those of the caller, in bytes. */
  private static final int ADDED_HEADER_BYTES = 4 * 1024;

  private static final int MAX_RESPONSE_HEAD_BYTES = 16 * 1024;
  private static final int SERVER_THREADS = 8;
  private static final int CLIENT_THREADS = 8;

  /** Threads that a pool keeps; it adds more as they are needed. */
  private static final int KEPT_THREADS = 1;

  /** Threads of a pool that wait to take over a selector: none, on a fraction of a core. */
  private static final int RESERVED_THREADS = 0;

  /** Time after which a pool ends a thread that it does not need, in milliseconds. */
  private static final int THREAD_IDLE_MILLIS = 2000;

  private static final int ACCEPT_QUEUE = 512;

  /** Idle timeout of caller connections in milliseconds; twice what the deployments configure. */
  private static final long CALLER_IDLE_MILLIS = 30_000;

  /**
   * Timeout for connecting to an upstream, in milliseconds. The farthest upstream accepts within 10
   * ms; one behind a network partition never does, and requests with a latency objective of 150 ms
   * must soon be sent elsewhere.
   */
  private static final long CONNECT_MILLIS = 250;

  /** Idle timeout of pooled upstream connections in milliseconds, below that of the upstreams. */
  private static final long UPSTREAM_IDLE_MILLIS = 3000;

  private static final int MAX_CONNECTIONS_PER_UPSTREAM = 64;

  /**
   * Send buffer of upstream connections in bytes. What is in it counts as sent, also if the
   * upstream has read none of it when it ends its answer.
   */
  private static final int UPSTREAM_SEND_BUFFER_BYTES = 128 * 1024;

  private JettyFactory() {}

  /**
   * Returns a server with one listener that has not been started.
   *
   * @param budget what the listener may hold for its callers
   */
  static Server newServer(String name, String address, Handler handler, IngressBudget budget) {
    QueuedThreadPool threads = new QueuedThreadPool(SERVER_THREADS, KEPT_THREADS);
    threads.setName(name);
    threads.setReservedThreads(RESERVED_THREADS);
    threads.setIdleTimeout(THREAD_IDLE_MILLIS);
    Server server = new Server(threads);
    HttpConfiguration http = new HttpConfiguration();
    http.setSendServerVersion(false);
    http.setSendDateHeader(false);
    http.setRequestHeaderSize(MAX_REQUEST_HEAD_BYTES);
    // Paths are forwarded unchanged; this host only compares them with the prefixes of routes.
    http.setUriCompliance(UriCompliance.UNSAFE);
    http.setHttpCompliance(HttpCompliance.RFC7230);
    ServerConnector connector =
        new CallerConnector(server, new CallerConnectionFactory(http), budget);
    HostAndPort hostAndPort = HostAndPort.fromString(address);
    connector.setHost(hostAndPort.getHost());
    connector.setPort(hostAndPort.getPort());
    connector.setIdleTimeout(CALLER_IDLE_MILLIS);
    connector.setAcceptQueueSize(ACCEPT_QUEUE);
    server.addConnector(connector);
    server.setHandler(handler);
    server.setErrorHandler(new ConnectErrorHandler());
    return server;
  }

  /** Adds a listener whose callers share a budget with those of the others. */
  static void addListener(Server server, String host, int port, IngressBudget budget) {
    ServerConnector connector =
        new CallerConnector(server, new CallerConnectionFactory(new HttpConfiguration()), budget);
    connector.setHost(host);
    connector.setPort(port);
    connector.setIdleTimeout(CALLER_IDLE_MILLIS);
    server.addConnector(connector);
  }

  /**
   * Returns a client for upstreams that has not been started.
   *
   * @param limit bounds its connections together with those of other clients
   */
  static HttpClient newClient(String name, ConnectionLimit limit) {
    ClientConnector connector = new ResetAwareConnector(limit);
    connector.setSelectors(1);
    connector.setSendBufferSize(UPSTREAM_SEND_BUFFER_BYTES);
    QueuedThreadPool threads = new QueuedThreadPool(CLIENT_THREADS, KEPT_THREADS);
    threads.setName(name);
    threads.setReservedThreads(RESERVED_THREADS);
    threads.setIdleTimeout(THREAD_IDLE_MILLIS);
    connector.setExecutor(threads);
    HttpClient client = new ForwardingClient(new BoundedHttpTransport(connector));
    client.setConnectTimeout(CONNECT_MILLIS);
    client.setIdleTimeout(UPSTREAM_IDLE_MILLIS);
    client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_UPSTREAM);
    client.setMaxRequestHeadersSize(MAX_REQUEST_HEAD_BYTES + ADDED_HEADER_BYTES);
    client.setMaxResponseHeadersSize(MAX_RESPONSE_HEAD_BYTES);
    client.setFollowRedirects(false);
    client.setUserAgentField(null);
    // The connections of a client carry requests of all callers.
    client.setHttpCookieStore(new HttpCookieStore.Empty());
    client.getProtocolHandlers().put(new InformationalHandler());
    limit.addIdleCloser(() -> closeIdle(client));
    return client;
  }

  private static boolean closeIdle(HttpClient client) {
    for (Destination destination : client.getDestinations()) {
      // Returns nothing but an idle connection, as it may not create one.
      Connection idle = ((HttpDestination) destination).getConnectionPool().acquire(false);
      if (idle != null) {
        idle.close();
        return true;
      }
    }
    return false;
  }
}
