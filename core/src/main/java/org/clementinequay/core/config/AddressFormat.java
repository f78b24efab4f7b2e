package org.clementinequay.core.config;

import java.util.regex.Pattern;

/** Checks the format of network addresses in configuration documents and settings. */
public final class AddressFormat {
  private static final int MAX_PORT = 65_535;
  private static final Pattern IPV4 =
      Pattern.compile("((25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)(\\.(?!$)|$)){4}");
  private static final Pattern IPV6 = Pattern.compile("\\[(?=.*:)[0-9a-fA-F:.]{2,45}]");

  private AddressFormat() {}

  /**
   * Returns whether the text is an IP address and a port separated by a colon. IPv6 addresses must
   * be in brackets. Host names and null are rejected.
   *
   * @param minPort lowest port allowed: 1, or 0 where a listener may choose a free port
   */
  public static boolean isIpAndPort(String text, int minPort) {
    if (text == null) {
      return false;
    }
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      return false;
    }
    String host = text.substring(0, colon);
    return (IPV4.matcher(host).matches() || IPV6.matcher(host).matches())
        && isPort(text.substring(colon + 1), minPort);
  }

  private static boolean isPort(String text, int minPort) {
    if (!text.matches("\\d{1,5}")) {
      return false;
    }
    int port = Integer.parseInt(text);
    return port >= minPort && port <= MAX_PORT;
  }
}
