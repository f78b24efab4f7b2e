package org.clementinequay.bench.path;

import com.google.common.hash.Hashing;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.clementinequay.core.spread.ConfigurationPublisher;
import org.clementinequay.core.time.SystemClock;
import org.clementinequay.server.entry.EntryHost;
import org.clementinequay.server.platform.HttpObjectStore;
import org.clementinequay.server.platform.HttpTableService;
import org.clementinequay.server.settings.Settings;
import org.clementinequay.standins.EngineSettings;
import org.clementinequay.standins.EngineStandIn;
import org.clementinequay.standins.PlatformStandIn;
import org.clementinequay.standins.RatingStandIn;
import org.clementinequay.standins.ServiceStandIn;

/**
 * Stand-ins and entry hosts on loopback ports, for end-to-end tests. The stand-ins run in the JVM
 * of the test; the entry hosts run there too or in processes of their own.
 */
final class Cluster implements AutoCloseable {
  static final String SMALL_VERSION = "label-small@v1";
  static final String LARGE_VERSION = "label-large@v1";
  static final String GROWERS_API_KEY = "key-growers";

  final PlatformStandIn platform = new PlatformStandIn(0);
  final RatingStandIn ratingService = new RatingStandIn(0);
  final EngineStandIn smallEngine = newEngine(SMALL_VERSION);
  final EngineStandIn largeEngine1 = newEngine(LARGE_VERSION);
  final EngineStandIn largeEngine2 = newEngine(LARGE_VERSION);
  final ServiceStandIn plainService = new ServiceStandIn(0);
  final List<EntryHost> entryHosts = new ArrayList<>();
  final List<HostProcess> hostProcesses = new ArrayList<>();
  final HttpClient httpClient = HttpClient.newHttpClient();
  private long baseRevision;

  private static EngineStandIn newEngine(String version) {
    return new EngineStandIn(0, new EngineSettings(Set.of(version), 32, 5, 1, true));
  }

  static Cluster startInJvm(int hostCount) throws Exception {
    Cluster cluster = new Cluster();
    cluster.platform.start();
    cluster.ratingService.start();
    cluster.smallEngine.start();
    cluster.largeEngine1.start();
    cluster.largeEngine2.start();
    cluster.plainService.start();
    cluster.publish(cluster.configurationDocument("live", "live"));
    for (int i = 0; i < hostCount; i++) {
      cluster.entryHosts.add(new EntryHost(cluster.settings(i), new SplittableRandom(i + 1)));
    }
    for (EntryHost host : cluster.entryHosts) {
      host.start();
      cluster.register(host);
    }
    cluster.awaitReady();
    return cluster;
  }

  /**
   * Starts the stand-ins here and each entry host as a process, alternating two failure domains.
   */
  static Cluster startAsProcesses(int hostCount) throws Exception {
    Cluster cluster = startInJvm(0);
    for (int i = 0; i < hostCount; i++) {
      HostProcess host = new HostProcess("entry-" + i, i % 2 == 0 ? "pnw-a" : "pnw-b", cluster);
      cluster.hostProcesses.add(host);
      cluster.register(host.name, host.domain, host.peerPort);
    }
    for (HostProcess host : cluster.hostProcesses) {
      host.awaitReady(cluster.httpClient);
    }
    return cluster;
  }

  private void register(EntryHost host) throws Exception {
    register(host.name(), host.domain(), host.peerPort());
  }

  private void register(String name, String domain, int peerPort) throws Exception {
    String hostEntry =
        String.format(
            Locale.ROOT,
            "{\"name\":\"%s\",\"role\":\"entry\",\"domain\":\"%s\",\"address\":\"127.0.0.1:%d\"}",
            name,
            domain,
            peerPort);
    httpClient.send(
        HttpRequest.newBuilder(URI.create("http://" + platform.address() + "/hosts"))
            .POST(HttpRequest.BodyPublishers.ofString(hostEntry))
            .build(),
        HttpResponse.BodyHandlers.discarding());
  }

  private void awaitReady() throws InterruptedException {
    for (EntryHost host : entryHosts) {
      while (!host.ready()) {
        Thread.sleep(10);
      }
    }
  }

  private Settings settings(int index) {
    String loopback = "127.0.0.1:0";
    return new Settings(
        "entry-" + index,
        index % 2 == 0 ? "pnw-a" : "pnw-b",
        "pnw",
        1,
        new Settings.Listeners(loopback, loopback, loopback),
        new Settings.Platform(
            platform.address(), platform.address(), platform.address(), ratingService.address()),
        List.of(new Settings.SessionSecret("k1", "MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY=")),
        List.of(),
        Optional.empty(),
        10,
        new Settings.Timeouts(2000, 2000, 1000));
  }

