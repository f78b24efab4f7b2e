package org.clementinequay.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/** Base class of the stand-ins: an HTTP server on a loopback port. */
public abstract class StandInServer {
  /** JSON mapper with default settings, shared by all stand-ins. */
  protected static final ObjectMapper JSON = new ObjectMapper();

  private static final int OUTPUT_BUFFER_BYTES = 32 * 1024;

  private final Server server;
  private final ServerConnector connector;

  /** Creates a server on a loopback port; 0 selects a free port. */
  protected StandInServer(int port) {
    QueuedThreadPool threadPool = new QueuedThreadPool(64, 4);
    threadPool.setName("standin");
    server = new Server(threadPool);
    HttpConfiguration httpConfiguration = new HttpConfiguration();
    httpConfiguration.setOutputBufferSize(OUTPUT_BUFFER_BYTES);
    httpConfiguration.setSendServerVersion(false);
    connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(httpConfiguration));
    connector.setHost("127.0.0.1");
    connector.setPort(port);
    connector.setAcceptQueueSize(1024);
    server.addConnector(connector);
    server.setHandler(
        new Handler.Abstract() {
          @Override
          public boolean handle(Request request, Response response, Callback callback)
              throws Exception {
            return StandInServer.this.handle(request, response, callback);
          }
        });
  }

  /**
   * Handles one request. May complete the callback after it has returned, or never to leave the
   * request unanswered; returns whether the request was handled.
   */
  protected abstract boolean handle(Request request, Response response, Callback callback)
      throws Exception;

  /** Opens the port and starts listening. */
  public void start() throws Exception {
    server.start();
  }

  /** Stops listening and closes all connections. */
  public void stop() {
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("stand-in server failed to stop", e);
    }
  }

  /** Returns the port that the server is bound to, also if 0 was requested. */
  public int port() {
    return connector.getLocalPort();
  }

  /** Returns {@code host:port} of the listener. */
  public String address() {
    return "127.0.0.1:" + port();
  }

  /** Reads the whole body as JSON; an empty body yields an empty object. */
  protected static JsonNode readJson(Request request) throws Exception {
    String text = Content.Source.asString(request, StandardCharsets.UTF_8);
    return text.isEmpty() ? JSON.createObjectNode() : JSON.readTree(text);
  }

  /** Responds with {@code body} as JSON; always returns true, the result of a handler. */
  protected static boolean reply(Response response, Callback callback, int status, Object body)
      throws Exception {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.write(true, ByteBuffer.wrap(JSON.writeValueAsBytes(body)), callback);
    return true;
  }

  /** Responds with an empty body; always returns true, the result of a handler. */
  protected static boolean reply(Response response, Callback callback, int status) {
    response.setStatus(status);
    callback.succeeded();
    return true;
  }
}
