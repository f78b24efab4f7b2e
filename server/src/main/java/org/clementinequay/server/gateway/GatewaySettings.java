package org.clementinequay.server.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.List;

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
 * @param maxCallerBytes bytes that the host holds for callers; by the heap if it is absent
 * @param maxConnections open connections of callers; by the descriptors if it is absent
 * @param maxConnectionsPerAddress open connections of one address of callers; {@code
 *     maxConnections} if it is absent
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
    JsonNode maxCallerBytes,
    JsonNode maxConnections,
    JsonNode maxConnectionsPerAddress) {
  /** Value of the times that the settings leave out, in milliseconds. */
  private static final long DEFAULT_MILLIS = 2000;

  private static final ObjectReader READER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build()
          .readerFor(GatewaySettings.class);

  /** Replaces absent times by their defaults. */
  public GatewaySettings {
    drainMillis = drainMillis == null ? DEFAULT_MILLIS : drainMillis;
    configurationMillis = configurationMillis == null ? DEFAULT_MILLIS : configurationMillis;
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
    if (!findings.isEmpty()) {
      throw new InvalidSettingsException(findings);
    }
    return settings;
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

  private static void requireAddress(List<String> findings, String field, String value) {
    if (value == null || !value.matches("[^:]+:[0-9]{1,5}")) {
      findings.add(field + ": is not an address of the form host:port: " + value);
    }
  }
}
