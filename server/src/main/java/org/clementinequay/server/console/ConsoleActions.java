package org.clementinequay.server.console;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.ConfigurationDiff;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.config.VersionState;
import org.clementinequay.core.platform.PlatformException;
import org.clementinequay.core.spread.RevisionRecord;
import org.clementinequay.server.document.DocumentEditor;
import org.clementinequay.server.document.DocumentParser;
import org.clementinequay.server.document.ParsedDocument;
import org.clementinequay.server.operator.ConfigurationService;
import org.clementinequay.server.operator.Submission;
import org.clementinequay.server.operator.SubmitResult;
import org.eclipse.jetty.util.Fields;

/**
 * Handles the console actions that edit the configuration. Only a draft whose findings and
 * difference were shown can be submitted, and the submitted text is taken from the session, not
 * from the form.
 */
final class ConsoleActions {
  private static final int MAX_HANDOVER_REVISIONS = 100;
  private static final int CONFLICT = 409;

  private final ConfigurationService configurationService;

  ConsoleActions(ConfigurationService configurationService) {
    this.configurationService = configurationService;
  }

  /** Shows the draft of the session, or a new draft of the latest document if there is none. */
  ConsoleResponse edit(ConsoleSession session) throws PlatformException {
    if (session.draft().isPresent()) {
      return showDraft(session, session.draft().get());
    }
    Optional<RevisionRecord> head = configurationService.record(0);
    Optional<String> text =
        head.isEmpty() ? Optional.of("{\n}\n") : configurationService.document(head.get());
    if (text.isEmpty()) {
      return ConsoleResponse.page(
          503, ConsolePages.message(session, "Edit", "The latest document cannot be read."));
    }
    long base = head.map(RevisionRecord::revision).orElse(0L);
    Draft draft = Draft.ofEdit(base, text.get());
    return ConsoleResponse.page(ConsolePages.edit(session, draft, List.of(), Optional.empty()));
  }

  /** Stores the text of the form as the draft and shows its findings and difference. */
  ConsoleResponse check(ConsoleSession session, Fields form) throws PlatformException {
    String text = form.getValue("document");
    Optional<Long> base = parseRevision(form.getValue("base"));
    if (text == null || base.isEmpty()) {
      return malformedForm(session);
    }
    return showDraft(session, Draft.ofEdit(base.get(), text.replace("\r\n", "\n")));
  }

  /** Changes the base of the draft to the revision that was accepted first; shows the changes. */
  ConsoleResponse rebase(ConsoleSession session, Fields form) throws PlatformException {
    Optional<Long> base = parseRevision(form.getValue("base"));
    if (base.isEmpty() || session.draft().isEmpty()) {
      return malformedForm(session);
    }
    return showDraft(session, Draft.ofEdit(base.get(), session.draft().get().text()));
  }

  private ConsoleResponse showDraft(ConsoleSession session, Draft draft) throws PlatformException {
    session.setDraft(draft);
    ParsedDocument parsed = DocumentParser.parse(draft.text());
    Optional<RouterConfiguration> before = configurationService.configuration(draft.baseRevision());
    Optional<List<ConfigurationDiff.Change>> changes =
        before.isPresent() && parsed.configuration().isPresent()
            ? Optional.of(ConfigurationDiff.between(before.get(), parsed.configuration().get()))
            : Optional.empty();
    Draft checked = draft.asChecked();
    session.setDraft(checked);
    return ConsoleResponse.page(ConsolePages.edit(session, checked, parsed.findings(), changes));
  }

  /** Submits the checked draft, unless another page of the same session has replaced it since. */
  ConsoleResponse submit(ConsoleSession session, Fields form) throws PlatformException {
    Optional<Draft> draft =
        session
            .draft()
            .filter(Draft::checked)
            .filter(checked -> checked.submissionId().equals(form.getValue("draft")));
    if (draft.isEmpty()) {
      return ConsoleResponse.redirect("/console/edit");
    }
    Draft checked = draft.get();
    SubmitResult result =
        configurationService.submit(
            new Submission(
                checked.baseRevision(),
                checked.submissionId(),
                session.operator(),
                checked.text()));
    if (result instanceof SubmitResult.Accepted) {
      session.discardDraft();
      return ConsoleResponse.redirect("/console");
    }
    if (result instanceof SubmitResult.Conflict conflict) {
      return ConsoleResponse.page(CONFLICT, ConsolePages.conflict(session, checked, conflict));
    }
    return result instanceof SubmitResult.Invalid
        ? showDraft(session, checked)
        : malformedForm(session);
  }

