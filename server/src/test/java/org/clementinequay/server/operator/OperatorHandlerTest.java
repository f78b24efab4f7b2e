package org.clementinequay.server.operator;

import static org.clementinequay.server.operator.OperatorServer.DOCUMENT;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the operators' interface over HTTP. */
public final class OperatorHandlerTest {
  /** Starts a server for each test and sends requests to it. */
  abstract static class Fixture {
    private final HttpClient client = HttpClient.newHttpClient();
    OperatorServer server;

    /** Starts a server with no accepted revision. */
    @BeforeMethod
    public void start() throws Exception {
      server = new OperatorServer();
    }

    /** Stops the server. */
    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
      server.close();
    }

    HttpResponse<String> send(HttpRequest.Builder request, String path, String login)
        throws Exception {
      if (!login.isEmpty()) {
        byte[] credentials = login.getBytes(StandardCharsets.UTF_8);
        request.header("Authorization", "Basic " + Base64.getEncoder().encodeToString(credentials));
      }
      request.uri(URI.create("http://" + server.address() + path));
      return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> read(String path, String login) throws Exception {
      return send(HttpRequest.newBuilder(), path, login);
    }

    JsonNode json(int status, HttpResponse<String> response) throws Exception {
      assertEquals(response.statusCode(), status, response.body());
      return OperatorJson.MAPPER.readTree(response.body());
    }

    JsonNode read(int status, String path) throws Exception {
      return json(status, read(path, "asha:quay"));
    }

    HttpResponse<String> post(String body, String type, String login) throws Exception {
      return send(
          HttpRequest.newBuilder()
              .POST(HttpRequest.BodyPublishers.ofString(body))
              .header("Content-Type", type),
          "/api/configuration",
          login);
    }

    JsonNode submit(int status, String operator, long base, String id, String document)
        throws Exception {
      String body =
          OperatorJson.object()
              .put("base_revision", base)
              .put("submission_id", id)
              .put("operator", operator)
              .put("document", document)
              .toString();
      return json(status, post(body, "application/json", operator + ":quay"));
    }
  }

  /** Tests of submitting and reading configurations. */
  public static final class Submissions extends Fixture {
    /** Guards against returning a document that differs from the accepted one (R14). */
    @Test
    public void acceptedDocumentIsInForce() throws Exception {
      JsonNode accepted = submit(200, "asha", 0, "s1", DOCUMENT);
      assertEquals(accepted.path("revision").longValue(), 1);
      assertEquals(accepted.path("warnings").size(), 0);
      assertEquals(server.accepted(), List.of(1L));
      JsonNode shown = read(200, "/api/configuration");
      assertEquals(shown.path("document").textValue(), DOCUMENT);
      assertEquals(shown.path("operator").textValue(), "asha");
      assertEquals(shown.path("accepted_at").textValue(), "2026-12-04T11:59:00Z");
      assertEquals(shown.path("in_force_here").longValue(), 1);
      submit(200, "ben", 1, "s2", DOCUMENT.replace("\"live\"", "\"closing\""));
      assertEquals(
          read(200, "/api/configuration?revision=1").path("document").textValue(), DOCUMENT);
      JsonNode history = read(200, "/api/history?limit=1").path("revisions");
      assertEquals(history.size(), 1);
      assertEquals(history.path(0).path("operator").textValue(), "ben");
    }

    /** Guards against storing an invalid document and against missing findings. */
    @Test
    public void invalidDocumentReturnsAllFindings() throws Exception {
      String invalid = DOCUMENT.replace("\"live\"", "\"alive\"").replace("10.0.0.1", "e1");
      JsonNode error = submit(422, "asha", 0, "s1", invalid).path("error");
      assertEquals(error.path("code").textValue(), "invalid_configuration");
      assertEquals(error.path("findings").size(), 2);
      assertEquals(
          error.path("findings").path(0).path("pointer").textValue(), "/models/0/versions/0/state");
      assertEquals(error.path("findings").path(0).path("line").intValue(), 5);
      read(404, "/api/configuration");
    }

    /**
     * Guards against merging conflicting submissions silently, and against a conflict response that
     * does not name the other operator and the changes.
     */
    @Test
    public void conflictReturnsLatestRevisionAndChanges() throws Exception {
      submit(200, "asha", 0, "s1", DOCUMENT);
      submit(200, "asha", 1, "s2", DOCUMENT.replace("\"slots\": 4", "\"slots\": 8"));
      JsonNode error = submit(409, "ben", 1, "s3", DOCUMENT).path("error");
      assertEquals(error.path("code").textValue(), "lost_race");
      assertEquals(error.path("winner").path("operator").textValue(), "asha");
      assertEquals(error.path("winner").path("revision").longValue(), 2);
      assertEquals(
          error.path("changes").toString(),
          "[{\"pointer\":\"/upstreams/e1/slots\",\"before\":\"4\",\"after\":\"8\"}]");
    }

