package org.clementinequay.standins;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Rates answers: a prompt has a difficulty from its hash, and an answer is good (0.9) if the
 * quality of its version exceeds that difficulty, else bad (0.1). {@code POST /quality} changes a
 * version.
 */
public final class RatingStandIn extends StandInServer {
  private static final double DEFAULT_QUALITY = 0.95;
  private static final double GOOD = 0.9;
  private static final double BAD = 0.1;
  private static final int DIFFICULTY_STEPS = 1000;

  private final Map<String, Double> quality = new ConcurrentHashMap<>();

  /** Creates the stand-in for a loopback port; 0 chooses a free one. */
  public RatingStandIn(int port) {
    super(port);
  }

  static RatingStandIn parse(String[] args) {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> port = parser.accepts("port").withRequiredArg().ofType(Integer.class);
    OptionSpec<String> qualities =
        parser.accepts("quality", "model@version=0.6").withRequiredArg().withValuesSeparatedBy(',');
    OptionSet options = parser.parse(args);
    RatingStandIn rating = new RatingStandIn(options.valueOf(port));
    for (String item : options.valuesOf(qualities)) {
      int equals = item.indexOf('=');
      rating.setQuality(item.substring(0, equals), Double.parseDouble(item.substring(equals + 1)));
    }
    return rating;
  }

  /** Sets the quality of a version, from 0 to 1. */
  public void setQuality(String modelVersion, double value) {
    quality.put(modelVersion, value);
  }

  /** Returns the difficulty of a prompt, from 0 up to 1. */
  public static double difficulty(String prompt) {
    return Math.floorMod(prompt.hashCode() * 31, DIFFICULTY_STEPS) / (double) DIFFICULTY_STEPS;
  }

  @Override
  protected boolean handle(Request request, Response response, Callback callback) throws Exception {
    JsonNode body = readJson(request);
    String version = body.path("model_version").asText();
    if (Request.getPathInContext(request).equals("/quality")) {
      setQuality(version, body.path("quality").asDouble());
      return reply(response, callback, 204);
    }
    double versionQuality = quality.getOrDefault(version, DEFAULT_QUALITY);
    boolean good = versionQuality > difficulty(body.path("prompt").asText());
    return reply(response, callback, 200, JSON.createObjectNode().put("score", good ? GOOD : BAD));
  }
}
