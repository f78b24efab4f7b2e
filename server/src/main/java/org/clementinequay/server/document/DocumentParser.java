package org.clementinequay.server.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.clementinequay.core.config.ClientAccount;
import org.clementinequay.core.config.ConfigurationValidator;
import org.clementinequay.core.config.Finding;
import org.clementinequay.core.config.ObjectiveWeights;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.config.Severity;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.core.config.VersionSpec;
import org.clementinequay.core.config.VersionState;

/** Parses and validates configuration documents. */
public final class DocumentParser {
  private static final BindingRules RULES =
      BindingRules.builder()
          .optional(RouterConfiguration.class, "domains", List.of())
          .optional(RouterConfiguration.class, "classes", List.of())
          .optional(RouterConfiguration.class, "models", List.of())
          .optional(RouterConfiguration.class, "cascades", List.of())
          .optional(RouterConfiguration.class, "routes", List.of())
          .optional(RouterConfiguration.class, "upstreams", List.of())
          .optional(RouterConfiguration.class, "accounts", List.of())
          .optional(RouterConfiguration.class, "weights", ObjectiveWeights.EQUAL)
          .optional(ClientAccount.class, "models", List.of())
          .optional(ClientAccount.class, "cascades", List.of())
          .optional(ClientAccount.class, "routes", List.of())
          .optional(VersionSpec.class, "share", 0.0)
          .optional(Upstream.class, "checksFencing", false)
          // An invalid state counts as live, so that "no live version" is not reported as well.
          .placeholder(VersionState.class, VersionState.LIVE)
          .build();

  private DocumentParser() {}

  /** Parses and validates a document and reports all its errors and warnings. */
  public static ParsedDocument parse(String text) {
    List<Finding> findings = new ArrayList<>();
    Optional<LocatedValue> root = LocatedValueReader.read(text, findings);
    if (root.isEmpty()) {
      return new ParsedDocument(Optional.empty(), findings);
    }
    RouterConfiguration configuration =
        new RecordBinder(RULES, Severity.ERROR, findings)
            .bind(root.get(), RouterConfiguration.class);
    List<Finding> validationFindings = ConfigurationValidator.validate(configuration);
    for (Finding finding : RecordBinder.withoutRelated(validationFindings, List.copyOf(findings))) {
      LocatedValue.Location location = root.get().findInnermost(finding.pointer()).location();
      findings.add(finding.withLocation(location.line(), location.column()));
    }
    findings.sort(Finding.BY_LOCATION);
    return new ParsedDocument(
        Finding.hasErrors(findings) ? Optional.empty() : Optional.of(configuration), findings);
  }

  /**
   * Parses a document that was already accepted. During an upgrade the accepting host may have
   * known other keys or checks than this one, and a host that rejected the revision in force could
   * not serve requests; so unknown keys are ignored and the checks are not repeated.
   *
   * @return empty only if the text cannot be read as a configuration at all
   */
  public static Optional<RouterConfiguration> parseAccepted(String text) {
    List<Finding> findings = new ArrayList<>();
    Optional<RouterConfiguration> configuration =
        LocatedValueReader.read(text, findings)
            .map(
                root ->
                    new RecordBinder(RULES, Severity.WARNING, findings)
                        .bind(root, RouterConfiguration.class));
    return Finding.hasErrors(findings) ? Optional.empty() : configuration;
  }
}
