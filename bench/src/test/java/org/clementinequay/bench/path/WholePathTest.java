package org.clementinequay.bench.path;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.Locale;
import org.clementinequay.standins.EngineFault;
import org.testng.annotations.Test;

/** End-to-end tests: caller, entry host and upstream connected over TCP on loopback. */
public final class WholePathTest {
  private static String chatBody(String model, int tokens, boolean stream) {
    return String.format(
        Locale.ROOT,
        "{\"model\":\"%s\",\"messages\":[{\"role\":\"user\",\"content\":\"tag for plums\"}],"
            + "\"max_tokens\":%d,\"stream\":%b,\"request_class\":\"sheet\"}",
        model,
        tokens,
        stream);
  }

  private static int countOccurrences(String text, String substring) {
    return text.split(java.util.regex.Pattern.quote(substring), -1).length - 1;
  }

  /** Requests that are answered completely or refused, without faults. */
  public static final class Answers extends ClusterTestBase {
    /** Starts one entry host for each test. */
    public Answers() {
      super(1, false);
    }

    /** Guards against tokens that are lost, duplicated or reordered on the way to the caller. */
    @Test
    public void streamsEveryTokenOnce() throws Exception {
      HttpResponse<String> response = cluster.postChat(0, chatBody("label-large", 200, true));
      assertEquals(response.statusCode(), 200, response.body());
      for (int i = 0; i < 200; i++) {
        assertEquals(countOccurrences(response.body(), "\"w" + i + " \""), 1, "token " + i);
      }
      assertTrue(response.body().endsWith("data: [DONE]\n\n"), response.body());
      assertTrue(response.body().contains("\"outcome\":\"ran\""), response.body());
      assertEquals(
          response.headers().firstValue("X-Model-Version").orElse(""), Cluster.LARGE_VERSION);
    }

    /**
     * Guards against an answer that is cut off by the idle timeout of the caller's connection,
     * which carries no data while the caller waits.
     */
    @Test
    public void waitsLongerThanTheIdleTimeoutForAnAnswer() throws Exception {
      HttpResponse<String> response = cluster.postChat(0, chatBody("label-large", 2500, false));
      assertEquals(response.statusCode(), 200, response.body());
      assertTrue(response.body().contains("w2499 "));
    }

    /** Guards against releasing an unaccepted draft, or losing the answer of the last model. */
    @Test
    public void cascadeEscalatesToTheLargeModel() throws Exception {
      cluster.ratingService.setQuality(Cluster.SMALL_VERSION, 0);
      HttpResponse<String> response = cluster.postChat(0, chatBody("label-auto", 8, true));
      assertEquals(
          response.headers().firstValue("X-Model-Version").orElse(""), Cluster.LARGE_VERSION);
      assertEquals(cluster.smallEngine.startedAttempts(), 1);
      assertTrue(response.body().contains("\"attempts\":2"), response.body());
    }

    /** Guards against a cascade that calls the large model although the draft was accepted. */
    @Test
    public void cascadeStopsAtAnAcceptedDraft() throws Exception {
      cluster.ratingService.setQuality(Cluster.SMALL_VERSION, 1);
      HttpResponse<String> response = cluster.postChat(0, chatBody("label-auto", 8, false));
      assertEquals(
          response.headers().firstValue("X-Model-Version").orElse(""), Cluster.SMALL_VERSION);
      assertEquals(
          cluster.largeEngine1.startedAttempts() + cluster.largeEngine2.startedAttempts(), 0);
      assertTrue(response.body().contains("w7 "), response.body());
    }

    /** Guards against sending a request upstream for an account that may not use the model. */
    @Test
    public void refusesAModelThatIsNotAllowed() throws Exception {
      HttpResponse<String> response =
          cluster.post(0, "/v1/chat/completions", chatBody("label-large", 8, false), "key-buyers");
      assertEquals(response.statusCode(), 403, response.body());
      assertTrue(response.body().contains("\"outcome\":\"not-run\""), response.body());
      assertEquals(
          cluster.largeEngine1.startedAttempts() + cluster.largeEngine2.startedAttempts(), 0);
    }

    /** Guards against an answer of a plain service that is lost or altered on the way. */
    @Test
    public void callsAPlainService() throws Exception {
      HttpResponse<String> response =
          cluster.post(0, "/v1/routes/lot-lookup", "{\"lot\":7}", Cluster.GROWERS_API_KEY);
      assertEquals(response.statusCode(), 200, response.body());
      assertEquals(response.headers().firstValue("X-Outcome").orElse(""), "ran");
      assertTrue(response.body().contains("lot-lookup"), response.body());
    }
  }

  /** Failing upstreams and platform. */
  public static final class UpstreamFaults extends ClusterTestBase {
    /** Starts one entry host for each test. */
    public UpstreamFaults() {
      super(1, false);
    }

    private void injectIntoLargeEngines(EngineFault fault, int afterTokens) {
      cluster.largeEngine1.injectFault(fault, afterTokens, 1);
      cluster.largeEngine2.injectFault(fault, afterTokens, 1);
    }

