package org.clementinequay.server.console;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.ConfigurationDiff;
import org.clementinequay.core.config.Finding;
import org.clementinequay.core.config.Model;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.config.VersionSpec;
import org.clementinequay.core.config.VersionState;
import org.clementinequay.core.spread.RevisionRecord;
import org.clementinequay.server.operator.SubmitResult;

/** Renders the HTML pages of the console. */
final class ConsolePages {
  static final String STYLE =
      """
      body { font-family: sans-serif; margin: 1em 2em; max-width: 80em; }
      nav a, nav span { margin-right: 1em; }
      table { border-collapse: collapse; }
      td, th { border: 1px solid #999; padding: 0.2em 0.6em; text-align: left; }
      form { display: inline; }
      .columns { display: grid; grid-template-columns: 3fr 2fr; gap: 1em; }
      textarea { width: 100%; font-family: monospace; }
      .error { color: #a00; }
      .warning { color: #850; }
      .changes, .findings { font-family: monospace; overflow-wrap: anywhere; }
      """;

  private static final String TIME_EXAMPLE = "2026-12-04T06:00:00Z";

  private ConsolePages() {}

  static String signIn(String message) {
    HtmlBuilder html = new HtmlBuilder();
    if (!message.isEmpty()) {
      html.element("p class=\"error\"", message);
    }
    html.raw("<form method=\"post\" action=\"/console/sign-in\">");
    html.raw("<p><label>Name <input name=\"name\" autocomplete=\"username\"></label></p>");
    html.raw("<p><label>Password <input type=\"password\" name=\"password\"></label></p>");
    return html.submit("Sign in").page("Sign in", "");
  }

  static String message(ConsoleSession session, String title, String text) {
    return new HtmlBuilder().element("p", text).page(title, session.operator());
  }

  static String overview(
      ConsoleSession session,
      Optional<RevisionRecord> head,
      long revisionInForce,
      RouterConfiguration configuration) {
    HtmlBuilder html = new HtmlBuilder();
    if (head.isEmpty()) {
      html.element("p", "No configuration has been accepted yet.");
    } else {
      RevisionRecord record = head.get();
      html.element(
          "p",
          String.format(
              "Revision %d by %s, accepted at %s, is the latest. This host runs revision %d.",
              record.revision(), record.operator(), record.acceptedAt(), revisionInForce));
    }
    if (session.draft().filter(Draft::edited).isPresent()) {
      html.raw("<p><a href=\"/console/edit\">You have an unfinished draft.</a></p>");
    }
    html.raw("<h2>Versions</h2><table>");
    html.row("th", List.of("Model", "Version", "State", "Share", "Change"));
    for (Model model : configuration.models()) {
      for (VersionSpec version : model.versions()) {
        versionRow(html, session, model, version);
      }
    }
    html.raw("</table>");
    return html.form("/console/sign-out", session)
        .submit("Sign out")
        .page("Overview", session.operator());
  }

  private static void versionRow(
      HtmlBuilder html, ConsoleSession session, Model model, VersionSpec version) {
    html.raw("<tr>").element("td", model.name()).element("td", version.name());
    html.element("td", version.state().label()).element("td", Double.toString(version.share()));
    html.raw("<td>").form("/console/versions", session);
    html.hidden("version", new ModelVersion(model.name(), version.name()).toString());
    html.raw("<select name=\"state\">");
    for (VersionState state : VersionState.values()) {
      String selected = state == version.state() ? " selected" : "";
      html.element("option" + selected, state.label());
    }
    html.raw("</select> share <input name=\"share\" size=\"5\" value=\"" + version.share() + "\">");
    html.submit("Change ...").raw("</td></tr>");
  }

  static String confirm(
      ConsoleSession session,
      ModelVersion version,
      VersionState state,
      Draft draft,
      List<String> impact,
      List<ConfigurationDiff.Change> changes) {
    HtmlBuilder html = new HtmlBuilder();
    html.element("p", "You are about to set " + version + " to " + state.label() + ".");
    html.raw("<ul>");
    impact.forEach(sentence -> html.element("li", sentence));
    html.raw("</ul><h2>Difference</h2>").changes(changes);
    html.form("/console/submit", session).hidden("draft", draft.submissionId());
    html.submit("Set " + version + " to " + state.label());
    html.form("/console/discard", session).submit("Cancel");
    return html.page("Confirm", session.operator());
  }

