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
 * The steps of an edit. Only a draft whose findings and difference were shown is submitted, and the
 * submission takes the text from the session, not from the form.
 */
final class ConsoleActions {
  private static final int MAX_HANDOVER = 100;
  private static final int CONFLICT = 409;

  private final ConfigurationService desk;

  ConsoleActions(ConfigurationService desk) {
    this.desk = desk;
  }

  /** Shows the draft, or the latest document as a new one. */
  ConsoleReply edit(ConsoleSession session) throws PlatformException {
    if (session.draft().isPresent()) {
      return show(session, session.draft().get());
    }
    Optional<RevisionRecord> head = desk.record(0);
    Optional<String> text = head.isEmpty() ? Optional.of("{\n}\n") : desk.document(head.get());
    if (text.isEmpty()) {
      return ConsoleReply.page(
          503, ConsolePages.message(session, "Edit", "The latest document cannot be read."));
    }
    long base = head.map(RevisionRecord::revision).orElse(0L);
    Draft draft = Draft.ofEdit(base, text.get());
    return ConsoleReply.page(ConsolePages.edit(session, draft, List.of(), Optional.empty()));
  }

  /** Keeps the text of the form as the draft and shows its findings and difference. */
  ConsoleReply check(ConsoleSession session, Fields form) throws PlatformException {
    String text = form.getValue("document");
    Optional<Long> base = number(form.getValue("base"));
    if (text == null || base.isEmpty()) {
      return malformed(session);
    }
    return show(session, Draft.ofEdit(base.get(), text.replace("\r\n", "\n")));
  }

  /** Bases the draft on the winner of a race and shows the difference to it. */
  ConsoleReply rebase(ConsoleSession session, Fields form) throws PlatformException {
    Optional<Long> base = number(form.getValue("base"));
    if (base.isEmpty() || session.draft().isEmpty()) {
      return malformed(session);
    }
    return show(session, Draft.ofEdit(base.get(), session.draft().get().text()));
  }

  private ConsoleReply show(ConsoleSession session, Draft draft) throws PlatformException {
    session.keep(draft);
    ParsedDocument parsed = DocumentParser.parse(draft.text());
    Optional<RouterConfiguration> before = desk.configuration(draft.baseRevision());
    Optional<List<ConfigurationDiff.Change>> changes =
        before.isPresent() && parsed.configuration().isPresent()
            ? Optional.of(ConfigurationDiff.between(before.get(), parsed.configuration().get()))
            : Optional.empty();
    Draft shown = draft.shown();
    session.keep(shown);
    return ConsoleReply.page(ConsolePages.edit(session, shown, parsed.findings(), changes));
  }

  /** Submits the draft that was shown, unless another page has replaced it since. */
  ConsoleReply submit(ConsoleSession session, Fields form) throws PlatformException {
    Optional<Draft> draft =
        session
            .draft()
            .filter(Draft::checked)
            .filter(shown -> shown.submissionId().equals(form.getValue("draft")));
    if (draft.isEmpty()) {
      return ConsoleReply.redirect("/console/edit");
    }
    Draft shown = draft.get();
    SubmitResult result =
        desk.submit(
            new Submission(
                shown.baseRevision(), shown.submissionId(), session.operator(), shown.text()));
    if (result instanceof SubmitResult.Accepted) {
      session.dropDraft();
      return ConsoleReply.redirect("/console");
    }
    if (result instanceof SubmitResult.Conflict lost) {
      return ConsoleReply.page(CONFLICT, ConsolePages.lost(session, shown, lost));
    }
    return result instanceof SubmitResult.Invalid ? show(session, shown) : malformed(session);
  }

  /** First of the two steps of a state change: names what it hits and asks to confirm. */
  ConsoleReply proposeState(ConsoleSession session, Fields form) throws PlatformException {
    Optional<VersionState> state = VersionState.ofLabel("" + form.getValue("state"));
    Optional<ModelVersion> version = version(form.getValue("version"));
    Optional<RevisionRecord> head = desk.record(0);
    if (state.isEmpty() || version.isEmpty() || head.isEmpty()) {
      return malformed(session);
    }
    if (session.draft().filter(Draft::edited).isPresent()) {
      return ConsoleReply.page(
          CONFLICT,
          ConsolePages.message(
              session, "Unfinished draft", "Submit or discard your draft under Edit first."));
    }
    double share = 0;
    if (state.get() == VersionState.ROLLING_OUT) {
      try {
        share = Double.parseDouble("" + form.getValue("share"));
      } catch (NumberFormatException e) {
        return malformed(session);
      }
    }
    Optional<RouterConfiguration> before = desk.configuration(head.get().revision());
    Optional<String> edited = withState(head.get(), version.get(), state.get(), share);
    if (before.isEmpty() || edited.isEmpty()) {
      return malformed(session);
    }
    Draft draft = Draft.ofStateChange(head.get().revision(), edited.get());
    ParsedDocument parsed = DocumentParser.parse(draft.text());
    if (parsed.configuration().isEmpty()) {
      // Shown beside the text without being kept: the operator only asked for a state.
      return ConsoleReply.page(
          422, ConsolePages.edit(session, draft, parsed.findings(), Optional.empty()));
    }
    session.keep(draft.shown());
    return ConsoleReply.page(
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
    return desk.document(head)
        .flatMap(text -> DocumentEditor.withVersionState(text, version, state, share));
  }

  /** Shows who changed what since a time. */
  ConsoleReply handover(ConsoleSession session, Instant since) throws PlatformException {
    List<RevisionRecord> recent = desk.history(MAX_HANDOVER);
    List<ConsolePages.HandoverEntry> entries = new ArrayList<>();
    for (RevisionRecord record : recent) {
      // All are looked at: the clocks of the hosts that accepted them may differ.
      if (record.acceptedAt().isBefore(since)) {
        continue;
      }
      entries.add(
          new ConsolePages.HandoverEntry(
              record, desk.changes(record.revision() - 1, record.revision())));
    }
    boolean complete = recent.size() < MAX_HANDOVER || entries.size() < recent.size();
    return ConsoleReply.page(ConsolePages.handover(session, since, entries, complete));
  }

  private static ConsoleReply malformed(ConsoleSession session) {
    return ConsoleReply.page(
        400, ConsolePages.message(session, "Refused", "The form is incomplete; go back."));
  }

  private static Optional<ModelVersion> version(String text) {
    try {
      return Optional.of(ModelVersion.parse("" + text));
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static Optional<Long> number(String text) {
    return text != null && text.matches("\\d{1,18}")
        ? Optional.of(Long.parseLong(text))
        : Optional.empty();
  }
}
