package org.clementinequay.server.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.clementinequay.core.config.RevisionedConfiguration;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.spread.RevisionRecord;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Fields;

/**
 * Serves the operators' HTTP API, the health and readiness checks and the metrics. It answers every
 * path, so it must be the last handler of its listener. Calls to the platform block the listener's
 * threads, which serve operators only.
 */
public final class OperatorHandler extends Handler.Abstract {
  /** Maximum length of a request body in bytes. */
  public static final int MAX_BODY_BYTES = 8 << 20;

  private static final FluentLogger logger = FluentLogger.forEnclosingClass();
  private static final int OK = 200;
  private static final int UNAVAILABLE = 503;
  private static final int DEFAULT_HISTORY_LIMIT = 50;
  private static final int MAX_HISTORY_LIMIT = 1_000;
  private static final int MAX_SUBMISSION_ID_LENGTH = 128;
  private static final String API_PREFIX = "/api/";

  private final OperatorAuthenticator authenticator;
  private final ConfigurationService configurationService;
  private final HostView host;
  private final BillSource bills;
  private final Supplier<String> metrics;

  /**
   * Creates the handler.
   *
   * @param metrics returns the metrics in the Prometheus text format
   */
  public OperatorHandler(
      OperatorAuthenticator authenticator,
      ConfigurationService configurationService,
      HostView host,
      BillSource bills,
      Supplier<String> metrics) {
    this.authenticator = Objects.requireNonNull(authenticator);
    this.configurationService = Objects.requireNonNull(configurationService);
    this.host = Objects.requireNonNull(host);
    this.bills = Objects.requireNonNull(bills);
    this.metrics = Objects.requireNonNull(metrics);
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) {
    responseTo(request).send(response, callback);
    return true;
  }

  private OperatorResponse responseTo(Request request) {
    try {
      String path = Request.getPathInContext(request);
      return path.startsWith(API_PREFIX)
          ? apiResponse(request, path)
          : openPathResponse(request, path);
    } catch (OperatorFault e) {
      return OperatorResponse.error(e.kind(), e.getMessage());
    } catch (PasswordChecksBusyException e) {
      return OperatorResponse.error(OperatorFault.Kind.LOGINS_BUSY, e.getMessage());
    } catch (AnswerLostException e) {
      logger.atWarning().log("the platform's answer was lost: %s", e.getMessage());
      return OperatorResponse.error(
          OperatorFault.Kind.ANSWER_LOST,
          "the platform's answer was lost; repeat the request with the same submission id");
    } catch (PlatformException e) {
      logger.atWarning().log("the platform cannot be reached: %s", e.getMessage());
      return OperatorResponse.error(
          OperatorFault.Kind.PLATFORM_UNAVAILABLE, "the platform cannot be reached");
    } catch (IOException | RuntimeException e) {
      logger.atSevere().withCause(e).log("an operator's request failed");
      return OperatorResponse.error(OperatorFault.Kind.INTERNAL, "internal error; see the log");
    }
  }

  /** Serves the paths that need no authentication. */
  private OperatorResponse openPathResponse(Request request, String path) throws OperatorFault {
    switch (path) {
      case "/healthz", "/readyz", "/metrics" -> requireMethod(request, "GET");
      default -> throw new OperatorFault(OperatorFault.Kind.NOT_FOUND, "no such path");
    }
    if (path.equals("/metrics")) {
      return new OperatorResponse(OK, "text/plain; version=0.0.4; charset=utf-8", metrics.get());
    }
    if (path.equals("/healthz")) {
      return OperatorResponse.ok(OperatorJson.object().put("status", "ok"));
    }
    boolean ready = host.ready();
    return OperatorResponse.json(
        ready ? OK : UNAVAILABLE, OperatorJson.object().put("ready", ready));
  }

