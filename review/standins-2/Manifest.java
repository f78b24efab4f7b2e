/** The manifest of a small deployment with one service of engines and one plain service. */
final class Manifest {
  static final String HOST = "quay.example";
  static final String ENGINES = "quay-gen";
  static final String PLAIN = "stall-api";

  private Manifest() {}

  static String json(int version) {
    return String.format(
        "{\"version\":%d,\"routes\":["
            + sheet()
            + ","
            + route("stamp", "unsafe", 800, 150, PLAIN, 1, false)
            + ","
            + route("lookup", "safe", 800, 150, PLAIN, 2, false)
            + "],\"services\":[{\"name\":\"quay-gen\",\"healthPath\":\"/health\",\"maxConns\":370,"
            + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kvCapacity\":551700,"
            + "\"kvTokenBytes\":18432,\"stride\":6,\"models\":[{\"name\":\"m0\",\"cost\":0.017}]}},"
            + "{\"name\":\"stall-api\",\"healthPath\":\"/health\",\"maxConns\":110,"
            + "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
            + "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
            + "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"key-1\"],\"priority\":1}]}",
        version);
  }

  /** Returns the route of the engines. */
  static String sheet() {
    return route("sheet", "streaming", 25000, 4000, ENGINES, 3, true);
  }

  private static String route(
      String name,
      String kind,
      int timeoutMillis,
      int targetMillis,
      String service,
      int attempts,
      boolean resumable) {
    return String.format(
        "{\"name\":\"%s\",\"host\":\"%s\",\"pathPrefix\":\"/%s/\",\"kind\":\"%s\",\"timeoutMs\":%d,"
            + "\"targetLatencyMs\":%d,\"priority\":1,\"service\":\"%s\",\"maxAttempts\":%d,"
            + "\"public\":false,\"sticky\":%b,\"resumable\":%b,\"gapTargetMs\":1000}",
        name, HOST, name, kind, timeoutMillis, targetMillis, service, attempts, resumable, resumable);
  }

  /** Returns a request of a client. */
  static String request(String method, String route, String id, int deadlineMillis, String more) {
    return String.format(
        "%s /%s/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n"
            + "Authorization: Token key-1\r\n%s\r\n",
        method, route, HOST, id, deadlineMillis, more);
  }
}