    /**
     * Guards against a stream that is reported as complete although it was cut, stalled or had
     * foreign or duplicate events.
     */
    @Test
    public void resumesABrokenStream() throws Exception {
      for (EngineFault fault :
          new EngineFault[] {
            EngineFault.CUT, EngineFault.STALL, EngineFault.CROSS, EngineFault.DUPLICATE
          }) {
        injectIntoLargeEngines(fault, 10);
        HttpResponse<String> response = cluster.postChat(0, chatBody("label-large", 40, true));
        for (int i = 0; i < 40; i++) {
          assertEquals(
              countOccurrences(response.body(), "\"w" + i + " \""), 1, fault + " token " + i);
        }
        assertTrue(response.body().endsWith("data: [DONE]\n\n"), fault.toString());
        injectIntoLargeEngines(EngineFault.NONE, 0);
      }
    }

    /**
     * Guards against a failed attempt that fails the request although another upstream is
     * available.
     */
    @Test
    public void retriesOnAnotherUpstreamBeforeAnythingWasReleased() throws Exception {
      cluster.largeEngine1.injectFault(EngineFault.ERROR, 0, 2);
      for (int i = 0; i < 4; i++) {
        HttpResponse<String> response = cluster.postChat(0, chatBody("label-large", 8, false));
        assertEquals(response.statusCode(), 200, response.body());
      }
    }

    /** Guards against sending new requests to an upstream that reports that it is leaving. */
    @Test
    public void sendsNoNewWorkToALeavingUpstream() throws Exception {
      cluster.largeEngine2.markLeaving();
      int consecutiveElsewhere = 0;
      for (int i = 0; i < 400 && consecutiveElsewhere < 20; i++) {
        int attemptsBefore = cluster.largeEngine2.startedAttempts();
        assertEquals(cluster.postChat(0, chatBody("label-large", 2, false)).statusCode(), 200);
        consecutiveElsewhere =
            cluster.largeEngine2.startedAttempts() == attemptsBefore ? consecutiveElsewhere + 1 : 0;
        Thread.sleep(20);
      }
      assertEquals(consecutiveElsewhere, 20, "requests in a row on the other upstream");
    }

    /** Guards against idempotent calls and chats that fail while the platform hangs. */
    @Test
    public void servesWhileThePlatformHangs() throws Exception {
      cluster.platform.setFaultMode("hang", Integer.MAX_VALUE);
      for (int i = 0; i < 5; i++) {
        HttpResponse<String> lookupCall =
            cluster.post(
                0, "/v1/routes/lot-lookup", "{\"lot\":" + i + "}", Cluster.GROWERS_API_KEY);
        assertEquals(lookupCall.statusCode(), 200, lookupCall.body());
        assertEquals(cluster.postChat(0, chatBody("label-large", 2, true)).statusCode(), 200);
      }
      HttpResponse<String> keyedCall =
          cluster.post(
              0,
              "/v1/routes/order-stamp",
              "{\"n\":1}",
              Cluster.GROWERS_API_KEY,
              "Idempotency-Key",
              "h1");
      assertEquals(keyedCall.statusCode(), 503, keyedCall.body());
      assertEquals(keyedCall.headers().firstValue("X-Outcome").orElse(""), "not-run");
      assertEquals(cluster.plainService.runCounts().get("{\"n\":1}"), null);
      cluster.platform.setFaultMode("none", 0);
    }

    /** Guards against retrying a non-idempotent call whose answer was lost. */
    @Test
    public void doesNotRepeatANonIdempotentCall() throws Exception {
      cluster.plainService.dropNextAnswers(1);
      HttpResponse<String> response =
          cluster.post(0, "/v1/routes/order-stamp", "{\"crate\":1}", Cluster.GROWERS_API_KEY);
      assertEquals(response.statusCode(), 502, response.body());
      assertTrue(response.body().contains("\"outcome\":\"unknown\""), response.body());
      assertEquals(cluster.plainService.runCounts().get("{\"crate\":1}"), Integer.valueOf(1));
    }
  }

  /** Non-idempotent calls with an idempotency key. */
  public static final class IdempotencyKeys extends ClusterTestBase {
    /** Starts two entry hosts for each test. */
    public IdempotencyKeys() {
      super(2, false);
    }

    private static final String CRATE_BODY = "{\"crate\":41}";

    private HttpResponse<String> postStamp(int host, String idempotencyKey, String body)
        throws Exception {
      return cluster.post(
          host,
          "/v1/routes/order-stamp",
          body,
          Cluster.GROWERS_API_KEY,
          "Idempotency-Key",
          idempotencyKey);
    }

    /** Guards against a second execution when the caller retries through another host. */
    @Test
    public void runsOnceForOneKey() throws Exception {
      HttpResponse<String> first = postStamp(0, "stamp-41", CRATE_BODY);
      assertEquals(first.statusCode(), 200, first.body());
      HttpResponse<String> repeat = postStamp(1, "stamp-41", CRATE_BODY);
      for (int i = 0; i < 500 && repeat.statusCode() == 409; i++) {
        Thread.sleep(10);
        repeat = postStamp(1, "stamp-41", CRATE_BODY);
      }
      assertEquals(repeat.body(), first.body());
      assertEquals(cluster.plainService.runCounts().get(CRATE_BODY), Integer.valueOf(1));
    }