  private OperatorResponse apiResponse(Request request, String path)
      throws OperatorFault, PasswordChecksBusyException, PlatformException, IOException {
    Optional<String> operator =
        authenticator.authenticate(request.getHeaders().get(HttpHeader.AUTHORIZATION));
    if (operator.isEmpty()) {
      throw new OperatorFault(
          OperatorFault.Kind.UNAUTHENTICATED, "an operator's name and password are required");
    }
    if (path.equals("/api/configuration") && request.getMethod().equals("POST")) {
      return submit(request, operator.get());
    }
    requireMethod(request, "GET");
    Fields query = Request.extractQueryParameters(request);
    return switch (path) {
      case "/api/configuration" -> configuration(query);
      case "/api/history" -> history(query);
      case "/api/status" -> OperatorResponse.ok(host.status());
      case "/api/bill" -> bill(query);
      default -> throw new OperatorFault(OperatorFault.Kind.NOT_FOUND, "no such path");
    };
  }

  private OperatorResponse configuration(Fields query) throws OperatorFault, PlatformException {
    long wanted = longParameter(query, "revision", 0, Long.MAX_VALUE, 0);
    try {
      Optional<RevisionRecord> record = configurationService.record(wanted);
      Optional<String> text =
          record.isEmpty() ? Optional.empty() : configurationService.document(record.get());
      if (text.isPresent()) {
        return documentResponse(OperatorJson.revision(record.get()), text.get());
      }
    } catch (PlatformException e) {
      Optional<RevisionedConfiguration> active = activeIfWanted(wanted);
      if (active.isEmpty()) {
        throw e;
      }
      logger.atWarning().log(
          "platform unavailable, returning the configuration in force on this host: %s",
          e.getMessage());
      return documentResponse(
          OperatorJson.object()
              .put("revision", active.get().revision())
              .put("hash", active.get().hash()),
          active.get().text());
    }
    throw new OperatorFault(OperatorFault.Kind.NOT_FOUND, "no such revision");
  }

  /**
   * Returns the configuration in force on this host if it is the wanted revision; 0 accepts any
   * revision.
   */
  private Optional<RevisionedConfiguration> activeIfWanted(long wanted) {
    return host.inForce().filter(active -> wanted == 0 || active.revision() == wanted);
  }

  private OperatorResponse documentResponse(ObjectNode body, String text) {
    long inForce = host.inForce().map(RevisionedConfiguration::revision).orElse(0L);
    return OperatorResponse.ok(body.put("in_force_here", inForce).put("document", text));
  }

  private OperatorResponse history(Fields query) throws OperatorFault, PlatformException {
    int limit = (int) longParameter(query, "limit", 1, MAX_HISTORY_LIMIT, DEFAULT_HISTORY_LIMIT);
    List<RevisionRecord> records = configurationService.history(limit);
    ObjectNode body = OperatorJson.object();
    records.forEach(record -> body.withArray("revisions").add(OperatorJson.revision(record)));
    if (records.isEmpty()) {
      body.putArray("revisions");
    }
    return OperatorResponse.ok(body);
  }

  private OperatorResponse bill(Fields query) throws OperatorFault, PlatformException {
    String account = query.getValue("account");
    if (account == null || account.isEmpty()) {
      throw malformed("parameter account is missing");
    }
    Instant from = instantParameter(query, "from");
    Instant to = instantParameter(query, "to");
    if (!from.isBefore(to)) {
      throw malformed("parameter from must be before parameter to");
    }
    return OperatorResponse.ok(bills.bill(account, from, to));
  }

