package org.clementinequay.server.console;

import com.google.common.flogger.FluentLogger;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.time.RuntimeClock;
import org.clementinequay.server.operator.ConfigurationService;
import org.clementinequay.server.operator.HostView;
import org.clementinequay.server.operator.OperatorAuthenticator;
import org.clementinequay.server.operator.PasswordChecksBusyException;
import org.eclipse.jetty.http.HttpCookie;
import org.eclipse.jetty.server.FormFields;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * Serves the operator console as HTML forms without scripts. It is placed before the handler of the
 * operator API and passes all paths outside of the console on to it.
 */
public final class ConsoleHandler extends Handler.Abstract {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String ROOT = "/console";
  private static final String COOKIE = "clementinequay_console";
  private static final int MAX_FIELDS = 20;

  /** A document of 8 MB can triple in size through URL encoding. */
  private static final int MAX_FORM_BYTES = 24 << 20;

  private static final Duration DEFAULT_HANDOVER_PERIOD = Duration.ofHours(12);

  private final OperatorAuthenticator authenticator;
  private final ConfigurationService configurationService;
  private final HostView host;
  private final RuntimeClock clock;
  private final ConsoleSessions sessions;
  private final ConsoleActions actions;

  /** Creates the console with the components that the operator API also uses. */
  public ConsoleHandler(
      OperatorAuthenticator authenticator,
      ConfigurationService configurationService,
      HostView host,
      RuntimeClock clock) {
    this.authenticator = authenticator;
    this.configurationService = configurationService;
    this.host = host;
    this.clock = clock;
    this.sessions = new ConsoleSessions(clock);
    this.actions = new ConsoleActions(configurationService);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    String path = Request.getPathInContext(request);
    if (path.equals("/")) {
      ConsoleResponse.redirect(ROOT).send(response, callback);
      return true;
    }
    if (!path.equals(ROOT) && !path.startsWith(ROOT + "/")) {
      return false;
    }
    respond(request, path).send(response, callback);
    return true;
  }

  private ConsoleResponse respond(Request request, String path) {
    Optional<String> id = sessionId(request);
    Optional<ConsoleSession> session = id.flatMap(sessions::find);
    try {
      if (path.equals("/console/style.css")) {
        return ConsoleResponse.stylesheet(ConsolePages.STYLE);
      }
      boolean post = request.getMethod().equals("POST");
      if (path.equals("/console/sign-in") && post) {
        return signIn(request);
      }
      if (session.isEmpty()) {
        return ConsoleResponse.page(401, ConsolePages.signIn(""));
      }
      return post
          ? post(request, path, id.get(), session.get())
          : get(request, path, session.get());
    } catch (PasswordChecksBusyException e) {
      return ConsoleResponse.page(503, ConsolePages.signIn(e.getMessage()));
    } catch (PlatformException e) {
      logger.atWarning().log("console cannot reach the platform: %s", e.getMessage());
      return ConsoleResponse.page(
          503,
          ConsolePages.message(
              session.get(),
              "The platform cannot be reached",
              "Your draft is kept. Go back and try again."));
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("console request failed");
      return ConsoleResponse.page(
          500, new HtmlBuilder().element("p", "Internal error; see the log.").page("Error", ""));
    }
  }

  private ConsoleResponse signIn(Request request) throws PasswordChecksBusyException {
    Fields form = FormFields.getFields(request, MAX_FIELDS, MAX_FORM_BYTES);
    String name = form.getValue("name");
    String password = form.getValue("password");
    if (name == null || password == null || !authenticator.checkPassword(name, password)) {
      return ConsoleResponse.page(401, ConsolePages.signIn("Wrong name or password."));
    }
    String cookie =
        sessionCookie(request, sessions.create(name), ConsoleSessions.MAX_LIFETIME.toSeconds());
    logger.atInfo().log("operator %s signed in to the console", name);
    return ConsoleResponse.redirect(ROOT, cookie);
  }

  private ConsoleResponse post(Request request, String path, String id, ConsoleSession session)
      throws PlatformException {
    Fields form = FormFields.getFields(request, MAX_FIELDS, MAX_FORM_BYTES);
    if (!session.matchesCsrfToken(form.getValue("csrf"))) {
      return ConsoleResponse.page(
          403,
          ConsolePages.message(session, "Refused", "The form does not belong to this session."));
    }
    return switch (path) {
      case "/console/sign-out" -> {
        sessions.remove(id);
        yield ConsoleResponse.redirect(ROOT, sessionCookie(request, "", 0));
      }
      case "/console/check" -> actions.check(session, form);
      case "/console/submit" -> actions.submit(session, form);
      case "/console/rebase" -> actions.rebase(session, form);
      case "/console/versions" -> actions.proposeState(session, form);
      case "/console/discard" -> {
        session.discardDraft();
        yield ConsoleResponse.redirect(ROOT);
      }
      default -> notFound(session);
    };
  }

  private ConsoleResponse get(Request request, String path, ConsoleSession session)
      throws PlatformException {
    return switch (path) {
      case ROOT -> overview(session);
      case "/console/edit" -> actions.edit(session);
      case "/console/handover" -> handover(request, session);
      default -> notFound(session);
    };
  }

  private ConsoleResponse overview(ConsoleSession session) throws PlatformException {
    var head = configurationService.record(0);
    long revisionInForce = host.inForce().map(RevisionedConfiguration::revision).orElse(0L);
    var configuration =
        configurationService.configuration(head.map(record -> record.revision()).orElse(0L));
    return configuration.isEmpty()
        ? ConsoleResponse.page(
            503, ConsolePages.message(session, "Overview", "The latest document cannot be read."))
        : ConsoleResponse.page(
            ConsolePages.overview(session, head, revisionInForce, configuration.get()));
  }

  private ConsoleResponse handover(Request request, ConsoleSession session)
      throws PlatformException {
    String since = Request.extractQueryParameters(request).getValue("since");
    Instant from;
    try {
      from =
          since == null ? clock.now().minus(DEFAULT_HANDOVER_PERIOD) : Instant.parse(since.strip());
    } catch (DateTimeException e) {
      return ConsoleResponse.page(
          400,
          ConsolePages.message(
              session, "Handover", "A time looks like 2026-12-04T06:00:00Z; go back."));
    }
    return actions.handover(session, from);
  }

  private static ConsoleResponse notFound(ConsoleSession session) {
    return ConsoleResponse.page(
        404, ConsolePages.message(session, "Not found", "There is no such page."));
  }

  private static Optional<String> sessionId(Request request) {
    List<HttpCookie> cookies = Request.getCookies(request);
    return cookies.stream()
        .filter(cookie -> cookie.getName().equals(COOKIE))
        .map(HttpCookie::getValue)
        .findFirst();
  }

  private static String sessionCookie(Request request, String value, long maxAgeSeconds) {
    String secure = request.isSecure() ? "; Secure" : "";
    return COOKIE
        + "="
        + value
        + "; Path="
        + ROOT
        + "; Max-Age="
        + maxAgeSeconds
        + "; HttpOnly; SameSite=Strict"
        + secure;
  }
}
