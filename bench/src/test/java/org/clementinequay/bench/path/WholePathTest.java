package org.clementinequay.bench.path;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.http.HttpResponse;
import java.util.Locale;
import org.clementinequay.standins.EngineFault;
import org.testng.annotations.Test;

/** A request goes from a caller through an entry host to an upstream and back, over real TCP. */
public final class WholePathTest {
  private static String body(String model, int tokens, boolean stream) {
    return String.format(
        Locale.ROOT,
        "{\"model\":\"%s\",\"messages\":[{\"role\":\"user\",\"content\":\"tag for plums\"}],"
            + "\"max_tokens\":%d,\"stream\":%b,\"request_class\":\"sheet\"}",
        model,
        tokens,
        stream);
  }

  private static int count(String text, String part) {
    return text.split(java.util.regex.Pattern.quote(part), -1).length - 1;
  }

  /** Answers that are whole. */
  public static final class Answers extends WithCluster {
    /** Starts 1 host for each test. */
    public Answers() {
      super(1, false);
    }

    /** Guards against a stream that loses, doubles or reorders tokens on its way. */
    @Test
    public void streamsEveryTokenOnce() throws Exception {
      HttpResponse<String> response = cluster.chat(0, body("label-large", 200, true));
      assertEquals(response.statusCode(), 200, response.body());
      for (int i = 0; i < 200; i++) {
        assertEquals(count(response.body(), "\"w" + i + " \""), 1, "token " + i);
      }
      assertTrue(response.body().endsWith("data: [DONE]\n\n"), response.body());
      assertTrue(response.body().contains("\"outcome\":\"ran\""), response.body());
      assertEquals(response.headers().firstValue("X-Model-Version").orElse(""), Cluster.LARGE);
    }

    /** Guards against an answer that is cut because the caller is silent while it waits for it. */
    @Test
    public void waitsLongerThanTheIdleTimeoutForAnAnswer() throws Exception {
      HttpResponse<String> response = cluster.chat(0, body("label-large", 2500, false));
      assertEquals(response.statusCode(), 200, response.body());
      assertTrue(response.body().contains("w2499 "));
    }

    /** Guards against a draft that is released before it was accepted, or a lost last step. */
    @Test
    public void cascadeFallsThroughToTheDearModel() throws Exception {
      cluster.rating.setQuality(Cluster.SMALL, 0);
      HttpResponse<String> response = cluster.chat(0, body("label-auto", 8, true));
      assertEquals(response.headers().firstValue("X-Model-Version").orElse(""), Cluster.LARGE);
      assertEquals(cluster.small.startedAttempts(), 1);
      assertTrue(response.body().contains("\"attempts\":2"), response.body());
    }

    /** Guards against a cascade that pays for the dear model although the draft was good. */
    @Test
    public void cascadeStopsAtAGoodDraft() throws Exception {
      cluster.rating.setQuality(Cluster.SMALL, 1);
      HttpResponse<String> response = cluster.chat(0, body("label-auto", 8, false));
      assertEquals(response.headers().firstValue("X-Model-Version").orElse(""), Cluster.SMALL);
      assertEquals(cluster.large.startedAttempts() + cluster.large2.startedAttempts(), 0);
      assertTrue(response.body().contains("w7 "), response.body());
    }

    /** Guards against work for an account that may not use the model. */
    @Test
    public void refusesAModelThatIsNotAllowed() throws Exception {
      HttpResponse<String> response =
          cluster.post(0, "/v1/chat/completions", body("label-large", 8, false), "key-buyers");
      assertEquals(response.statusCode(), 403, response.body());
      assertTrue(response.body().contains("\"outcome\":\"not-run\""), response.body());
      assertEquals(cluster.large.startedAttempts() + cluster.large2.startedAttempts(), 0);
    }

    /** Guards against an answer of a plain service that is lost or changed on its way. */
    @Test
    public void callsAPlainService() throws Exception {
      HttpResponse<String> response =
          cluster.post(0, "/v1/routes/lot-lookup", "{\"lot\":7}", Cluster.KEY);
      assertEquals(response.statusCode(), 200, response.body());
      assertEquals(response.headers().firstValue("X-Outcome").orElse(""), "ran");
      assertTrue(response.body().contains("lot-lookup"), response.body());
    }
  }

  /** Upstreams that fail. */
  public static final class UpstreamFaults extends WithCluster {
    /** Starts 1 host for each test. */
    public UpstreamFaults() {
      super(1, false);
    }

    private void inject(EngineFault fault, int after) {
      cluster.large.injectFault(fault, after, 1);
      cluster.large2.injectFault(fault, after, 1);
    }

