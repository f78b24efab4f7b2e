package org.clementinequay.server.console;

import static org.clementinequay.server.operator.OperatorServer.DOCUMENT;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.server.operator.OperatorServer;
import org.clementinequay.server.operator.Submission;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the console over HTTP. */
public final class ConsoleHandlerTest {
  private static final Pattern HIDDEN = Pattern.compile("name=\"(csrf|draft)\" value=\"([^\"]*)\"");

  /** HTTP client that keeps the cookie and the hidden form fields of the last page. */
  private static final class Browser {
    private final HttpClient client = HttpClient.newHttpClient();
    private final OperatorServer server;
    private String cookie = "";
    private String csrf = "";
    private String draft = "";
    private int status;
    private String page = "";

    Browser(OperatorServer server) {
      this.server = server;
    }

    static Browser signedIn(OperatorServer server, String name) throws Exception {
      Browser browser = new Browser(server);
      browser.post("/console/sign-in", "name", name, "password", OperatorServer.PASSWORD);
      assertEquals(browser.status, 303);
      browser.open("/console");
      return browser;
    }

    void open(String path) throws Exception {
      send(HttpRequest.newBuilder(), path);
    }

    void post(String path, String... fields) throws Exception {
      StringBuilder form = new StringBuilder("csrf=" + csrf + "&draft=" + draft);
      for (int i = 0; i < fields.length; i += 2) {
        String value = URLEncoder.encode(fields[i + 1], StandardCharsets.UTF_8);
        form.append('&').append(fields[i]).append('=').append(value);
      }
      send(
          HttpRequest.newBuilder()
              .header("Content-Type", "application/x-www-form-urlencoded")
              .POST(HttpRequest.BodyPublishers.ofString(form.toString())),
          path);
    }

    private void send(HttpRequest.Builder request, String path) throws Exception {
      request.uri(URI.create("http://" + server.address() + path)).header("Cookie", cookie);
      HttpResponse<String> response =
          client.send(request.build(), HttpResponse.BodyHandlers.ofString());
      status = response.statusCode();
      page = response.body();
      response
          .headers()
          .firstValue("Set-Cookie")
          .ifPresent(value -> cookie = value.split(";", 2)[0]);
      assertTrue(response.headers().firstValue("Content-Security-Policy").isPresent());
      Matcher hidden = HIDDEN.matcher(page);
      while (hidden.find()) {
        csrf = hidden.group(1).equals("csrf") ? hidden.group(2) : csrf;
        draft = hidden.group(1).equals("draft") ? hidden.group(2) : draft;
      }
    }

    void check(long base, String document) throws Exception {
      post("/console/check", "base", "" + base, "document", document);
      assertEquals(status, 200, page);
    }
  }

  /** A server with one accepted revision. */
  abstract static class Fixture {
    OperatorServer server;

    /** Starts the server. */
    @BeforeMethod
    public void start() throws Exception {
      server = new OperatorServer();
      server.configurationService().submit(new Submission(0, "first", "asha", DOCUMENT));
    }

    /** Stops the server. */
    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
      server.close();
    }

