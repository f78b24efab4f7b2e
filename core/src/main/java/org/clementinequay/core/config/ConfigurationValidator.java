package org.clementinequay.core.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.clementinequay.core.ModelVersion;

/** Validates a configuration and reports all errors and warnings, not only the first. */
public final class ConfigurationValidator {
  /** Maximum deadline or timeout, in milliseconds: one hour. */
  private static final long MAX_TIMEOUT_MILLIS = 3_600_000;

  /**
   * Maximum price of a token or call, in millionths of the billing unit. The limit keeps the cost
   * of a request within 64 bits.
   */
  private static final long MAX_PRICE_MICROS = 1_000_000_000_000L;

  private static final int MAX_PRIORITY = 99;
  private static final int MAX_SLOTS = 100_000;
  private static final double MAX_RATE = 1_000_000;
  private static final int MAX_BURST = 1_000_000;
  private static final int MAX_CONCURRENT = 1_000_000;
  private static final double MAX_WEIGHT = 1_000_000;

  /**
   * Rounding tolerance for sums of shares, which are decimal fractions without an exact binary
   * form.
   */
  private static final double SHARE_TOLERANCE = 1e-9;

  private static final Pattern SHA256_HEX = Pattern.compile("[0-9a-f]{64}");

  private final RouterConfiguration configuration;
  private final AccessPolicy policy;
  private final FindingList findings = new FindingList();
  private final Map<String, Model> models = new HashMap<>();
  private final Set<String> versions = new LinkedHashSet<>();
  private final Set<String> routes;

  private ConfigurationValidator(RouterConfiguration configuration) {
    this.configuration = configuration;
    this.policy = new AccessPolicy(configuration);
    for (Model model : configuration.models()) {
      models.put(model.name(), model);
      for (VersionSpec version : model.versions()) {
        versions.add(new ModelVersion(model.name(), version.name()).toString());
      }
    }
    routes = configuration.routes().stream().map(Route::name).collect(Collectors.toSet());
  }

  /** Returns all findings, or an empty list for a configuration without errors and warnings. */
  public static List<Finding> validate(RouterConfiguration configuration) {
    ConfigurationValidator validator = new ConfigurationValidator(configuration);
    validator.checkNames();
    validator.checkDomains();
    validator.checkClasses();
    validator.checkModels();
    validator.checkCascades();
    validator.checkRoutes();
    validator.checkUpstreams();
    validator.checkAllTargetsServed();
    validator.checkAccounts();
    validator.checkWeights();
    return validator.findings.toList();
  }

  private void checkNames() {
    findings.checkNames("/domains", "domain", configuration.domains(), Domain::name);
    findings.checkNames("/classes", "class", configuration.classes(), RequestClass::name);
    findings.checkNames("/models", "model", configuration.models(), Model::name);
    findings.checkNames("/cascades", "cascade", configuration.cascades(), Cascade::name);
    findings.checkNames("/routes", "route", configuration.routes(), Route::name);
    findings.checkNames("/upstreams", "upstream", configuration.upstreams(), Upstream::name);
    findings.checkNames("/accounts", "account", configuration.accounts(), ClientAccount::name);
  }

  private void checkDomains() {
    for (int i = 0; i < configuration.domains().size(); i++) {
      String region = configuration.domains().get(i).region();
      if (region == null || region.isBlank()) {
        findings.error("/domains/" + i + "/region", "must not be empty");
      }
    }
  }

  private void checkClasses() {
    for (int i = 0; i < configuration.classes().size(); i++) {
      String pointer = "/classes/" + i;
      RequestClass requestClass = configuration.classes().get(i);
      findings.checkRange(pointer + "/priority", requestClass.priority(), 0, MAX_PRIORITY);
      findings.checkRange(
          pointer + "/deadlineMillis", requestClass.deadlineMillis(), 1, MAX_TIMEOUT_MILLIS);
      findings.checkRange(pointer + "/qualityTarget", requestClass.qualityTarget(), 0, 1);
    }
  }

  private void checkModels() {
    for (int i = 0; i < configuration.models().size(); i++) {
      Model model = configuration.models().get(i);
      String pointer = "/models/" + i + "/versions";
      findings.checkNames(pointer, "version", model.versions(), VersionSpec::name);
      for (int j = 0; j < model.versions().size(); j++) {
        checkVersion(pointer + "/" + j, model.versions().get(j));
      }
      checkShares(pointer, model);
    }
  }

