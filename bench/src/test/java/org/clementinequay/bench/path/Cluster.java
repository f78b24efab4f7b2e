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

/** Stand-ins and entry hosts in one JVM on loopback, for tests of the whole path. */
final class Cluster implements AutoCloseable {
  static final String SMALL = "label-small@v1";
  static final String LARGE = "label-large@v1";
  static final String KEY = "key-growers";

  final PlatformStandIn platform = new PlatformStandIn(0);
  final RatingStandIn rating = new RatingStandIn(0);
  final EngineStandIn small = engine(SMALL);
  final EngineStandIn large = engine(LARGE);
  final EngineStandIn large2 = engine(LARGE);
  final ServiceStandIn service = new ServiceStandIn(0);
  final List<EntryHost> hosts = new ArrayList<>();
  final List<HostProcess> processes = new ArrayList<>();
  final HttpClient http = HttpClient.newHttpClient();
  private long revision;

  private static EngineStandIn engine(String version) {
    return new EngineStandIn(0, new EngineSettings(Set.of(version), 32, 5, 1, true));
  }

  static Cluster start(int hostCount) throws Exception {
    Cluster cluster = new Cluster();
    cluster.platform.start();
    cluster.rating.start();
    cluster.small.start();
    cluster.large.start();
    cluster.large2.start();
    cluster.service.start();
    cluster.publish(cluster.document("live", "live"));
    for (int i = 0; i < hostCount; i++) {
      cluster.hosts.add(new EntryHost(cluster.settings(i), new SplittableRandom(i + 1)));
    }
    for (EntryHost host : cluster.hosts) {
      host.start();
      cluster.register(host);
    }
    cluster.awaitReady();
    return cluster;
  }

  /** Starts stand-ins, and entry hosts in processes of their own, in two failure domains. */
  static Cluster startProcesses(int hostCount) throws Exception {
    Cluster cluster = start(0);
    for (int i = 0; i < hostCount; i++) {
      HostProcess host = new HostProcess("entry-" + i, i % 2 == 0 ? "pnw-a" : "pnw-b", cluster);
      cluster.processes.add(host);
      cluster.register(host.name, host.domain, host.peers);
    }
    for (HostProcess host : cluster.processes) {
      host.awaitReady(cluster.http);
    }
    return cluster;
  }

  private void register(EntryHost host) throws Exception {
    register(host.name(), host.domain(), host.peerPort());
  }

  private void register(String name, String domain, int peerPort) throws Exception {
    String entry =
        String.format(
            Locale.ROOT,
            "{\"name\":\"%s\",\"role\":\"entry\",\"domain\":\"%s\",\"address\":\"127.0.0.1:%d\"}",
            name,
            domain,
            peerPort);
    http.send(
        HttpRequest.newBuilder(URI.create("http://" + platform.address() + "/hosts"))
            .POST(HttpRequest.BodyPublishers.ofString(entry))
            .build(),
        HttpResponse.BodyHandlers.discarding());
  }

  private void awaitReady() throws InterruptedException {
    for (EntryHost host : hosts) {
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
            platform.address(), platform.address(), platform.address(), rating.address()),
        List.of(new Settings.SessionSecret("k1", "MDEyMzQ1Njc4OWFiY2RlZjAxMjM0NTY3ODlhYmNkZWY=")),
        List.of(),
        Optional.empty(),
        10,
        new Settings.Timeouts(2000, 2000, 1000));
  }

  /** Returns the sample document with the given states of the two versions. */
  String document(String smallState, String largeState) {
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
        small.address(),
        large.address(),
        large2.address(),
        service.address(),
        digest(KEY),
        digest("key-buyers"));
  }

  private static String digest(String key) {
    return Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString();
  }

  /** Publishes a document straight into the platform. */
  void publish(String text) throws Exception {
    org.eclipse.jetty.client.HttpClient client = new org.eclipse.jetty.client.HttpClient();
    client.start();
    new ConfigurationPublisher(
            new HttpTableService(client, platform.address(), Duration.ofSeconds(2)),
            new HttpObjectStore(client, platform.address(), Duration.ofSeconds(2)),
            new SystemClock())
        .publish(revision, "submission-" + revision, "morning", text);
    client.stop();
    revision++;
  }

  /** Calls the operators' interface of a host process. */
  HttpResponse<String> operate(int host, String operator, String method, String path, String body)
      throws Exception {
    String login =
        Base64.getEncoder()
            .encodeToString((operator + ":quickstart").getBytes(StandardCharsets.UTF_8));
    return http.send(
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + processes.get(host).operators + path))
            .header("Authorization", "Basic " + login)
            .header("Content-Type", "application/json")
            .timeout(Duration.ofSeconds(30))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  int chatStatus(int host, String body) throws Exception {
    return chat(host, body).statusCode();
  }

  HttpResponse<String> chat(int host, String body) throws Exception {
    return post(host, "/v1/chat/completions", body, KEY);
  }

  HttpResponse<String> post(int host, String path, String body, String key, String... headers)
      throws Exception {
    int port = processes.isEmpty() ? hosts.get(host).callerPort() : processes.get(host).callers;
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .header("Authorization", "Bearer " + key)
            .header("Content-Type", "application/json")
            .timeout(Duration.ofSeconds(30))
            .POST(HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
  }

  @Override
  public void close() throws Exception {
    for (EntryHost host : hosts) {
      host.close();
    }
    for (HostProcess process : processes) {
      process.close();
    }
    platform.stop();
    rating.stop();
    small.stop();
    large.stop();
    large2.stop();
    service.stop();
  }
}