    String latestDocument() throws Exception {
      return server
          .configurationService()
          .document(server.configurationService().record(0).orElseThrow())
          .orElseThrow();
    }
  }

  /** Sessions and forms. */
  public static final class Sessions extends Fixture {
    /** Guards against pages that can be read without signing in, and sessions that never expire. */
    @Test
    public void pagesNeedASession() throws Exception {
      Browser browser = new Browser(server);
      browser.open("/console");
      assertEquals(browser.status, 401);
      browser.post("/console/sign-in", "name", "asha", "password", "wrong");
      assertEquals(browser.status, 401);
      Browser asha = Browser.signedIn(server, "asha");
      assertEquals(asha.status, 200);
      server.clock().advance(ConsoleSessions.IDLE_TIMEOUT);
      asha.open("/console");
      assertEquals(asha.status, 401);
      Browser busy = Browser.signedIn(server, "asha");
      for (long minutes = 0; minutes < ConsoleSessions.MAX_LIFETIME.toMinutes(); minutes += 20) {
        busy.open("/console");
        assertEquals(busy.status, 200);
        server.clock().advance(Duration.ofMinutes(20));
      }
      busy.open("/console");
      assertEquals(busy.status, 401);
    }

    /** Guards against cross-site request forgery, and a session that stays valid after sign-out. */
    @Test
    public void formsNeedTheTokenOfTheSession() throws Exception {
      Browser asha = Browser.signedIn(server, "asha");
      String token = asha.csrf;
      asha.csrf = Browser.signedIn(server, "ben").csrf;
      asha.post("/console/check", "base", "1", "document", "{}");
      assertEquals(asha.status, 403);
      asha.csrf = token;
      String session = asha.cookie;
      asha.post("/console/sign-out");
      asha.cookie = session;
      asha.open("/console");
      assertEquals(asha.status, 401);
    }
  }

  /** Edits of the document. */
  public static final class Edits extends Fixture {
    /** Guards against submitting a text whose findings and difference were not shown. */
    @Test
    public void editIsCheckedBeforeItIsSubmitted() throws Exception {
      Browser asha = Browser.signedIn(server, "asha");
      asha.open("/console/edit");
      assertTrue(asha.page.contains("Sprig Labelworks"));
      assertFalse(asha.page.contains("/console/submit"));
      asha.check(1, DOCUMENT.replace("\"live\"", "\"alive\""));
      assertTrue(asha.page.contains("line:5:29: error: must be one of"), asha.page);
      assertFalse(asha.page.contains("/console/submit"));
      asha.check(1, DOCUMENT.replace("\"slots\": 4", "\"slots\": 8").replace("\n", "\r\n"));
      assertTrue(asha.page.contains("~ /upstreams/e1/slots: 4 -&gt; 8"), asha.page);
      asha.post("/console/submit");
      assertEquals(asha.status, 303);
      assertEquals(latestDocument(), DOCUMENT.replace("\"slots\": 4", "\"slots\": 8"));
    }

    /** Guards against document text that is inserted into the page as markup. */
    @Test
    public void textIsEscaped() throws Exception {
      Browser asha = Browser.signedIn(server, "asha");
      asha.check(1, "{\"</textarea><script>\": 1}");
      assertFalse(asha.page.contains("<script>"), asha.page);
    }

    /** Guards against a conflict that discards the draft or hides who changed what. */
    @Test
    public void conflictKeepsDraftAndShowsAcceptedRevision() throws Exception {
      Browser ben = Browser.signedIn(server, "ben");
      ben.check(1, DOCUMENT.replace("\"slots\": 4", "\"slots\": 8"));
      String other = DOCUMENT.replace("10.0.0.1:80", "10.0.0.9:80");
      server.configurationService().submit(new Submission(1, "second", "asha", other));
      ben.post("/console/submit");
      assertEquals(ben.status, 409);
      assertTrue(ben.page.contains("asha submitted revision 2"), ben.page);
      assertTrue(ben.page.contains("/upstreams/e1/address"), ben.page);
      assertEquals(latestDocument(), other);
      ben.post("/console/rebase", "base", "2");
      assertTrue(ben.page.contains("~ /upstreams/e1/slots: 4 -&gt; 8"), ben.page);
      assertTrue(ben.page.contains("10.0.0.9:80 -&gt; 10.0.0.1:80"), ben.page);
    }

    /** Guards against a draft of a second tab that is submitted by the form of the first one. */
    @Test
    public void replacedDraftIsNotSubmitted() throws Exception {
      Browser asha = Browser.signedIn(server, "asha");
      asha.check(1, DOCUMENT.replace("\"slots\": 4", "\"slots\": 8"));
      String first = asha.draft;
      asha.check(1, DOCUMENT.replace("\"slots\": 4", "\"slots\": 9"));
      asha.draft = first;
      asha.post("/console/submit");
      assertEquals(latestDocument(), DOCUMENT);
    }

    /** Guards against a draft that is lost through an outage of the platform. */
    @Test
    public void outageKeepsTheDraft() throws Exception {
      Browser asha = Browser.signedIn(server, "asha");
      asha.check(1, DOCUMENT.replace("\"slots\": 4", "\"slots\": 8"));
      server.fail(new PlatformUnavailableException("down"), "");
      asha.post("/console/submit");
      assertEquals(asha.status, 503);
      server.fail(null, "");
      asha.post("/console/submit");
      assertEquals(asha.status, 303);
      assertTrue(latestDocument().contains("\"slots\": 8"));
    }
  }

  /** State changes and the handover. */
  public static final class Operations extends Fixture {
    /** Guards against a state change without a confirmation page that shows its impact. */
    @Test
    public void stateChangeShowsImpactAndNeedsConfirmation() throws Exception {
      Browser asha = Browser.signedIn(server, "asha");
      asha.post("/console/versions", "version", "small@v1", "state", "withdrawn", "share", "0");
      assertTrue(asha.page.contains("Sessions bound to small@v1 are refused"), asha.page);
      assertTrue(asha.page.contains("Upstreams that serve it: e1."), asha.page);
      assertTrue(asha.page.contains("the only live version"), asha.page);
      assertEquals(latestDocument(), DOCUMENT);
      asha.post("/console/submit");
      assertEquals(asha.status, 303);
      assertEquals(latestDocument(), DOCUMENT.replace("\"live\"", "\"withdrawn\""));
      asha.post("/console/versions", "version", "small@v9", "state", "live", "share", "0");
      assertEquals(asha.status, 400);
    }

    /** Guards against a state change that makes the document invalid. */
    @Test
    public void invalidStateChangeIsRefused() throws Exception {
      Browser asha = Browser.signedIn(server, "asha");
      asha.post("/console/versions", "version", "small@v1", "state", "rolling-out", "share", "0.5");
      assertEquals(asha.status, 422);
      assertTrue(asha.page.contains("no live one"), asha.page);
      assertEquals(latestDocument(), DOCUMENT);
    }

    /** Guards against a handover page that omits a change, its author or its time (R14). */
    @Test
    public void handoverShowsWhoChangedWhat() throws Exception {
      server.clock().advance(Duration.ofHours(1));
      String changed = DOCUMENT.replace("\"slots\": 4", "\"slots\": 8");
      server.configurationService().submit(new Submission(1, "second", "ben", changed));
      Browser asha = Browser.signedIn(server, "asha");
      asha.open("/console/handover?since=2026-12-04T12:30:00Z");
      assertTrue(asha.page.contains("Revision 2 by ben at 2026-12-04T12:59:00Z"), asha.page);
      assertTrue(asha.page.contains("~ /upstreams/e1/slots: 4 -&gt; 8"), asha.page);
      assertFalse(asha.page.contains("Revision 1 by"), asha.page);
      asha.open("/console/handover");
      assertTrue(asha.page.contains("Revision 1 by asha"), asha.page);
      asha.open("/console/handover?since=noon");
      assertEquals(asha.status, 400);
    }
  }
}