    /** Guards against a submission under another operator's name. */
    @Test
    public void operatorCannotSubmitForAnother() throws Exception {
      String body = "{\"operator\":\"ben\",\"base_revision\":0,\"submission_id\":\"s\"}";
      json(403, post(body, "application/json", "asha:quay"));
    }

    /** Guards against internal errors from malformed bodies, and against accepting form posts. */
    @Test
    public void malformedRequestsAreRefused() throws Exception {
      for (String body : List.of("", "{", "[]", "{}", "{\"base_revision\":-1,\"document\":\"\"}")) {
        json(400, post(body, "application/json", "asha:quay"));
      }
      json(415, post("{}", "application/x-www-form-urlencoded", "asha:quay"));
      String large = " ".repeat(OperatorHandler.MAX_BODY_BYTES + 1);
      json(413, post(large, "application/json", "asha:quay"));
      submit(400, "asha", 7, "s1", DOCUMENT);
    }
  }

  /** Tests with a platform that fails. */
  public static final class Outages extends Fixture {
    /**
     * Guards against exposing stack traces and internal messages, and against hiding the
     * configuration in force during an outage.
     */
    @Test
    public void outageIsReportedAndRevisionInForceReturned() throws Exception {
      submit(200, "asha", 0, "s1", DOCUMENT);
      server.fail(new PlatformUnavailableException("secret place"), "");
      JsonNode error = submit(503, "asha", 1, "s2", DOCUMENT);
      assertEquals(error.path("error").path("code").textValue(), "platform_unavailable");
      assertFalse(error.toString().contains("secret place"));
      assertEquals(read(200, "/api/configuration").path("document").textValue(), DOCUMENT);
      read(503, "/api/configuration?revision=7");
      read(503, "/api/history");
    }

    /** Guards against a second revision or an error when only the platform's answer was lost. */
    @Test
    public void lostAnswerIsResolved() throws Exception {
      server.fail(new AnswerLostException("timeout"), "commit");
      assertEquals(submit(200, "asha", 0, "s1", DOCUMENT).path("revision").longValue(), 1);
    }
  }

  /** Tests of authentication, health checks, metrics and bills. */
  public static final class Access extends Fixture {
    /** Guards against API paths without authentication, and against accepting wrong passwords. */
    @Test
    public void apiNeedsPassword() throws Exception {
      for (String login : List.of("", "asha", "asha:wrong", "eve:quay", ":")) {
        HttpResponse<String> response = read("/api/status", login);
        assertEquals(response.statusCode(), 401, login);
        assertTrue(response.headers().firstValue("WWW-Authenticate").isPresent());
      }
      // The password of the second request is found in the cache.
      read(200, "/api/status");
      assertEquals(read(200, "/api/status").path("peers").size(), 1);
      assertEquals(read("/api/status", "asha:wrong").statusCode(), 401);
    }

    /**
     * Guards against a load balancer that cannot recognize a host that must not get requests,
     * because the readiness check needs a password or reports the host as ready.
     */
    @Test
    public void healthReadinessAndMetricsAreOpen() throws Exception {
      assertEquals(read("/healthz", "").statusCode(), 200);
      assertEquals(read("/readyz", "").statusCode(), 200);
      server.ready(false);
      assertEquals(read("/readyz", "").statusCode(), 503);
      assertEquals(read("/metrics", "").body(), "up 1\n");
      assertEquals(read("/none", "").statusCode(), 404);
      assertEquals(read("/api/none", "asha:quay").statusCode(), 404);
      assertEquals(send(HttpRequest.newBuilder().DELETE(), "/healthz", "").statusCode(), 405);
    }

    /** Guards against bills without account or period, and against wrong times in the response. */
    @Test
    public void billNeedsAccountAndPeriod() throws Exception {
      JsonNode bill =
          read(200, "/api/bill?account=a&from=2026-12-01T00:00:00Z&to=2026-12-02T00:00:00Z");
      assertEquals(bill.path("cost_micros").longValue(), 70);
      assertEquals(bill.path("from").textValue(), "2026-12-01T00:00:00Z");
      assertEquals(bill.path("lines").path(0).path("prompt_tokens").longValue(), 10);
      read(400, "/api/bill?account=a&from=2026-12-02T00:00:00Z&to=2026-12-02T00:00:00Z");
      read(400, "/api/bill?account=a&from=yesterday&to=2026-12-02T00:00:00Z");
      read(400, "/api/bill?from=2026-12-01T00:00:00Z&to=2026-12-02T00:00:00Z");
      read(400, "/api/history?limit=0");
    }
  }
}
