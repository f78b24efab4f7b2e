package org.clementinequay.server.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Settings of an entry host that forwards requests by route, read from JSON with comments.
 *
 * @param name name of the host
 * @param domain failure domain of the host
 * @param region region of the host
 * @param callers address ({@code host:port}) of the listener for callers
 * @param ready address of the listener for the readiness check
 * @param peers address of the listener for other entry hosts
 * @param metrics port of the metrics listener on the host of {@code ready}; none if it is 0
 * @param store address of the platform's store
 * @param processorShare fraction of a core that the host may use; also its weight among its peers
 * @param stopSeconds seconds from the stop signal until the process is killed
 * @param retriesPerRequest retries allowed per request of a service, over all hosts
 * @param retryBurst additional retries allowed in a window, over all hosts
 * @param retryWindowSeconds length of the retry window in seconds
 * @param sessionSeconds seconds without a request after which a session ends
 * @param drainMillis milliseconds after which an upstream that announced its leaving must get no
 *     new request; 2000 if it is absent
 * @param configurationMillis milliseconds after which a change by the operator must be in force;
 *     2000 if it is absent
 * @param coldRequestFactor factor by which upstreams after a cold start may get more requests a
 *     second than their service states, over all hosts; no limit if it is absent
 * @param coldRequestExtra requests a second that are added to that; 0 if it is absent
 * @param evacuationMillis milliseconds after which the upstreams of an evacuated failure domain
 *     must get no new request; {@code configurationMillis} if it is absent
 * @param regions region of each failure domain by its name; only that of this host if absent
 * @param maxWaitingRequests how many requests may wait in this host while all upstreams that may
 *     take them are full; none if it is absent or no whole number from 0 to 10000
 * @param engineLoadHosts number of listed hosts from which the hosts of a failure domain exchange
 *     the load of engines; never if it is absent or not positive
 * @param promptCache whether cached beginnings of prompts count when an engine is chosen; true if
 *     it is absent
 * @param accountShareHosts number of listed hosts from which client accounts have shares of the
 *     engines; never if it is absent or no whole number
 * @param promptLaneEngines number of engines of a service from which long prompts have engines of
 *     their own; never if it is absent or no whole number
 * @param maxCallerBytes bytes that the host holds for callers; by the heap if it is absent
 * @param maxConnections open connections of callers; by the descriptors if it is absent
 * @param maxConnectionsPerAddress open connections of one address of callers; {@code
 *     maxConnections} if it is absent
 * @param maxUpstreamConnections open connections to all upstreams; by the descriptors if it is
 *     absent
 */