    /** Guards against returning a stored answer for a request with a different body. */
    @Test
    public void refusesAnotherBodyUnderTheKey() throws Exception {
      postStamp(0, "stamp-42", CRATE_BODY);
      HttpResponse<String> otherBody = postStamp(0, "stamp-42", "{\"crate\":42}");
      assertEquals(otherBody.statusCode(), 422, otherBody.body());
      assertEquals(cluster.plainService.runCounts().size(), 1);
    }

    /**
     * Guards against a call that was refused as not-run while the store was down, and runs later
     * once the store answers again.
     */
    @Test
    public void refusedCallDoesNotRunAfterAStoreOutage() throws Exception {
      cluster.platform.setFaultMode("down", Integer.MAX_VALUE);
      HttpResponse<String> refused = postStamp(0, "stamp-43", CRATE_BODY);
      assertEquals(refused.statusCode(), 503, refused.body());
      assertEquals(refused.headers().firstValue("X-Outcome").orElse(""), "not-run");
      HttpResponse<String> idempotent =
          cluster.post(0, "/v1/routes/lot-lookup", "{\"lot\":7}", Cluster.GROWERS_API_KEY);
      assertEquals(idempotent.statusCode(), 200, idempotent.body());
      cluster.platform.setFaultMode("none", 0);
      assertEquals(cluster.plainService.runCounts().get(CRATE_BODY), null);
      HttpResponse<String> later = postStamp(0, "stamp-43", CRATE_BODY);
      assertEquals(later.statusCode(), 200, later.body());
      assertEquals(cluster.plainService.runCounts().get(CRATE_BODY), Integer.valueOf(1));
    }

    /** Guards against a second execution after the claim was written but its answer was lost. */
    @Test
    public void lostAnswerOfTheClaimIsResolved() throws Exception {
      cluster.platform.setFaultMode("lose", 1);
      HttpResponse<String> response = postStamp(0, "stamp-44", CRATE_BODY);
      if (response.statusCode() != 200) {
        assertEquals(response.headers().firstValue("X-Outcome").orElse(""), "not-run");
        assertEquals(cluster.plainService.runCounts().get(CRATE_BODY), null);
      }
      HttpResponse<String> repeat = postStamp(1, "stamp-44", CRATE_BODY);
      for (int i = 0; i < 500 && repeat.statusCode() != 200; i++) {
        Thread.sleep(20);
        repeat = postStamp(1, "stamp-44", CRATE_BODY);
      }
      assertEquals(repeat.statusCode(), 200, repeat.body());
      assertEquals(cluster.plainService.runCounts().get(CRATE_BODY), Integer.valueOf(1));
    }
  }

  /** Sessions, and sessions whose version is withdrawn. */
  public static final class Sessions extends ClusterTestBase {
    /** Starts two entry hosts for each test. */
    public Sessions() {
      super(2, false);
    }

    private String chatBodyInSession(String token) {
      return chatBody("label-auto", 4, false)
          .replace("\"stream\"", "\"session\":\"" + token + "\",\"stream\"");
    }

    /**
     * Guards against a session that is moved to another version, depends on one host, or runs
     * through the cascade again.
     */
    @Test
    public void keepsItsVersionOnEveryHost() throws Exception {
      cluster.ratingService.setQuality(Cluster.SMALL_VERSION, 0);
      HttpResponse<String> first = cluster.postChat(0, chatBody("label-auto", 4, false));
      String token = first.headers().firstValue("X-Session").orElseThrow();
      cluster.ratingService.setQuality(Cluster.SMALL_VERSION, 1);
      HttpResponse<String> second = cluster.postChat(1, chatBodyInSession(token));
      assertEquals(second.statusCode(), 200, second.body());
      assertEquals(
          second.headers().firstValue("X-Model-Version").orElse(""), Cluster.LARGE_VERSION);
      assertEquals(second.headers().firstValue("X-Attempts").orElse(""), "1");
    }

    /**
     * Guards against new requests on a withdrawn version, and against moving its sessions to
     * another version.
     */
    @Test
    public void refusesASessionOfAWithdrawnVersion() throws Exception {
      cluster.ratingService.setQuality(Cluster.SMALL_VERSION, 0);
      HttpResponse<String> first = cluster.postChat(0, chatBody("label-auto", 4, false));
      String token = first.headers().firstValue("X-Session").orElseThrow();
      cluster.publish(cluster.configurationDocument("live", "withdrawn"));
      HttpResponse<String> refused = cluster.postChat(1, chatBodyInSession(token));
      for (int i = 0; i < 500 && refused.statusCode() == 200; i++) {
        Thread.sleep(20);
        refused = cluster.postChat(1, chatBodyInSession(token));
      }
      assertEquals(refused.statusCode(), 410, refused.body());
      assertTrue(refused.body().contains("session_version_withdrawn"), refused.body());
      assertFalse(refused.headers().firstValue("X-Outcome").isEmpty());
    }
  }
}
