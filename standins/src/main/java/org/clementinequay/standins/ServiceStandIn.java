package org.clementinequay.standins;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Stand-in for a plain service. {@code POST /calls/{route}} executes the call and echoes the
 * attempt id. {@code GET /ran} returns the number of executions per request body. {@code POST
 * /fault} with {@code lose} and {@code count} executes the next {@code count} calls without
 * answering them.
 */
public final class ServiceStandIn extends StandInServer {
  private final Map<String, Integer> runCountsByBody = new ConcurrentHashMap<>();
  private final AtomicInteger answersToDrop = new AtomicInteger();

  /** Creates a stand-in on a loopback port; 0 selects a free port. */
  public ServiceStandIn(int port) {
    super(port);
  }

  static ServiceStandIn parse(String[] args) {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> port = parser.accepts("port").withRequiredArg().ofType(Integer.class);
    OptionSet options = parser.parse(args);
    return new ServiceStandIn(options.valueOf(port));
  }

  /** Executes the next {@code count} calls without answering them; their connections stay open. */
  public void dropNextAnswers(int count) {
    answersToDrop.set(count);
  }

  /** Returns a snapshot of the number of executions, keyed by request body. */
  public Map<String, Integer> runCounts() {
    return Map.copyOf(runCountsByBody);
  }

  @Override
  protected boolean handle(Request request, Response response, Callback callback) throws Exception {
    String path = Request.getPathInContext(request);
    if (path.equals("/ran")) {
      return reply(response, callback, 200, runCountsByBody);
    }
    if (path.equals("/load")) {
      return reply(
          response,
          callback,
          200,
          JSON.createObjectNode().put("running", 0).put("queued", 0).put("leaving", false));
    }
    if (path.equals("/fault")) {
      dropNextAnswers(readJson(request).path("count").asInt(1));
      return reply(response, callback, 204);
    }
    if (!path.startsWith("/calls/")) {
      return reply(response, callback, 404);
    }
    String body = Content.Source.asString(request, StandardCharsets.UTF_8);
    int count = runCountsByBody.merge(body, 1, Integer::sum);
    if (answersToDrop.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
      return true;
    }
    response.getHeaders().put("X-Attempt-Id", request.getHeaders().get("X-Attempt-Id"));
    response.getHeaders().put("Content-Type", "application/json");
    String answer =
        JSON.createObjectNode()
            .put("route", path.substring("/calls/".length()))
            .put("run", count)
            .toString();
    response.write(true, ByteBuffer.wrap(answer.getBytes(StandardCharsets.UTF_8)), callback);
    return true;
  }
}