    /** Guards against a stream that is passed off as whole after it was cut, stalled or mixed. */
    @Test
    public void resumesABrokenStream() throws Exception {
      for (EngineFault fault :
          new EngineFault[] {
            EngineFault.CUT, EngineFault.STALL, EngineFault.CROSS, EngineFault.DUPLICATE
          }) {
        inject(fault, 10);
        HttpResponse<String> response = cluster.chat(0, body("label-large", 40, true));
        for (int i = 0; i < 40; i++) {
          assertEquals(count(response.body(), "\"w" + i + " \""), 1, fault + " token " + i);
        }
        assertTrue(response.body().endsWith("data: [DONE]\n\n"), fault.toString());
        inject(EngineFault.NONE, 0);
      }
    }

    /**
     * Guards against a failed attempt that fails the request although another upstream is there.
     */
    @Test
    public void retriesOnAnotherUpstreamBeforeAnythingWasReleased() throws Exception {
      cluster.large.injectFault(EngineFault.ERROR, 0, 2);
      for (int i = 0; i < 4; i++) {
        HttpResponse<String> response = cluster.chat(0, body("label-large", 8, false));
        assertEquals(response.statusCode(), 200, response.body());
      }
    }

    /** Guards against new work on an upstream that has said that it leaves. */
    @Test
    public void sendsNoNewWorkToALeavingUpstream() throws Exception {
      cluster.large2.markLeaving();
      int elsewhere = 0;
      for (int i = 0; i < 400 && elsewhere < 20; i++) {
        int before = cluster.large2.startedAttempts();
        assertEquals(cluster.chat(0, body("label-large", 2, false)).statusCode(), 200);
        elsewhere = cluster.large2.startedAttempts() == before ? elsewhere + 1 : 0;
        Thread.sleep(20);
      }
      assertEquals(elsewhere, 20, "requests in a row on the other upstream");
    }

    /** Guards against an idempotent call that stops while the platform hangs. */
    @Test
    public void servesWhileThePlatformHangs() throws Exception {
      cluster.platform.setFaultMode("hang", Integer.MAX_VALUE);
      for (int i = 0; i < 5; i++) {
        HttpResponse<String> lookup =
            cluster.post(0, "/v1/routes/lot-lookup", "{\"lot\":" + i + "}", Cluster.KEY);
        assertEquals(lookup.statusCode(), 200, lookup.body());
        assertEquals(cluster.chat(0, body("label-large", 2, true)).statusCode(), 200);
      }
      HttpResponse<String> keyed =
          cluster.post(
              0, "/v1/routes/order-stamp", "{\"n\":1}", Cluster.KEY, "Idempotency-Key", "h1");
      assertEquals(keyed.statusCode(), 503, keyed.body());
      assertEquals(keyed.headers().firstValue("X-Outcome").orElse(""), "not-run");
      assertEquals(cluster.service.runCounts().get("{\"n\":1}"), null);
      cluster.platform.setFaultMode("none", 0);
    }

    /** Guards against a second run of a call that must not be repeated. */
    @Test
    public void doesNotRepeatANonIdempotentCall() throws Exception {
      cluster.service.dropNextAnswers(1);
      HttpResponse<String> response =
          cluster.post(0, "/v1/routes/order-stamp", "{\"crate\":1}", Cluster.KEY);
      assertEquals(response.statusCode(), 502, response.body());
      assertTrue(response.body().contains("\"outcome\":\"unknown\""), response.body());
      assertEquals(cluster.service.runCounts().get("{\"crate\":1}"), Integer.valueOf(1));
    }
  }

  /** Calls that must not be repeated. */
  public static final class IdempotencyKeys extends WithCluster {
    /** Starts 2 hosts for each test. */
    public IdempotencyKeys() {
      super(2, false);
    }

    private static final String CRATE = "{\"crate\":41}";

    private HttpResponse<String> stamp(int host, String key, String crate) throws Exception {
      return cluster.post(
          host, "/v1/routes/order-stamp", crate, Cluster.KEY, "Idempotency-Key", key);
    }

    /** Guards against a doubled stamp when the caller repeats it through another host. */
    @Test
    public void runsOnceForOneKey() throws Exception {
      HttpResponse<String> first = stamp(0, "stamp-41", CRATE);
      assertEquals(first.statusCode(), 200, first.body());
      HttpResponse<String> repeat = stamp(1, "stamp-41", CRATE);
      for (int i = 0; i < 500 && repeat.statusCode() == 409; i++) {
        Thread.sleep(10);
        repeat = stamp(1, "stamp-41", CRATE);
      }
      assertEquals(repeat.body(), first.body());
      assertEquals(cluster.service.runCounts().get(CRATE), Integer.valueOf(1));
    }

