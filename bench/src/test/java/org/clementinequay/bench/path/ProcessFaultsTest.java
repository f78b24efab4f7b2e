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

/** Entry hosts in processes of their own that are killed, frozen and stopped. */
public final class ProcessFaultsTest {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String LOOKUP = "/v1/routes/lot-lookup";
  private static final String STAMP = "/v1/routes/order-stamp";

  private static String chat(int tokens) {
    return String.format(
        Locale.ROOT,
        "{\"model\":\"label-large\",\"messages\":[{\"content\":\"x\"}],\"max_tokens\":%d,"
            + "\"stream\":true}",
        tokens);
  }

  /** Waits for a condition for at most a minute. */
  private static boolean eventually(Callable<Boolean> condition) throws Exception {
    for (int i = 0; i < 600; i++) {
      if (condition.call()) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  /** Hosts that are killed. */
  public static final class Kills extends WithCluster {
    /** Starts 2 hosts for each test. */
    public Kills() {
      super(2, true);
    }

    /** Guards against a second run of a call whose host died after it had sent it. */
    @Test
    public void callOfAKilledHostIsUnknownAndNeverRunsAgain() throws Exception {
      cluster.service.dropNextAnswers(1);
      ExecutorService executor = Executors.newSingleThreadExecutor();
      Future<HttpResponse<String>> first =
          executor.submit(
              () -> cluster.post(0, STAMP, "{\"n\":1}", Cluster.KEY, "Idempotency-Key", "k1"));
      assertTrue(eventually(() -> cluster.service.runCounts().containsKey("{\"n\":1}")));
      cluster.processes.get(0).kill();
      executor.shutdownNow();
      assertNotEquals(first, null);
      for (int i = 0; i < 3; i++) {
        HttpResponse<String> repeat =
            cluster.post(1, STAMP, "{\"n\":1}", Cluster.KEY, "Idempotency-Key", "k1");
        assertEquals(repeat.statusCode(), 409, repeat.body());
        assertTrue(repeat.body().contains("\"outcome\":\"unknown\""), repeat.body());
      }
      assertEquals(cluster.service.runCounts().get("{\"n\":1}"), Integer.valueOf(1));
    }

    /** Guards against bills that are lost or doubled when a host dies before it sealed them. */
    @Test
    public void billsOfAKilledHostAreFlushedByItsPeer() throws Exception {
      assertTrue(eventually(() -> status(0).path("peers").size() == 1), "hosts are linked");
      int requests = 20;
      for (int i = 0; i < requests; i++) {
        assertEquals(cluster.post(0, LOOKUP, "{\"lot\":" + i + "}", Cluster.KEY).statusCode(), 200);
      }
      cluster.processes.get(0).kill();
      assertTrue(eventually(() -> billed() == requests), "billed: " + billed());
      assertEquals(cluster.service.runCounts().size(), requests);
    }

    private JsonNode status(int host) throws Exception {
      return JSON.readTree(cluster.operate(host, "morning", "GET", "/api/status", "").body());
    }

    private int billed() throws Exception {
      String path = "/api/bill?account=growers&from=2020-01-01T00:00:00Z&to=2100-01-01T00:00:00Z";
      return JSON.readTree(cluster.operate(1, "morning", "GET", path, "").body())
          .path("requests")
          .asInt(-1);
    }
  }

  /** Hosts that are frozen, and operators that race. */
  public static final class FreezesAndRaces extends WithCluster {
    /** Starts 2 hosts for each test. */
    public FreezesAndRaces() {
      super(2, true);
    }

    /** Guards against a withdrawal that is shown as complete, or undone, by a frozen host. */
    @Test
    public void frozenHostTakesUpTheWithdrawal() throws Exception {
      cluster.processes.get(0).signal("STOP");
      cluster.publish(cluster.document("live", "withdrawn"));
      assertTrue(eventually(() -> cluster.chatStatus(1, chat(2)) == 503), "host 1 refuses");
      assertTrue(eventually(() -> unconfirmed().equals("[\"entry-0\"]")), unconfirmed());
      cluster.processes.get(0).signal("CONT");
      assertTrue(eventually(() -> unconfirmed().equals("[]")), unconfirmed());
      assertTrue(eventually(() -> cluster.chatStatus(0, chat(2)) == 503), "host 0 refuses");
      int ran = cluster.large.startedAttempts() + cluster.large2.startedAttempts();
      for (int i = 0; i < 5; i++) {
        assertEquals(cluster.chatStatus(i % 2, chat(2)), 503);
      }
      assertEquals(cluster.large.startedAttempts() + cluster.large2.startedAttempts(), ran);
    }

    private String unconfirmed() throws Exception {
      String status = cluster.operate(1, "morning", "GET", "/api/status", "").body();
      return JSON.readTree(status).path("unconfirmed").toString();
    }

    /** Guards against a change of an operator that silently replaces another one's. */
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
                .put("document", cluster.document("live", i == 0 ? "closing" : "live") + " ")
                .toString();
        answers.add(
            executor.submit(
                () -> cluster.operate(host, operators[host], "POST", "/api/configuration", body)));
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

  /** Planned stops. */
  public static final class Stops {
    /** Guards against a planned stop that cuts a stream or ends with an error. */
    @Test
    public void gracefulShutdownCutsNoStream() throws Exception {
      try (Cluster cluster = Cluster.startProcesses(1)) {
        ExecutorService executor = Executors.newFixedThreadPool(8);
        List<Future<HttpResponse<String>>> streams = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
          streams.add(executor.submit(() -> cluster.chat(0, chat(3000))));
        }
        assertTrue(
            eventually(
                () -> cluster.large.startedAttempts() + cluster.large2.startedAttempts() == 8));
        cluster.processes.get(0).signal("TERM");
        for (Future<HttpResponse<String>> stream : streams) {
          String body = stream.get().body();
          assertTrue(body.endsWith("data: [DONE]\n\n"), body.substring(body.length() - 200));
        }
        executor.shutdown();
        assertEquals(cluster.processes.get(0).awaitExit(), 0);
      }
    }
  }
}
