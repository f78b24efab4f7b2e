package org.clementinequay.server.operator;

import java.security.SecureRandom;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.platform.memory.CallHook;
import org.clementinequay.core.platform.memory.InMemoryObjectStore;
import org.clementinequay.core.platform.memory.InMemoryTableService;
import org.clementinequay.core.spread.ConfigurationPublisher;
import org.clementinequay.core.time.ManualClock;
import org.clementinequay.server.console.ConsoleHandler;
import org.clementinequay.server.document.DocumentParser;
import org.clementinequay.server.settings.PasswordHash;
import org.clementinequay.server.settings.Settings;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/** Serves the operators' API and console with an in-memory platform on a free loopback port. */
public final class OperatorServer implements AutoCloseable {
  /** A valid configuration document with one domain, model and upstream. */
  public static final String DOCUMENT =
      """
      {
        // Sprig Labelworks
        "domains": [{"name": "a", "region": "pnw"}],
        "models": [{"name": "small", "versions": [
          {"name": "v1", "state": "live", "promptMicrosPerToken": 1,
            "completionMicrosPerToken": 2}]}],
        "upstreams": [{"name": "e1", "kind": "engine", "address": "10.0.0.1:80", "domain": "a",
          "serves": ["small@v1"], "slots": 4}]
      }
      """;

  /** Password of both operators, {@code asha} and {@code ben}. */
  public static final String PASSWORD = "quay";

  private final Server server = new Server();
  private final ServerConnector connector = new ServerConnector(server, 1, 1);
  private final ManualClock clock = new ManualClock(Instant.parse("2026-12-04T11:59:00Z"));
  private final ConfigurationService configurationService;
  private final OperatorAuthenticator authenticator;
  private final List<Long> accepted = new ArrayList<>();
  private volatile boolean ready = true;
  private volatile PlatformException failure;
  private volatile String failingOperation = "";
  private volatile boolean failOnce;
  private volatile Optional<RevisionedConfiguration> inForce = Optional.empty();

  /** Starts the server with a ready host and no accepted revision. */
  public OperatorServer() throws Exception {
    ConfigurationPublisher publisher =
        new ConfigurationPublisher(
            new InMemoryTableService(new Faults()), new InMemoryObjectStore(new Faults()), clock);
    configurationService =
        new ConfigurationService(
            publisher,
            (record, text) -> {
              accepted.add(record.revision());
              inForce =
                  DocumentParser.parse(text)
                      .configuration()
                      .map(
                          parsed ->
                              new RevisionedConfiguration(
                                  record.revision(), record.hash(), text, parsed));
            });
    String hash = PasswordHash.create(PASSWORD.toCharArray(), 1_000, new SecureRandom()).encode();
    authenticator =
        new OperatorAuthenticator(
            List.of(
                new Settings.OperatorLogin("asha", hash), new Settings.OperatorLogin("ben", hash)));
    connector.setHost("127.0.0.1");
    server.addConnector(connector);
    server.setHandler(handler());
    server.start();
  }

  private Handler handler() {
    Host host = new Host();
    return new Handler.Sequence(
        new ConsoleHandler(authenticator, configurationService, host, clock),
        new OperatorHandler(
            authenticator, configurationService, host, OperatorServer::bill, () -> "up 1\n"));
  }

  private static BillReport bill(String account, Instant from, Instant to) {
    return new BillReport(
        account, from, to, 2, 70, List.of(new BillReport.Line("small@v1", 3, 10, 30, 70)));
  }

  /** Returns {@code host:port}. */
  public String address() {
    return "127.0.0.1:" + connector.getLocalPort();
  }

  public ConfigurationService configurationService() {
    return configurationService;
  }

  /** Returns the clock that gives the acceptance times of revisions. */
  public ManualClock clock() {
    return clock;
  }

  public OperatorAuthenticator authenticator() {
    return authenticator;
  }

  /** Returns the accepted revisions that the host was notified of, in order. */
  public List<Long> accepted() {
    return accepted;
  }

  public void ready(boolean newReady) {
    ready = newReady;
  }

  /**
   * Makes the platform fail.
   *
   * @param afterOperation operation that fails once, after it took effect; if empty, every
   *     operation fails before it takes effect
   */
  public void fail(PlatformException newFailure, String afterOperation) {
    failure = newFailure;
    failingOperation = afterOperation;
    failOnce = !afterOperation.isEmpty();
  }

  @Override
  public void close() throws Exception {
    server.stop();
  }

  private final class Faults implements CallHook {
    @Override
    public void beforeEffect(String operation) throws PlatformException {
      if (failure != null && failingOperation.isEmpty()) {
        throw failure;
      }
    }

    @Override
    public void afterEffect(String operation) throws PlatformException {
      if (failOnce && operation.equals(failingOperation)) {
        failOnce = false;
        throw failure;
      }
    }
  }

  private final class Host implements HostView {
    @Override
    public boolean ready() {
      return ready;
    }

    @Override
    public Optional<RevisionedConfiguration> inForce() {
      return inForce;
    }

    @Override
    public HostStatus status() {
      return new HostStatus(
          "entry-1",
          "ab".repeat(16),
          "a",
          "pnw",
          ready,
          false,
          inForce.map(RevisionedConfiguration::revision).orElse(0L),
          12,
          3,
          List.of(),
          List.of("entry-9"),
          true,
          List.of(new HostStatus.PeerStatus("entry-2", "b", 1, 350, false)),
          List.of(new HostStatus.UpstreamStatus("e1", "healthy", 2)));
    }
  }
}
