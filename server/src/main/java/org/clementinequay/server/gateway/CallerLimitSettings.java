package org.clementinequay.server.gateway;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.clementinequay.core.ingress.IngressLimits;

/** Limits of connections and of what callers may hold, from the settings and the machine. */
final class CallerLimitSettings {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private static final Path PROCESS_LIMITS = Path.of("/proc/self/limits");
  private static final Pattern OPEN_FILES = Pattern.compile("(?m)^Max open files +([0-9]{1,9}) ");

  /** Descriptors of a process whose limit cannot be read. */
  private static final long DEFAULT_DESCRIPTORS = 1024;

  private static final long READY_BYTES = 2 << 20;
  private static final int MAX_READY_CONNECTIONS = 64;

  /** Divisor of the connections of callers that gives those of the other listeners. */
  private static final int READY_DIVISOR = 8;

  private CallerLimitSettings() {}

  /** Returns the number of connections that may be open to all upstreams. */
  static int upstreamConnections(GatewaySettings settings) {
    return (int)
        orDefault("maxUpstreamConnections", settings.maxUpstreamConnections(), Integer.MAX_VALUE);
  }

  /** Returns the limits of the listener for callers. */
  static IngressLimits callers(GatewaySettings settings) {
    IngressLimits machine =
        IngressLimits.ofMachine(Runtime.getRuntime().maxMemory(), maxDescriptors());
    int connections =
        (int) orDefault("maxConnections", settings.maxConnections(), machine.maxConnections());
    int perAddress =
        (int)
            orDefault("maxConnectionsPerAddress", settings.maxConnectionsPerAddress(), connections);
    return machine
        .withBytes(orDefault("maxCallerBytes", settings.maxCallerBytes(), machine.maxBytes()))
        .withConnections(connections, perAddress);
  }

  /** Returns the limits of the listeners for the readiness check and the metrics together. */
  static IngressLimits ready(IngressLimits callers) {
    int connections =
        Math.max(1, Math.min(MAX_READY_CONNECTIONS, callers.maxConnections() / READY_DIVISOR));
    return new IngressLimits(READY_BYTES, connections, connections);
  }

  private static long orDefault(String name, JsonNode value, long machineLimit) {
    if (value == null || value.isNull()) {
      return machineLimit;
    }
    if (value.canConvertToExactIntegral()
        && value.canConvertToLong()
        && value.longValue() > 0
        && value.longValue() <= machineLimit) {
      return value.longValue();
    }
    logger.atWarning().log("setting %s: %s is not from 1 to %d", name, value, machineLimit);
    return machineLimit;
  }

  private static long maxDescriptors() {
    try {
      Matcher matcher = OPEN_FILES.matcher(Files.readString(PROCESS_LIMITS));
      return matcher.find() ? Long.parseLong(matcher.group(1)) : DEFAULT_DESCRIPTORS;
    } catch (IOException e) {
      return DEFAULT_DESCRIPTORS;
    }
  }
}
