package org.clementinequay.server.settings;

import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.clementinequay.core.config.AddressFormat;
import org.clementinequay.core.config.Finding;
import org.clementinequay.core.config.Severity;
import org.clementinequay.core.session.SessionKey;
import org.clementinequay.server.document.BindingRules;
import org.clementinequay.server.document.LocatedValue;
import org.clementinequay.server.document.LocatedValueReader;
import org.clementinequay.server.document.RecordBinder;

/** Parses and validates settings, and reports all errors and warnings together. */
public final class SettingsParser {
  private static final double MAX_WEIGHT = 1_000;
  private static final int MAX_DRAIN_SECONDS = 3_600;
  private static final int MAX_TIMEOUT_MILLIS = 600_000;
  private static final int DEFAULT_DRAIN_SECONDS = 30;
  private static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";

  private static final BindingRules RULES =
      BindingRules.builder()
          .optional(Settings.class, "weight", 1.0)
          .optional(Settings.class, "operators", List.of())
          .optional(Settings.class, "drainSeconds", DEFAULT_DRAIN_SECONDS)
          .optional(Settings.class, "timeouts", Settings.Timeouts.DEFAULT)
          .optional(
              Settings.Timeouts.class, "platformMillis", Settings.Timeouts.DEFAULT.platformMillis())
          .optional(
              Settings.Timeouts.class, "progressMillis", Settings.Timeouts.DEFAULT.progressMillis())
          .optional(
              Settings.Timeouts.class,
              "callerIdleMillis",
              Settings.Timeouts.DEFAULT.callerIdleMillis())
          .build();

  private final Settings settings;
  private final List<Finding> validationFindings = new ArrayList<>();

  private SettingsParser(Settings settings) {
    this.settings = settings;
  }

  /** Parses and validates settings that are written as JSON with comments. */
  public static ParsedSettings parse(String text) {
    List<Finding> findings = new ArrayList<>();
    Optional<LocatedValue> root = LocatedValueReader.read(text, findings);
    if (root.isEmpty()) {
      return new ParsedSettings(Optional.empty(), findings);
    }
    Settings settings =
        new RecordBinder(RULES, Severity.ERROR, findings).bind(root.get(), Settings.class);
    SettingsParser validator = new SettingsParser(settings);
    validator.validate();
    for (Finding finding :
        RecordBinder.withoutRelated(validator.validationFindings, List.copyOf(findings))) {
      LocatedValue.Location location = root.get().findInnermost(finding.pointer()).location();
      findings.add(finding.withLocation(location.line(), location.column()));
    }
    findings.sort(Finding.BY_LOCATION);
    return new ParsedSettings(
        Finding.hasErrors(findings) ? Optional.empty() : Optional.of(settings), findings);
  }

  private void validate() {
    checkName("/name", settings.name());
    checkName("/domain", settings.domain());
    checkName("/region", settings.region());
    if (!(settings.weight() > 0 && settings.weight() <= MAX_WEIGHT)) {
      error("/weight", "must be above 0 and at most " + (int) MAX_WEIGHT);
    }
    checkListeners();
    checkPlatform();
    checkSessionKeys();
    checkOperators();
    settings.tls().ifPresent(this::checkTls);
    checkRange("/drainSeconds", settings.drainSeconds(), 0, MAX_DRAIN_SECONDS);
    Settings.Timeouts timeouts = settings.timeouts();
    checkRange("/timeouts/platformMillis", timeouts.platformMillis(), 1, MAX_TIMEOUT_MILLIS);
    checkRange("/timeouts/progressMillis", timeouts.progressMillis(), 1, MAX_TIMEOUT_MILLIS);
    checkRange("/timeouts/callerIdleMillis", timeouts.callerIdleMillis(), 1, MAX_TIMEOUT_MILLIS);
  }

