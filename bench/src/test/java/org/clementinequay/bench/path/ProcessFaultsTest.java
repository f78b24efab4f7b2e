package org.clementinequay.bench.path;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.testng.annotations.Test;

/** Tests entry hosts that run as processes and are killed, suspended or stopped. */
public final class ProcessFaultsTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String LOOKUP_PATH = "/v1/routes/lot-lookup";
  private static final String STAMP_PATH = "/v1/routes/order-stamp";

  private static String chatBody(int tokens) {
    return String.format(
        Locale.ROOT,
        "{\"model\":\"label-large\",\"messages\":[{\"content\":\"x\"}],\"max_tokens\":%d,"
            + "\"stream\":true}",
        tokens);
  }

  /** Polls a condition for up to one minute; returns whether it became true. */
  private static boolean waitUntil(Callable<Boolean> condition) throws Exception {
    for (int i = 0; i < 600; i++) {
      if (condition.call()) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  /** Entry hosts that are killed. */
  public static final class Kills extends ClusterTestBase {
    /** Starts two entry hosts for each test. */
    public Kills() {
      super(2, true);
    }

    /** Guards against a second execution of a call whose host was killed after sending it. */
    @Test
    public void callOfAKilledHostIsUnknownAndNeverRunsAgain() throws Exception {
      cluster.plainService.dropNextAnswers(1);
      ExecutorService executor = Executors.newSingleThreadExecutor();
      Future<HttpResponse<String>> first =
          executor.submit(
              () ->
                  cluster.post(
                      0,
                      STAMP_PATH,
                      "{\"n\":1}",
                      Cluster.GROWERS_API_KEY,
                      "Idempotency-Key",
                      "k1"));
      assertTrue(waitUntil(() -> cluster.plainService.runCounts().containsKey("{\"n\":1}")));
      cluster.hostProcesses.get(0).kill();
      executor.shutdownNow();
      assertNotEquals(first, null);
      for (int i = 0; i < 3; i++) {
        HttpResponse<String> repeat =
            cluster.post(
                1, STAMP_PATH, "{\"n\":1}", Cluster.GROWERS_API_KEY, "Idempotency-Key", "k1");
        assertEquals(repeat.statusCode(), 409, repeat.body());
        assertTrue(repeat.body().contains("\"outcome\":\"unknown\""), repeat.body());
      }
      assertEquals(cluster.plainService.runCounts().get("{\"n\":1}"), Integer.valueOf(1));
    }

    /** Guards against lost or duplicate bills when a host is killed before it sealed them. */
    @Test
    public void billsOfAKilledHostAreFlushedByItsPeer() throws Exception {
      assertTrue(waitUntil(() -> fetchStatus(0).path("peers").size() == 1), "hosts are linked");
      int requests = 20;
      for (int i = 0; i < requests; i++) {
        assertEquals(
            cluster
                .post(0, LOOKUP_PATH, "{\"lot\":" + i + "}", Cluster.GROWERS_API_KEY)
                .statusCode(),
            200);
      }
      cluster.hostProcesses.get(0).kill();
      assertTrue(waitUntil(() -> billedRequests() == requests), "billed: " + billedRequests());
      assertEquals(cluster.plainService.runCounts().size(), requests);
    }

    private JsonNode fetchStatus(int host) throws Exception {
      return JSON.readTree(
          cluster.callOperatorApi(host, "morning", "GET", "/api/status", "").body());
    }

    private int billedRequests() throws Exception {
      String path = "/api/bill?account=growers&from=2020-01-01T00:00:00Z&to=2100-01-01T00:00:00Z";
      return JSON.readTree(cluster.callOperatorApi(1, "morning", "GET", path, "").body())
          .path("requests")
          .asInt(-1);
    }
  }

  /** Entry hosts that are suspended, and operators that publish concurrently. */
  public static final class FreezesAndRaces extends ClusterTestBase {
    /** Starts two entry hosts for each test. */
    public FreezesAndRaces() {
      super(2, true);
    }

    /**
     * Guards against a withdrawal that is reported as confirmed while a host is suspended, or that
     * the host ignores after it resumes.
     */
    @Test
    public void frozenHostAppliesTheWithdrawalOnceResumed() throws Exception {
      cluster.hostProcesses.get(0).sendSignal("STOP");
      cluster.publish(cluster.configurationDocument("live", "withdrawn"));
      assertTrue(waitUntil(() -> cluster.postChatStatus(1, chatBody(2)) == 503), "host 1 refuses");
      assertTrue(waitUntil(() -> unconfirmedHosts().equals("[\"entry-0\"]")), unconfirmedHosts());
      cluster.hostProcesses.get(0).sendSignal("CONT");
      assertTrue(waitUntil(() -> unconfirmedHosts().equals("[]")), unconfirmedHosts());
      assertTrue(waitUntil(() -> cluster.postChatStatus(0, chatBody(2)) == 503), "host 0 refuses");
      int attemptsBefore =
          cluster.largeEngine1.startedAttempts() + cluster.largeEngine2.startedAttempts();
      for (int i = 0; i < 5; i++) {
        assertEquals(cluster.postChatStatus(i % 2, chatBody(2)), 503);
      }
      assertEquals(
          cluster.largeEngine1.startedAttempts() + cluster.largeEngine2.startedAttempts(),
          attemptsBefore);
    }

    private String unconfirmedHosts() throws Exception {
      String status = cluster.callOperatorApi(1, "morning", "GET", "/api/status", "").body();
      return JSON.readTree(status).path("unconfirmed").toString();
    }

    /**
     * Guards against lost updates: of two operators who publish concurrently on the same base
     * revision, one is rejected.
     */
    @Test
    public void oneOfTwoOperatorsAtNoonWins() throws Exception {
      ExecutorService executor = Executors.newFixedThreadPool(2);
      List<Future<HttpResponse<String>>> answers = new ArrayList<>();
      String[] operators = {"morning", "afternoon"};
      for (int i = 0; i < 2; i++) {
        int host = i;
        String body =
            JSON.createObjectNode()
                .put("base_revision", 1)
                .put("submission_id", "noon-" + i)
                .put("operator", operators[i])
                .put(
                    "document",
                    cluster.configurationDocument("live", i == 0 ? "closing" : "live") + " ")
                .toString();
        answers.add(
            executor.submit(
                () ->
                    cluster.callOperatorApi(
                        host, operators[host], "POST", "/api/configuration", body)));
      }
      List<Integer> statuses = new ArrayList<>();
      for (Future<HttpResponse<String>> answer : answers) {
        statuses.add(answer.get().statusCode());
      }
      executor.shutdown();
      statuses.sort(null);
      assertEquals(statuses, List.of(200, 409));
    }
  }

  /** Planned shutdowns. */
  public static final class Stops {
    /** Guards against a graceful shutdown that cuts a stream or exits with an error. */
    @Test
    public void gracefulShutdownCutsNoStream() throws Exception {
      try (Cluster cluster = Cluster.startAsProcesses(1)) {
        ExecutorService executor = Executors.newFixedThreadPool(8);
        List<Future<HttpResponse<String>>> streams = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
          streams.add(executor.submit(() -> cluster.postChat(0, chatBody(3000))));
        }
        assertTrue(
            waitUntil(
                () ->
                    cluster.largeEngine1.startedAttempts() + cluster.largeEngine2.startedAttempts()
                        == 8));
        cluster.hostProcesses.get(0).sendSignal("TERM");
        for (Future<HttpResponse<String>> stream : streams) {
          String body = stream.get().body();
          assertTrue(body.endsWith("data: [DONE]\n\n"), body.substring(body.length() - 200));
        }
        executor.shutdown();
        assertEquals(cluster.hostProcesses.get(0).awaitExit(), 0);
      }
    }
  }
}
