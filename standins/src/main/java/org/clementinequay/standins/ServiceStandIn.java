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
 * A plain service. {@code POST /calls/{route}} runs the call and echoes the attempt id; {@code GET
 * /ran} tells how often each body was run. {@code POST /fault} with {@code lose} and {@code count}
 * runs the next calls without answering them.
 */
public final class ServiceStandIn extends StandInServer {
  private final Map<String, Integer> runs = new ConcurrentHashMap<>();
  private final AtomicInteger loseAnswers = new AtomicInteger();

  /** Creates the stand-in for a loopback port; 0 chooses a free one. */
  public ServiceStandIn(int port) {
    super(port);
  }

  static ServiceStandIn parse(String[] args) {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> port = parser.accepts("port").withRequiredArg().ofType(Integer.class);
    OptionSet options = parser.parse(args);
    return new ServiceStandIn(options.valueOf(port));
  }

  /** Runs the next calls without answering them. */
  public void dropNextAnswers(int count) {
    loseAnswers.set(count);
  }

  /** Returns how often each body was run. */
  public Map<String, Integer> runCounts() {
    return Map.copyOf(runs);
  }

  @Override
  protected boolean handle(Request request, Response response, Callback callback) throws Exception {
    String path = Request.getPathInContext(request);
    if (path.equals("/ran")) {
      return reply(response, callback, 200, runs);
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
    int count = runs.merge(body, 1, Integer::sum);
    if (loseAnswers.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
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