  private void checkVersion(String pointer, VersionSpec version) {
    findings.checkRange(pointer + "/share", version.share(), 0, 1);
    if (version.state() != VersionState.ROLLING_OUT && version.share() != 0) {
      findings.error(
          pointer + "/share",
          "must be 0 for a version that is "
              + version.state().label()
              + "; only a version that is rolling-out has a share of its own");
    }
    findings.checkRange(
        pointer + "/promptMicrosPerToken", version.promptMicrosPerToken(), 0, MAX_PRICE_MICROS);
    findings.checkRange(
        pointer + "/completionMicrosPerToken",
        version.completionMicrosPerToken(),
        0,
        MAX_PRICE_MICROS);
  }

  private void checkShares(String pointer, Model model) {
    List<VersionSpec> rollingOut =
        model.versions().stream().filter(v -> v.state() == VersionState.ROLLING_OUT).toList();
    double sum = rollingOut.stream().mapToDouble(VersionSpec::share).sum();
    if (sum > 1 + SHARE_TOLERANCE) {
      findings.error(pointer, "the shares of the versions that are rolling-out exceed 1: " + sum);
    }
    if (hasLiveVersion(model)) {
      return;
    }
    if (rollingOut.isEmpty()) {
      findings.warning(
          pointer, "model \"" + model.name() + "\" has no live version and takes no new work");
    } else {
      findings.error(
          pointer,
          "model \""
              + model.name()
              + "\" has a version that is rolling-out but no live one to"
              + " fall back on");
    }
  }

  private void checkCascades() {
    for (int i = 0; i < configuration.cascades().size(); i++) {
      Cascade cascade = configuration.cascades().get(i);
      String pointer = "/cascades/" + i;
      if (models.containsKey(cascade.name())) {
        findings.error(
            pointer + "/name",
            "\"" + cascade.name() + "\" is also a model; callers could not name it");
      }
      findings.checkReferences(pointer + "/models", "model", cascade.models(), models.keySet());
      findings.checkDistinct(pointer + "/models", cascade.models());
      findings.checkRange(pointer + "/acceptScore", cascade.acceptScore(), 0, 1);
      checkCascadeHasLiveVersion(pointer, cascade);
    }
  }

  private void checkCascadeHasLiveVersion(String pointer, Cascade cascade) {
    if (cascade.models().stream().noneMatch(this::hasLiveVersion)) {
      findings.error(
          pointer + "/models",
          "cascade \"" + cascade.name() + "\" has no model with a live version");
      return;
    }
    for (int j = 0; j < cascade.models().size(); j++) {
      String model = cascade.models().get(j);
      if (models.containsKey(model) && !hasLiveVersion(model)) {
        findings.warning(
            pointer + "/models/" + j, "model \"" + model + "\" has no live version; it is skipped");
      }
    }
  }

  private void checkRoutes() {
    for (int i = 0; i < configuration.routes().size(); i++) {
      Route route = configuration.routes().get(i);
      String pointer = "/routes/" + i;
      findings.checkRange(pointer + "/timeoutMillis", route.timeoutMillis(), 1, MAX_TIMEOUT_MILLIS);
      findings.checkRange(pointer + "/costMicros", route.costMicros(), 0, MAX_PRICE_MICROS);
    }
  }

  private void checkUpstreams() {
    Set<String> domains =
        configuration.domains().stream().map(Domain::name).collect(Collectors.toSet());
    Map<String, String> upstreamsByAddress = new HashMap<>();
    for (int i = 0; i < configuration.upstreams().size(); i++) {
      Upstream upstream = configuration.upstreams().get(i);
      String pointer = "/upstreams/" + i;
      if (!AddressFormat.isIpAndPort(upstream.address(), 1)) {
        findings.error(
            pointer + "/address",
            "\"" + upstream.address() + "\" is not an IP address and port such as 10.1.0.7:8000");
      }
      String previousUpstream = upstreamsByAddress.putIfAbsent(upstream.address(), upstream.name());
      if (previousUpstream != null) {
        findings.error(
            pointer + "/address", "is the address of upstream \"" + previousUpstream + "\" too");
      }
      if (!domains.contains(upstream.domain())) {
        findings.error(pointer + "/domain", "domain \"" + upstream.domain() + "\" is not defined");
      }
      if (upstream.kind() == UpstreamKind.ENGINE) {
        findings.checkReferences(pointer + "/serves", "version", upstream.serves(), versions);
      } else {
        findings.checkReferences(pointer + "/serves", "route", upstream.serves(), routes);
      }
      findings.checkDistinct(pointer + "/serves", upstream.serves());
      findings.checkRange(pointer + "/slots", upstream.slots(), 1, MAX_SLOTS);
    }
  }