  /** Returns a configuration document in which the two model versions have the given states. */
  String configurationDocument(String smallState, String largeState) {
    return String.format(
        Locale.ROOT,
        """
        {
          // Two models, two accounts, one route that must not be repeated.
          "domains": [{"name": "pnw-a", "region": "pnw"}, {"name": "pnw-b", "region": "pnw"}],
          "classes": [{"name": "sheet", "priority": 0, "deadlineMillis": 20000, "qualityTarget": 0.9}],
          "models": [
            {"name": "label-small", "versions": [{"name": "v1", "state": "%s",
              "promptMicrosPerToken": 1, "completionMicrosPerToken": 2}]},
            {"name": "label-large", "versions": [{"name": "v1", "state": "%s",
              "promptMicrosPerToken": 10, "completionMicrosPerToken": 20}]}],
          "cascades": [{"name": "label-auto", "models": ["label-small", "label-large"], "acceptScore": 0.5}],
          "routes": [
            {"name": "order-stamp", "idempotent": false, "timeoutMillis": 5000, "costMicros": 500},
            {"name": "lot-lookup", "idempotent": true, "timeoutMillis": 2000, "costMicros": 5}],
          "upstreams": [
            {"name": "small-1", "kind": "engine", "address": "%s", "domain": "pnw-a",
             "serves": ["label-small@v1"], "slots": 32, "checksFencing": true},
            {"name": "large-1", "kind": "engine", "address": "%s", "domain": "pnw-a",
             "serves": ["label-large@v1"], "slots": 32, "checksFencing": true},
            {"name": "large-2", "kind": "engine", "address": "%s", "domain": "pnw-b",
             "serves": ["label-large@v1"], "slots": 32, "checksFencing": true},
            {"name": "stamps-1", "kind": "service", "address": "%s", "domain": "pnw-a",
             "serves": ["order-stamp", "lot-lookup"], "slots": 8, "checksFencing": false}],
          "accounts": [
            {"name": "growers", "apiKeySha256": ["%s"], "models": ["label-small", "label-large"],
             "cascades": ["label-auto"], "routes": ["order-stamp", "lot-lookup"],
             "limits": {"requestsPerSecond": 1000, "burst": 1000, "concurrent": 1000}},
            {"name": "buyers", "apiKeySha256": ["%s"], "models": ["label-small"],
             "cascades": [], "routes": ["lot-lookup"],
             "limits": {"requestsPerSecond": 1000, "burst": 1000, "concurrent": 1000}}],
          "weights": {"cost": 1, "latency": 1, "exposure": 1}
        }
        """,
        smallState,
        largeState,
        smallEngine.address(),
        largeEngine1.address(),
        largeEngine2.address(),
        plainService.address(),
        sha256Hex(GROWERS_API_KEY),
        sha256Hex("key-buyers"));
  }

  private static String sha256Hex(String apiKey) {
    return Hashing.sha256().hashString(apiKey, StandardCharsets.UTF_8).toString();
  }

  /** Publishes the next revision directly through the platform, without an entry host. */
  void publish(String document) throws Exception {
    org.eclipse.jetty.client.HttpClient platformClient = new org.eclipse.jetty.client.HttpClient();
    platformClient.start();
    new ConfigurationPublisher(
            new HttpTableService(platformClient, platform.address(), Duration.ofSeconds(2)),
            new HttpObjectStore(platformClient, platform.address(), Duration.ofSeconds(2)),
            new SystemClock())
        .publish(baseRevision, "submission-" + baseRevision, "morning", document);
    platformClient.stop();
    baseRevision++;
  }

  /** Calls the operator interface of a host that runs as a process. */
  HttpResponse<String> callOperatorApi(
      int host, String operator, String method, String path, String body) throws Exception {
    String credentials =
        Base64.getEncoder()
            .encodeToString((operator + ":quickstart").getBytes(StandardCharsets.UTF_8));
    return httpClient.send(
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + hostProcesses.get(host).operatorPort + path))
            .header("Authorization", "Basic " + credentials)
            .header("Content-Type", "application/json")
            .timeout(Duration.ofSeconds(30))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  int postChatStatus(int host, String body) throws Exception {
    return postChat(host, body).statusCode();
  }

  HttpResponse<String> postChat(int host, String body) throws Exception {
    return post(host, "/v1/chat/completions", body, GROWERS_API_KEY);
  }

  HttpResponse<String> post(int host, String path, String body, String apiKey, String... headers)
      throws Exception {
    int port =
        hostProcesses.isEmpty()
            ? entryHosts.get(host).callerPort()
            : hostProcesses.get(host).callerPort;
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .header("Authorization", "Bearer " + apiKey)
            .header("Content-Type", "application/json")
            .timeout(Duration.ofSeconds(30))
            .POST(HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return httpClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  @Override
  public void close() throws Exception {
    for (EntryHost host : entryHosts) {
      host.close();
    }
    for (HostProcess process : hostProcesses) {
      process.close();
    }
    platform.stop();
    ratingService.stop();
    smallEngine.stop();
    largeEngine1.stop();
    largeEngine2.stop();
    plainService.stop();
  }
}