  private OperatorResponse submit(Request request, String operator)
      throws OperatorFault, PlatformException, IOException {
    // Requiring JSON also prevents form posts from other sites with a password saved by the
    // browser.
    String type = request.getHeaders().get(HttpHeader.CONTENT_TYPE);
    if (type == null || !type.startsWith("application/json")) {
      throw new OperatorFault(
          OperatorFault.Kind.UNSUPPORTED_MEDIA_TYPE, "content type must be application/json");
    }
    JsonNode body = body(request);
    JsonNode named = body.path("operator");
    if (named.isTextual() && !named.textValue().equals(operator)) {
      throw new OperatorFault(
          OperatorFault.Kind.OPERATOR_MISMATCH,
          "the body names operator "
              + named.textValue()
              + " but "
              + operator
              + " is authenticated");
    }
    JsonNode base = body.path("base_revision");
    String submissionId = body.path("submission_id").asText("");
    if (!base.canConvertToLong() || base.longValue() < 0 || !body.path("document").isTextual()) {
      throw malformed("base_revision (from 0) and document (text) are required");
    }
    if (submissionId.isBlank() || submissionId.length() > MAX_SUBMISSION_ID_LENGTH) {
      throw malformed(
          "submission_id of 1 to " + MAX_SUBMISSION_ID_LENGTH + " characters is required");
    }
    return submitResponse(
        configurationService.submit(
            new Submission(
                base.longValue(), submissionId, operator, body.path("document").textValue())));
  }

  private static OperatorResponse submitResponse(SubmitResult result) {
    if (result instanceof SubmitResult.Accepted accepted) {
      ObjectNode body = OperatorJson.revision(accepted.record());
      body.set("warnings", OperatorJson.findings(accepted.warnings()));
      return OperatorResponse.ok(body);
    }
    if (result instanceof SubmitResult.Conflict conflict) {
      ObjectNode details = OperatorJson.object();
      details.set("winner", OperatorJson.revision(conflict.winner()));
      details.set("changes", conflict.changes().map(OperatorJson::changes).orElse(null));
      return OperatorResponse.error(
          OperatorFault.Kind.LOST_RACE,
          "revision "
              + conflict.winner().revision()
              + " by operator "
              + conflict.winner().operator()
              + " is in force",
          details);
    }
    if (result instanceof SubmitResult.Invalid invalid) {
      ObjectNode details = OperatorJson.object();
      details.set("findings", OperatorJson.findings(invalid.findings()));
      return OperatorResponse.error(
          OperatorFault.Kind.INVALID_CONFIGURATION, "the document has errors", details);
    }
    return OperatorResponse.error(
        OperatorFault.Kind.MALFORMED_REQUEST, ((SubmitResult.UnknownBase) result).message());
  }

  private static JsonNode body(Request request) throws OperatorFault, IOException {
    byte[] content;
    try (InputStream in = Content.Source.asInputStream(request)) {
      content = in.readNBytes(MAX_BODY_BYTES + 1);
    }
    if (content.length > MAX_BODY_BYTES) {
      throw new OperatorFault(
          OperatorFault.Kind.BODY_TOO_LARGE,
          "the body is longer than " + MAX_BODY_BYTES + " bytes");
    }
    try {
      JsonNode body = OperatorJson.MAPPER.readTree(new String(content, StandardCharsets.UTF_8));
      if (body.isObject()) {
        return body;
      }
    } catch (JsonProcessingException e) {
      throw malformed("the body is not valid JSON: " + e.getOriginalMessage());
    }
    throw malformed("the body must be a JSON object");
  }

  private static void requireMethod(Request request, String method) throws OperatorFault {
    if (!request.getMethod().equals(method)) {
      throw new OperatorFault(
          OperatorFault.Kind.METHOD_NOT_ALLOWED, "this path allows only the method " + method);
    }
  }

  private static long longParameter(
      Fields query, String name, long min, long max, long defaultValue) throws OperatorFault {
    String text = query.getValue(name);
    if (text == null) {
      return defaultValue;
    }
    try {
      long value = Long.parseLong(text);
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      throw malformed("parameter " + name + " is not a whole number");
    }
    throw malformed("parameter " + name + " must be from " + min + " to " + max);
  }

  private static Instant instantParameter(Fields query, String name) throws OperatorFault {
    String text = query.getValue(name);
    if (text == null) {
      throw malformed("parameter " + name + " is missing");
    }
    try {
      return Instant.parse(text);
    } catch (DateTimeException e) {
      throw malformed("parameter " + name + " must be a time such as 2026-12-04T12:00:00Z");
    }
  }

  private static OperatorFault malformed(String message) {
    return new OperatorFault(OperatorFault.Kind.MALFORMED_REQUEST, message);
  }
}