  private void checkListeners() {
    Settings.Listeners listeners = settings.listeners();
    checkAddress("/listeners/callers", listeners.callers(), 0);
    checkAddress("/listeners/operators", listeners.operators(), 0);
    checkAddress("/listeners/peers", listeners.peers(), 0);
    Set<String> seen = new HashSet<>();
    seen.add(listeners.callers());
    checkDistinct("/listeners/operators", listeners.operators(), seen);
    checkDistinct("/listeners/peers", listeners.peers(), seen);
  }

  private void checkDistinct(String pointer, String address, Set<String> seen) {
    boolean anyPort = address.endsWith(":0");
    if (!anyPort && !seen.add(address)) {
      error(pointer, "is also the address of another listener");
    }
  }

  private void checkPlatform() {
    Settings.Platform platform = settings.platform();
    checkAddress("/platform/tableService", platform.tableService(), 1);
    checkAddress("/platform/objectStore", platform.objectStore(), 1);
    checkAddress("/platform/hostDirectory", platform.hostDirectory(), 1);
    checkAddress("/platform/ratingService", platform.ratingService(), 1);
  }

  private void checkSessionKeys() {
    if (settings.sessionKeys().isEmpty()) {
      error("/sessionKeys", "must contain at least one key");
    }
    Set<String> ids = new HashSet<>();
    for (int i = 0; i < settings.sessionKeys().size(); i++) {
      Settings.SessionSecret key = settings.sessionKeys().get(i);
      String pointer = "/sessionKeys/" + i;
      checkName(pointer + "/id", key.id());
      if (!ids.add(key.id())) {
        error(pointer + "/id", "key \"" + key.id() + "\" is defined more than once");
      }
      checkSecret(pointer + "/secret", key.secret());
    }
  }

  private void checkSecret(String pointer, String secret) {
    try {
      if (Base64.getDecoder().decode(secret).length < SessionKey.MIN_SECRET_BYTES) {
        error(pointer, "must be at least " + SessionKey.MIN_SECRET_BYTES + " bytes long");
      }
    } catch (IllegalArgumentException e) {
      error(pointer, "is not Base64");
    }
  }

  private void checkOperators() {
    if (settings.operators().isEmpty()) {
      validationFindings.add(
          Finding.warning(
              "/operators", "no operator is defined, so nobody can use the operators' interface"));
    }
    Set<String> names = new HashSet<>();
    for (int i = 0; i < settings.operators().size(); i++) {
      Settings.OperatorLogin operator = settings.operators().get(i);
      String pointer = "/operators/" + i;
      checkName(pointer + "/name", operator.name());
      if (!names.add(operator.name())) {
        error(pointer + "/name", "operator \"" + operator.name() + "\" is defined more than once");
      }
      if (PasswordHash.parse(operator.passwordHash()).isEmpty()) {
        error(
            pointer + "/passwordHash",
            "is not of the form pbkdf2-sha256$<iterations>$<salt>$<hash>;"
                + " \"clementinequay password\" prints one");
      }
    }
  }

  private void checkTls(Settings.Tls tls) {
    if (tls.keyStore().isBlank()) {
      error("/tls/keyStore", "must not be empty");
    }
    if (tls.passwordFile().isBlank()) {
      error("/tls/passwordFile", "must not be empty");
    }
  }

  private void checkName(String pointer, String name) {
    if (!name.matches(NAME_PATTERN)) {
      error(pointer, "must be 1 to 64 letters, digits, '.', '_' or '-'");
    }
  }

  private void checkAddress(String pointer, String address, int minPort) {
    if (!AddressFormat.isIpAndPort(address, minPort)) {
      error(pointer, "\"" + address + "\" is not an IP address and port such as 10.1.0.7:8000");
    }
  }

  private void checkRange(String pointer, long value, long min, long max) {
    if (value < min || value > max) {
      error(pointer, "must be from " + min + " to " + max);
    }
  }

  private void error(String pointer, String message) {
    validationFindings.add(Finding.error(pointer, message));
  }
}
