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

/** HTTP server on loopback that the stand-ins extend with their paths. */
public abstract class StandInServer {
  /** Shared JSON mapper. */
  protected static final ObjectMapper JSON = new ObjectMapper();

  private static final int OUTPUT_BUFFER_BYTES = 32 * 1024;

  private final Server server;
  private final ServerConnector connector;

  /** Creates a server for the loopback port; 0 chooses a free one. */
  protected StandInServer(int port) {
    QueuedThreadPool threads = new QueuedThreadPool(64, 4);
    threads.setName("standin");
    server = new Server(threads);
    HttpConfiguration http = new HttpConfiguration();
    http.setOutputBufferSize(OUTPUT_BUFFER_BYTES);
    http.setSendServerVersion(false);
    connector = new ServerConnector(server, 1, 1, new HttpConnectionFactory(http));
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

  /** Serves one request; may complete the callback later. */
  protected abstract boolean handle(Request request, Response response, Callback callback)
      throws Exception;

  /** Starts listening. */
  public void start() throws Exception {
    server.start();
  }

  /** Stops listening and closes all connections. */
  public void stop() {
    try {
      server.stop();
    } catch (Exception e) {
      throw new IllegalStateException("stand-in did not stop", e);
    }
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return connector.getLocalPort();
  }

  /** Returns {@code host:port} of the listener. */
  public String address() {
    return "127.0.0.1:" + port();
  }

  /** Reads the whole body as JSON. */
  protected static JsonNode readJson(Request request) throws Exception {
    String text = Content.Source.asString(request, StandardCharsets.UTF_8);
    return text.isEmpty() ? JSON.createObjectNode() : JSON.readTree(text);
  }

  /** Answers with a JSON body. */
  protected static boolean reply(Response response, Callback callback, int status, Object body)
      throws Exception {
    response.setStatus(status);
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
    response.write(true, ByteBuffer.wrap(JSON.writeValueAsBytes(body)), callback);
    return true;
  }

  /** Answers with an empty body. */
  protected static boolean reply(Response response, Callback callback, int status) {
    response.setStatus(status);
    callback.succeeded();
    return true;
  }
}
