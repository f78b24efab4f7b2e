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
 * The operators' console: HTML forms without scripts. Comes before the handler of the API and
 * leaves all other paths to it.
 */
public final class ConsoleHandler extends Handler.Abstract {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final String ROOT = "/console";
  private static final String COOKIE = "clementinequay_console";
  private static final int MAX_FIELDS = 20;

  /** A document of 8 MB may grow threefold in the encoding of forms. */
  private static final int MAX_FORM_BYTES = 24 << 20;

  private static final Duration DEFAULT_HANDOVER = Duration.ofHours(12);

  private final OperatorAuthenticator logins;
  private final ConfigurationService desk;
  private final HostView host;
  private final RuntimeClock clock;
  private final ConsoleSessions sessions;
  private final ConsoleActions actions;

  /** Creates the console over the same parts as the API. */
  public ConsoleHandler(
      OperatorAuthenticator logins, ConfigurationService desk, HostView host, RuntimeClock clock) {
    this.logins = logins;
    this.desk = desk;
    this.host = host;
    this.clock = clock;
    this.sessions = new ConsoleSessions(clock);
    this.actions = new ConsoleActions(desk);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    String path = Request.getPathInContext(request);
    if (path.equals("/")) {
      ConsoleReply.redirect(ROOT).send(response, callback);
      return true;
    }
    if (!path.equals(ROOT) && !path.startsWith(ROOT + "/")) {
      return false;
    }
    reply(request, path).send(response, callback);
    return true;
  }

  private ConsoleReply reply(Request request, String path) {
    Optional<String> id = sessionId(request);
    Optional<ConsoleSession> session = id.flatMap(sessions::find);
    try {
      if (path.equals("/console/style.css")) {
        return ConsoleReply.style(ConsolePages.STYLE);
      }
      boolean post = request.getMethod().equals("POST");
      if (path.equals("/console/sign-in") && post) {
        return signIn(request);
      }
      if (session.isEmpty()) {
        return ConsoleReply.page(401, ConsolePages.signIn(""));
      }
      return post
          ? post(request, path, id.get(), session.get())
          : page(request, path, session.get());
    } catch (PasswordChecksBusyException e) {
      return ConsoleReply.page(503, ConsolePages.signIn(e.getMessage()));
    } catch (PlatformException e) {
      logger.atWarning().log("the console cannot reach the platform: %s", e.getMessage());
      return ConsoleReply.page(
          503,
          ConsolePages.message(
              session.get(),
              "The platform cannot be reached",
              "Nothing is lost: your draft is kept. Go back and repeat the step."));
    } catch (RuntimeException e) {
      logger.atSevere().withCause(e).log("a request of the console failed");
      return ConsoleReply.page(500, new Html().element("p", "See the log.").page("Error", ""));
    }
  }

  private ConsoleReply signIn(Request request) throws PasswordChecksBusyException {
    Fields form = FormFields.getFields(request, MAX_FIELDS, MAX_FORM_BYTES);
    String name = form.getValue("name");
    String password = form.getValue("password");
    if (name == null || password == null || !logins.checkPassword(name, password)) {
      return ConsoleReply.page(401, ConsolePages.signIn("Name or password is wrong."));
    }
    String cookie = cookie(request, sessions.start(name), ConsoleSessions.LIFE.toSeconds());
    logger.atInfo().log("operator %s signed in to the console", name);
    return ConsoleReply.redirect(ROOT, cookie);
  }

  private ConsoleReply post(Request request, String path, String id, ConsoleSession session)
      throws PlatformException {
    Fields form = FormFields.getFields(request, MAX_FIELDS, MAX_FORM_BYTES);
    if (!session.hasToken(form.getValue("csrf"))) {
      return ConsoleReply.page(
          403, ConsolePages.message(session, "Refused", "The form is not of this session."));
    }
    return switch (path) {
      case "/console/sign-out" -> {
        sessions.end(id);
        yield ConsoleReply.redirect(ROOT, cookie(request, "", 0));
      }
      case "/console/check" -> actions.check(session, form);
      case "/console/submit" -> actions.submit(session, form);
      case "/console/rebase" -> actions.rebase(session, form);
      case "/console/versions" -> actions.proposeState(session, form);
      case "/console/discard" -> {
        session.dropDraft();
        yield ConsoleReply.redirect(ROOT);
      }
      default -> notFound(session);
    };
  }

  private ConsoleReply page(Request request, String path, ConsoleSession session)
      throws PlatformException {
    return switch (path) {
      case ROOT -> overview(session);
      case "/console/edit" -> actions.edit(session);
      case "/console/handover" -> handover(request, session);
      default -> notFound(session);
    };
  }

  private ConsoleReply overview(ConsoleSession session) throws PlatformException {
    var head = desk.record(0);
    long here = host.inForce().map(RevisionedConfiguration::revision).orElse(0L);
    var configuration = desk.configuration(head.map(record -> record.revision()).orElse(0L));
    return configuration.isEmpty()
        ? ConsoleReply.page(
            503, ConsolePages.message(session, "Overview", "The latest document cannot be read."))
        : ConsoleReply.page(ConsolePages.overview(session, head, here, configuration.get()));
  }

  private ConsoleReply handover(Request request, ConsoleSession session) throws PlatformException {
    String since = Request.extractQueryParameters(request).getValue("since");
    Instant from;
    try {
      from = since == null ? clock.now().minus(DEFAULT_HANDOVER) : Instant.parse(since.strip());
    } catch (DateTimeException e) {
      return ConsoleReply.page(
          400,
          ConsolePages.message(
              session, "Handover", "A time looks like 2026-12-04T06:00:00Z; go back."));
    }
    return actions.handover(session, from);
  }

  private static ConsoleReply notFound(ConsoleSession session) {
    return ConsoleReply.page(
        404, ConsolePages.message(session, "Not found", "There is no such page."));
  }

  private static Optional<String> sessionId(Request request) {
    List<HttpCookie> cookies = Request.getCookies(request);
    return cookies.stream()
        .filter(cookie -> cookie.getName().equals(COOKIE))
        .map(HttpCookie::getValue)
        .findFirst();
  }

  private static String cookie(Request request, String value, long seconds) {
    String secure = request.isSecure() ? "; Secure" : "";
    return COOKIE
        + "="
        + value
        + "; Path="
        + ROOT
        + "; Max-Age="
        + seconds
        + "; HttpOnly; SameSite=Strict"
        + secure;
  }
}
