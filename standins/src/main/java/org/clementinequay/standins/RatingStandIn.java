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
 * Stand-in for the rating service. The difficulty of a prompt is derived from its hash. An answer
 * scores 0.9 if the quality of its model version exceeds the difficulty of the prompt, and 0.1
 * otherwise. {@code POST /quality} sets the quality of a model version.
 */
public final class RatingStandIn extends StandInServer {
  private static final double DEFAULT_QUALITY = 0.95;
  private static final double GOOD_SCORE = 0.9;
  private static final double BAD_SCORE = 0.1;
  private static final int DIFFICULTY_STEPS = 1000;

  private final Map<String, Double> qualityByVersion = new ConcurrentHashMap<>();

  /** Creates a stand-in on a loopback port; 0 selects a free port. */
  public RatingStandIn(int port) {
    super(port);
  }

  static RatingStandIn parse(String[] args) {
    OptionParser parser = new OptionParser();
    OptionSpec<Integer> port = parser.accepts("port").withRequiredArg().ofType(Integer.class);
    OptionSpec<String> qualities =
        parser.accepts("quality", "model@version=0.6").withRequiredArg().withValuesSeparatedBy(',');
    OptionSet options = parser.parse(args);
    RatingStandIn server = new RatingStandIn(options.valueOf(port));
    for (String item : options.valuesOf(qualities)) {
      int separator = item.indexOf('=');
      server.setQuality(
          item.substring(0, separator), Double.parseDouble(item.substring(separator + 1)));
    }
    return server;
  }

  /** Sets the quality of a model version, from 0 to 1; versions start at 0.95. */
  public void setQuality(String modelVersion, double quality) {
    qualityByVersion.put(modelVersion, quality);
  }

  /** Returns the difficulty of a prompt, from 0 inclusive to 1 exclusive; equal prompts agree. */
  public static double difficulty(String prompt) {
    return Math.floorMod(prompt.hashCode() * 31, DIFFICULTY_STEPS) / (double) DIFFICULTY_STEPS;
  }

  @Override
  protected boolean handle(Request request, Response response, Callback callback) throws Exception {
    JsonNode body = readJson(request);
    String modelVersion = body.path("model_version").asText();
    if (Request.getPathInContext(request).equals("/quality")) {
      setQuality(modelVersion, body.path("quality").asDouble());
      return reply(response, callback, 204);
    }
    double quality = qualityByVersion.getOrDefault(modelVersion, DEFAULT_QUALITY);
    boolean isGood = quality > difficulty(body.path("prompt").asText());
    return reply(
        response,
        callback,
        200,
        JSON.createObjectNode().put("score", isGood ? GOOD_SCORE : BAD_SCORE));
  }
}
