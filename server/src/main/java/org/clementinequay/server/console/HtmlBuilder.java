package org.clementinequay.server.console;

import com.google.common.html.HtmlEscapers;
import java.util.List;
import org.clementinequay.core.config.ConfigurationDiff;
import org.clementinequay.core.config.Finding;

/**
 * Builds an HTML page. Text from users or documents is added only through methods that escape it,
 * or through {@link #escape}.
 */
final class HtmlBuilder {
  private final StringBuilder out = new StringBuilder();

  /** Returns the text with the special characters of HTML escaped. */
  static String escape(String text) {
    return HtmlEscapers.htmlEscaper().escape(text);
  }

  /** Appends markup without escaping it; must not be called with untrusted text. */
  HtmlBuilder raw(String markup) {
    out.append(markup).append('\n');
    return this;
  }

  /**
   * Appends an element whose text is escaped.
   *
   * @param tag element name and optional attributes, which are not escaped
   */
  HtmlBuilder element(String tag, String text) {
    String name = tag.split(" ", 2)[0];
    out.append('<').append(tag).append('>').append(escape(text));
    out.append("</").append(name).append(">\n");
    return this;
  }

  /** Appends a table row of cells with the given tag. */
  HtmlBuilder row(String cellTag, List<String> cells) {
    out.append("<tr>");
    cells.forEach(cell -> element(cellTag, cell));
    out.append("</tr>\n");
    return this;
  }

  /** Appends a hidden form field; only the value is escaped. */
  HtmlBuilder hidden(String name, String value) {
    out.append("<input type=\"hidden\" name=\"").append(name);
    out.append("\" value=\"").append(escape(value)).append("\">\n");
    return this;
  }

  /** Opens a form that posts to a path, with the CSRF token of the session. */
  HtmlBuilder form(String path, ConsoleSession session) {
    return raw("<form method=\"post\" action=\"" + path + "\">")
        .hidden("csrf", session.csrfToken());
  }

  /** Appends a submit button and closes the form. */
  HtmlBuilder submit(String label) {
    return raw("<button type=\"submit\">" + escape(label) + "</button></form>");
  }

  /** Appends a list of findings, with their severity as the class of each item. */
  HtmlBuilder findings(List<Finding> findings) {
    raw("<ul class=\"findings\">");
    for (Finding finding : findings) {
      element("li class=\"" + finding.severity().label() + "\"", finding.format("line"));
    }
    return raw("</ul>");
  }

  /** Appends a list of changes, or a sentence if there are none. */
  HtmlBuilder changes(List<ConfigurationDiff.Change> changes) {
    if (changes.isEmpty()) {
      return element("p", "No difference.");
    }
    raw("<ul class=\"changes\">");
    changes.forEach(change -> element("li", change.toString()));
    return raw("</ul>");
  }

  /**
   * Returns the complete page with what was appended so far as its content.
   *
   * @param operator name of the signed-in operator; the navigation is left out if it is empty
   */
  String page(String title, String operator) {
    HtmlBuilder page = new HtmlBuilder();
    page.raw("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">");
    page.element("title", title + " - Clementinequay");
    page.raw("<link rel=\"stylesheet\" href=\"/console/style.css\"></head><body>");
    if (!operator.isEmpty()) {
      page.raw("<nav><a href=\"/console\">Overview</a> <a href=\"/console/edit\">Edit</a>");
      page.raw("<a href=\"/console/handover\">Handover</a>");
      page.element("span", "Signed in as " + operator).raw("</nav>");
    }
    page.element("h1", title);
    return page.out.append(out).append("</body></html>\n").toString();
  }
}