  static String edit(
      ConsoleSession session,
      Draft draft,
      List<Finding> findings,
      Optional<List<ConfigurationDiff.Change>> changes) {
    HtmlBuilder html = new HtmlBuilder();
    html.element("p", "Based on revision " + draft.baseRevision() + ".");
    html.raw("<div class=\"columns\"><div>").form("/console/check", session);
    html.hidden("base", Long.toString(draft.baseRevision()));
    // HTML parsers drop a newline directly after the tag; this extra one keeps a leading newline.
    html.raw(
        "<textarea name=\"document\" rows=\"40\" spellcheck=\"false\">\n"
            + HtmlBuilder.escape(draft.text())
            + "</textarea>");
    html.submit("Check").raw("</div><div>");
    if (!findings.isEmpty()) {
      html.raw("<h2>Findings</h2>").findings(findings);
    }
    if (draft.checked()) {
      html.raw("<h2>Difference to revision " + draft.baseRevision() + "</h2>");
      changes.ifPresentOrElse(
          html::changes, () -> html.element("p", "The difference is not available."));
      if (!Finding.hasErrors(findings)) {
        html.form("/console/submit", session).hidden("draft", draft.submissionId());
        html.submit("Submit");
      }
      html.form("/console/discard", session).submit("Discard the draft");
    }
    return html.raw("</div></div>").page("Edit", session.operator());
  }

  static String conflict(ConsoleSession session, Draft draft, SubmitResult.Conflict conflict) {
    RevisionRecord latest = conflict.winner();
    HtmlBuilder html = new HtmlBuilder();
    html.element(
        "p class=\"error\"",
        String.format(
            "%s submitted revision %d at %s, after revision %d that your draft is based on."
                + " Your draft was not submitted; it is kept.",
            latest.operator(), latest.revision(), latest.acceptedAt(), draft.baseRevision()));
    html.element("h2", "What changed since your revision " + draft.baseRevision());
    conflict
        .changes()
        .ifPresentOrElse(
            html::changes, () -> html.element("p", "The difference is not available."));
    html.element(
        "p",
        "The next step compares your draft with revision "
            + latest.revision()
            + "; changes of that revision that you do not adopt appear there as reverted.");
    html.form("/console/rebase", session);
    html.hidden("base", Long.toString(latest.revision()));
    html.submit("Continue from revision " + latest.revision());
    html.form("/console/discard", session).submit("Discard the draft");
    return html.page("Another revision was accepted first", session.operator());
  }

  /**
   * A revision on the handover page.
   *
   * @param record the revision
   * @param changes difference to the previous revision; empty if a document is not available
   */
  record HandoverEntry(RevisionRecord record, Optional<List<ConfigurationDiff.Change>> changes) {}

  static String handover(
      ConsoleSession session, Instant since, List<HandoverEntry> entries, boolean complete) {
    HtmlBuilder html = new HtmlBuilder();
    html.raw("<form method=\"get\" action=\"/console/handover\"><label>Since ");
    html.raw("<input name=\"since\" size=\"24\" value=\"" + since + "\"></label>");
    html.submit("Show").element("p", "Times are UTC, such as " + TIME_EXAMPLE + ".");
    if (!complete) {
      html.element("p class=\"warning\"", "Older revisions since that time are not shown.");
    }
    if (entries.isEmpty()) {
      html.element("p", "No revision has been accepted since then.");
    }
    for (HandoverEntry entry : entries) {
      RevisionRecord record = entry.record();
      html.element(
          "h2",
          String.format(
              "Revision %d by %s at %s",
              record.revision(), record.operator(), record.acceptedAt()));
      entry
          .changes()
          .ifPresentOrElse(
              html::changes, () -> html.element("p", "The difference is not available."));
    }
    return html.page("Handover", session.operator());
  }
}