    /** Guards against a stored answer that is handed out for another body. */
    @Test
    public void refusesAnotherBodyUnderTheKey() throws Exception {
      stamp(0, "stamp-42", CRATE);
      HttpResponse<String> other = stamp(0, "stamp-42", "{\"crate\":42}");
      assertEquals(other.statusCode(), 422, other.body());
      assertEquals(cluster.service.runCounts().size(), 1);
    }

    /** Guards against a not-run answer of a call that runs later, when the store answers late. */
    @Test
    public void refusalWhileTheStoreIsDownIsTrue() throws Exception {
      cluster.platform.setFaultMode("down", Integer.MAX_VALUE);
      HttpResponse<String> refused = stamp(0, "stamp-43", CRATE);
      assertEquals(refused.statusCode(), 503, refused.body());
      assertEquals(refused.headers().firstValue("X-Outcome").orElse(""), "not-run");
      HttpResponse<String> idempotent =
          cluster.post(0, "/v1/routes/lot-lookup", "{\"lot\":7}", Cluster.KEY);
      assertEquals(idempotent.statusCode(), 200, idempotent.body());
      cluster.platform.setFaultMode("none", 0);
      assertEquals(cluster.service.runCounts().get(CRATE), null);
      HttpResponse<String> later = stamp(0, "stamp-43", CRATE);
      assertEquals(later.statusCode(), 200, later.body());
      assertEquals(cluster.service.runCounts().get(CRATE), Integer.valueOf(1));
    }

    /** Guards against a second run when the answer to the claim was lost after its write. */
    @Test
    public void lostAnswerOfTheClaimIsSettled() throws Exception {
      cluster.platform.setFaultMode("lose", 1);
      HttpResponse<String> response = stamp(0, "stamp-44", CRATE);
      if (response.statusCode() != 200) {
        assertEquals(response.headers().firstValue("X-Outcome").orElse(""), "not-run");
        assertEquals(cluster.service.runCounts().get(CRATE), null);
      }
      HttpResponse<String> repeat = stamp(1, "stamp-44", CRATE);
      for (int i = 0; i < 500 && repeat.statusCode() != 200; i++) {
        Thread.sleep(20);
        repeat = stamp(1, "stamp-44", CRATE);
      }
      assertEquals(repeat.statusCode(), 200, repeat.body());
      assertEquals(cluster.service.runCounts().get(CRATE), Integer.valueOf(1));
    }
  }

  /** Sessions and withdrawals. */
  public static final class Sessions extends WithCluster {
    /** Starts 2 hosts for each test. */
    public Sessions() {
      super(2, false);
    }

    private String inSession(String token) {
      return body("label-auto", 4, false)
          .replace("\"stream\"", "\"session\":\"" + token + "\",\"stream\"");
    }

    /** Guards against a session that moves to another version, host or through a second cascade. */
    @Test
    public void keepsItsVersionOnEveryHost() throws Exception {
      cluster.rating.setQuality(Cluster.SMALL, 0);
      HttpResponse<String> first = cluster.chat(0, body("label-auto", 4, false));
      String token = first.headers().firstValue("X-Session").orElseThrow();
      cluster.rating.setQuality(Cluster.SMALL, 1);
      HttpResponse<String> second = cluster.chat(1, inSession(token));
      assertEquals(second.statusCode(), 200, second.body());
      assertEquals(second.headers().firstValue("X-Model-Version").orElse(""), Cluster.LARGE);
      assertEquals(second.headers().firstValue("X-Attempts").orElse(""), "1");
    }

    /** Guards against new work on a withdrawn version and against a session that is moved. */
    @Test
    public void refusesASessionOfAWithdrawnVersion() throws Exception {
      cluster.rating.setQuality(Cluster.SMALL, 0);
      HttpResponse<String> first = cluster.chat(0, body("label-auto", 4, false));
      String token = first.headers().firstValue("X-Session").orElseThrow();
      cluster.publish(cluster.document("live", "withdrawn"));
      HttpResponse<String> refused = cluster.chat(1, inSession(token));
      for (int i = 0; i < 500 && refused.statusCode() == 200; i++) {
        Thread.sleep(20);
        refused = cluster.chat(1, inSession(token));
      }
      assertEquals(refused.statusCode(), 410, refused.body());
      assertTrue(refused.body().contains("session_version_withdrawn"), refused.body());
      assertFalse(refused.headers().firstValue("X-Outcome").isEmpty());
    }
  }
}