public record GatewaySettings(
    String name,
    String domain,
    String region,
    String callers,
    String ready,
    String peers,
    int metrics,
    String store,
    double processorShare,
    double stopSeconds,
    double retriesPerRequest,
    double retryBurst,
    double retryWindowSeconds,
    double sessionSeconds,
    Long drainMillis,
    Long configurationMillis,
    Double coldRequestFactor,
    Double coldRequestExtra,
    Long evacuationMillis,
    Map<String, String> regions,
    JsonNode maxWaitingRequests,
    Double engineLoadHosts,
    Boolean promptCache,
    JsonNode accountShareHosts,
    JsonNode promptLaneEngines,
    JsonNode maxCallerBytes,
    JsonNode maxConnections,
    JsonNode maxConnectionsPerAddress,
    JsonNode maxUpstreamConnections) {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  /** Largest number of requests that may wait; each keeps its body in memory. */
  private static final int WAITING_REQUESTS_LIMIT = 10_000;

  /** Value of the times that the settings leave out, in milliseconds. */
  private static final long DEFAULT_MILLIS = 2000;

  private static final ObjectReader READER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build()
          .readerFor(GatewaySettings.class);

  /** Replaces absent values by their defaults. */
  public GatewaySettings {
    drainMillis = drainMillis == null ? DEFAULT_MILLIS : drainMillis;
    configurationMillis = configurationMillis == null ? DEFAULT_MILLIS : configurationMillis;
    coldRequestExtra = coldRequestExtra == null ? 0.0 : coldRequestExtra;
    evacuationMillis = evacuationMillis == null ? configurationMillis : evacuationMillis;
    regions = knownRegions(regions, domain, region);
    engineLoadHosts = engineLoadHosts == null || !(engineLoadHosts > 0) ? 0.0 : engineLoadHosts;
    promptCache = promptCache == null || promptCache;
  }

  private static Map<String, String> knownRegions(
      Map<String, String> stated, String domain, String region) {
    Map<String, String> known = new HashMap<>();
    if (stated != null) {
      known.putAll(stated);
    }
    known.putIfAbsent(domain, region);
    known.entrySet().removeIf(entry -> entry.getKey() == null || entry.getValue() == null);
    return Map.copyOf(known);
  }

  /**
   * Parses and validates settings; unknown properties are ignored.
   *
   * @throws InvalidSettingsException with the syntax error or with every invalid field
   */
  public static GatewaySettings parse(String text) throws InvalidSettingsException {
    GatewaySettings settings;
    try {
      settings = READER.readValue(text);
    } catch (JsonProcessingException e) {
      throw new InvalidSettingsException(
          List.of(e.getOriginalMessage() + " at " + e.getLocation()));
    }
    List<String> findings = new ArrayList<>();
    requirePresent(findings, "name", settings.name());
    requirePresent(findings, "domain", settings.domain());
    requireAddress(findings, "callers", settings.callers());
    requireAddress(findings, "ready", settings.ready());
    requireAddress(findings, "peers", settings.peers());
    requireAddress(findings, "store", settings.store());
    requirePositive(findings, "stopSeconds", settings.stopSeconds());
    requirePositive(findings, "retryWindowSeconds", settings.retryWindowSeconds());
    requirePositive(findings, "drainMillis", settings.drainMillis());
    requirePositive(findings, "configurationMillis", settings.configurationMillis());
    requirePositive(findings, "evacuationMillis", settings.evacuationMillis());
    requireNotNegative(findings, "coldRequestExtra", settings.coldRequestExtra());
    if (settings.coldRequestFactor() != null) {
      requireNotNegative(findings, "coldRequestFactor", settings.coldRequestFactor());
    }
    if (!findings.isEmpty()) {
      throw new InvalidSettingsException(findings);
    }
    return settings;
  }

  /** Returns how many requests may wait; a value that makes no sense is logged and read as 0. */
  public int waitingRequests() {
    if (maxWaitingRequests == null || maxWaitingRequests.isNull()) {
      return 0;
    }
    if (!maxWaitingRequests.isIntegralNumber()
        || !maxWaitingRequests.canConvertToInt()
        || maxWaitingRequests.intValue() < 0
        || maxWaitingRequests.intValue() > WAITING_REQUESTS_LIMIT) {
      logger.atWarning().log(
          "maxWaitingRequests: is no whole number from 0 to %s, no request waits: %s",
          WAITING_REQUESTS_LIMIT, maxWaitingRequests);
      return 0;
    }
    return maxWaitingRequests.intValue();
  }

  /**
   * Returns the number of listed hosts from which client accounts have shares; 0 if they never do.
   * A value that makes no sense is logged and read as 0.
   */
  public int listedHostsForShares() {
    return countOrZero("accountShareHosts", accountShareHosts, "accounts have no shares");
  }

  /**
   * Returns the number of engines of a service from which long prompts have engines of their own; 0
   * if they never do. A value that makes no sense is logged and read as 0.
   */
  public int enginesForPromptLanes() {
    return countOrZero("promptLaneEngines", promptLaneEngines, "long prompts go to all engines");
  }

  private static int countOrZero(String name, JsonNode value, String consequence) {
    if (value == null || value.isNull()) {
      return 0;
    }
    if (!value.isIntegralNumber() || !value.canConvertToInt() || value.intValue() < 0) {
      logger.atWarning().log("%s: is no whole number from 0, %s: %s", name, consequence, value);
      return 0;
    }
    return value.intValue();
  }

  private static void requirePresent(List<String> findings, String field, String value) {
    if (value == null || value.isBlank()) {
      findings.add(field + ": is missing");
    }
  }

  private static void requirePositive(List<String> findings, String field, double value) {
    if (!(value > 0)) {
      findings.add(field + ": must be greater than 0: " + value);
    }
  }

  private static void requireNotNegative(List<String> findings, String field, double value) {
    if (!(value >= 0)) {
      findings.add(field + ": must not be negative: " + value);
    }
  }

  private static void requireAddress(List<String> findings, String field, String value) {
    if (value == null || !value.matches("[^:]+:[0-9]{1,5}")) {
      findings.add(field + ": is not an address of the form host:port: " + value);
    }
  }
}