  /**
   * Shows the impact of a state change of a version and asks for confirmation. The change is
   * submitted only by a second request.
   */
  ConsoleResponse proposeState(ConsoleSession session, Fields form) throws PlatformException {
    Optional<VersionState> state = VersionState.ofLabel("" + form.getValue("state"));
    Optional<ModelVersion> version = parseVersion(form.getValue("version"));
    Optional<RevisionRecord> head = configurationService.record(0);
    if (state.isEmpty() || version.isEmpty() || head.isEmpty()) {
      return malformedForm(session);
    }
    if (session.draft().filter(Draft::edited).isPresent()) {
      return ConsoleResponse.page(
          CONFLICT,
          ConsolePages.message(
              session, "Unfinished draft", "Submit or discard your draft under Edit first."));
    }
    double share = 0;
    if (state.get() == VersionState.ROLLING_OUT) {
      try {
        share = Double.parseDouble("" + form.getValue("share"));
      } catch (NumberFormatException e) {
        return malformedForm(session);
      }
    }
    Optional<RouterConfiguration> before =
        configurationService.configuration(head.get().revision());
    Optional<String> edited = withState(head.get(), version.get(), state.get(), share);
    if (before.isEmpty() || edited.isEmpty()) {
      return malformedForm(session);
    }
    Draft draft = Draft.ofStateChange(head.get().revision(), edited.get());
    ParsedDocument parsed = DocumentParser.parse(draft.text());
    if (parsed.configuration().isEmpty()) {
      // Shows the findings without storing the draft, because the operator did not edit the text.
      return ConsoleResponse.page(
          422, ConsolePages.edit(session, draft, parsed.findings(), Optional.empty()));
    }
    session.setDraft(draft.asChecked());
    return ConsoleResponse.page(
        ConsolePages.confirm(
            session,
            version.get(),
            state.get(),
            draft,
            VersionImpact.of(before.get(), version.get(), state.get()),
            ConfigurationDiff.between(before.get(), parsed.configuration().get())));
  }

  private Optional<String> withState(
      RevisionRecord head, ModelVersion version, VersionState state, double share)
      throws PlatformException {
    return configurationService
        .document(head)
        .flatMap(text -> DocumentEditor.withVersionState(text, version, state, share));
  }

  /** Shows the revisions accepted since a time, with author and changes, newest first. */
  ConsoleResponse handover(ConsoleSession session, Instant since) throws PlatformException {
    List<RevisionRecord> latestRevisions = configurationService.history(MAX_HANDOVER_REVISIONS);
    List<ConsolePages.HandoverEntry> entries = new ArrayList<>();
    for (RevisionRecord record : latestRevisions) {
      // Does not stop at the first older revision: revisions may have been accepted by hosts with
      // different clocks, so their times need not be ordered.
      if (record.acceptedAt().isBefore(since)) {
        continue;
      }
      entries.add(
          new ConsolePages.HandoverEntry(
              record, configurationService.changes(record.revision() - 1, record.revision())));
    }
    boolean complete =
        latestRevisions.size() < MAX_HANDOVER_REVISIONS || entries.size() < latestRevisions.size();
    return ConsoleResponse.page(ConsolePages.handover(session, since, entries, complete));
  }

  private static ConsoleResponse malformedForm(ConsoleSession session) {
    return ConsoleResponse.page(
        400, ConsolePages.message(session, "Refused", "The form is incomplete or invalid."));
  }

  private static Optional<ModelVersion> parseVersion(String text) {
    try {
      return Optional.of(ModelVersion.parse("" + text));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static Optional<Long> parseRevision(String text) {
    return text != null && text.matches("\\d{1,18}")
        ? Optional.of(Long.parseLong(text))
        : Optional.empty();
  }
}