  private void checkAllTargetsServed() {
    Set<String> served = new HashSet<>();
    configuration.upstreams().forEach(upstream -> served.addAll(upstream.serves()));
    for (int i = 0; i < configuration.models().size(); i++) {
      Model model = configuration.models().get(i);
      for (int j = 0; j < model.versions().size(); j++) {
        VersionSpec version = model.versions().get(j);
        String name = new ModelVersion(model.name(), version.name()).toString();
        if (version.state().acceptsBoundSessions() && !served.contains(name)) {
          findings.warning("/models/" + i + "/versions/" + j, "no upstream serves " + name);
        }
      }
    }
    for (int i = 0; i < configuration.routes().size(); i++) {
      String route = configuration.routes().get(i).name();
      if (!served.contains(route)) {
        findings.warning("/routes/" + i, "no upstream serves route \"" + route + "\"");
      }
    }
  }

  private void checkAccounts() {
    Map<String, String> accountsByDigest = new HashMap<>();
    Set<String> cascades =
        configuration.cascades().stream().map(Cascade::name).collect(Collectors.toSet());
    for (int i = 0; i < configuration.accounts().size(); i++) {
      ClientAccount account = configuration.accounts().get(i);
      String pointer = "/accounts/" + i;
      checkDigests(pointer + "/apiKeySha256", account, accountsByDigest);
      checkAccountModels(pointer + "/models", account);
      findings.checkReferences(pointer + "/cascades", "cascade", account.cascades(), cascades);
      findings.checkReferences(pointer + "/routes", "route", account.routes(), routes);
      findings.checkDistinct(pointer + "/cascades", account.cascades());
      findings.checkDistinct(pointer + "/routes", account.routes());
      checkAccountCascades(pointer + "/cascades", account);
      AccountLimits limits = account.limits();
      findings.checkRange(
          pointer + "/limits/requestsPerSecond", limits.requestsPerSecond(), 0.001, MAX_RATE);
      findings.checkRange(pointer + "/limits/burst", limits.burst(), 1, MAX_BURST);
      findings.checkRange(pointer + "/limits/concurrent", limits.concurrent(), 1, MAX_CONCURRENT);
    }
  }

  private void checkDigests(
      String pointer, ClientAccount account, Map<String, String> accountsByDigest) {
    if (account.apiKeySha256().isEmpty()) {
      findings.warning(pointer, "account \"" + account.name() + "\" has no API key");
    }
    for (int j = 0; j < account.apiKeySha256().size(); j++) {
      String digest = account.apiKeySha256().get(j);
      if (!SHA256_HEX.matcher(digest).matches()) {
        findings.error(
            pointer + "/" + j, "must be the SHA-256 of the key as 64 lower-case hex digits");
      }
      String previousAccount = accountsByDigest.putIfAbsent(digest, account.name());
      if (previousAccount != null) {
        findings.error(
            pointer + "/" + j, "is a key of account \"" + previousAccount + "\" already");
      }
    }
  }

  private void checkAccountModels(String pointer, ClientAccount account) {
    for (int j = 0; j < account.models().size(); j++) {
      String entry = account.models().get(j);
      if (!models.containsKey(entry) && !versions.contains(entry)) {
        findings.error(pointer + "/" + j, "model or version \"" + entry + "\" is not defined");
      }
    }
    findings.checkDistinct(pointer, account.models());
  }

  private void checkAccountCascades(String pointer, ClientAccount account) {
    for (int j = 0; j < account.cascades().size(); j++) {
      String cascadePointer = pointer + "/" + j;
      configuration
          .cascade(account.cascades().get(j))
          .ifPresent(
              cascade -> {
                List<String> allowed = policy.cascadeModels(account, cascade);
                if (allowed.isEmpty()) {
                  findings.error(
                      cascadePointer,
                      "the account lists no model of cascade \"" + cascade.name() + "\"");
                } else if (allowed.size() < cascade.models().size()) {
                  findings.warning(
                      cascadePointer, "the account may use only " + allowed + " of this cascade");
                }
              });
    }
  }

  private void checkWeights() {
    ObjectiveWeights weights = configuration.weights();
    findings.checkRange("/weights/cost", weights.cost(), 0, MAX_WEIGHT);
    findings.checkRange("/weights/latency", weights.latency(), 0, MAX_WEIGHT);
    findings.checkRange("/weights/exposure", weights.exposure(), 0, MAX_WEIGHT);
    if (weights.cost() + weights.latency() + weights.exposure() == 0) {
      findings.error("/weights", "at least one weight must be above 0");
    }
  }

  private boolean hasLiveVersion(String model) {
    return models.containsKey(model) && hasLiveVersion(models.get(model));
  }

  private static boolean hasLiveVersion(Model model) {
    return model.versions().stream().anyMatch(v -> v.state() == VersionState.LIVE);
  }
}
