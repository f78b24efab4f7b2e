package org.clementinequay.server.gateway;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.ArrayList;
import java.util.List;

/**
 * Settings of a host that serves routes, in JSON with comments.
 *
 * @param name name of the host
 * @param domain its failure domain
 * @param region its region
 * @param callers address of the callers' listener
 * @param ready address of the readiness check
 * @param peers address of the peers' listener
 * @param metrics port of the metrics listener
 * @param store address of the platform's store
 * @param processorShare part of a core that the host may use; its size relative to its peers
 * @param stopSeconds seconds from the signal to stop until the process is killed
 * @param retriesPerRequest retries allowed for each request, over all hosts
 * @param retryBurst retries allowed beyond that in a window, over all hosts
 * @param retryWindowSeconds window of these two, in seconds
 * @param sessionSeconds pause in seconds after which a session has ended
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
    double sessionSeconds) {
  private static final ObjectReader READER =
      JsonMapper.builder()
          .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build()
          .readerFor(GatewaySettings.class);

  /**
   * Parses and checks settings.
   *
   * @throws InvalidSettingsException with all findings
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
