package org.clementinequay.server.console;

import com.google.common.html.HtmlEscapers;
import java.util.List;
import org.clementinequay.core.config.ConfigurationDiff;
import org.clementinequay.core.config.Finding;

/** Builds a page from escaped parts. Every text of a user or a document goes through here. */
final class Html {
  private final StringBuilder out = new StringBuilder();

  /** Returns the text with the characters escaped that have a meaning in HTML. */
  static String escape(String text) {
    return HtmlEscapers.htmlEscaper().escape(text);
  }

  /** Appends markup as it is; never pass a text that comes from outside. */
  Html raw(String markup) {
    out.append(markup).append('\n');
    return this;
  }

  /** Appends an element with an escaped text. */
  Html element(String tag, String text) {
    String name = tag.split(" ", 2)[0];
    out.append('<').append(tag).append('>').append(escape(text));
    out.append("</").append(name).append(">\n");
    return this;
  }

  /** Appends a table row. */
  Html row(String cellTag, List<String> cells) {
    out.append("<tr>");
    cells.forEach(cell -> element(cellTag, cell));
    out.append("</tr>\n");
    return this;
  }

  /** Appends a hidden form field. */
  Html hidden(String name, String value) {
    out.append("<input type=\"hidden\" name=\"").append(name);
    out.append("\" value=\"").append(escape(value)).append("\">\n");
    return this;
  }

  /** Opens a form that posts to a path and carries the session's token. */
  Html form(String path, ConsoleSession session) {
    return raw("<form method=\"post\" action=\"" + path + "\">")
        .hidden("csrf", session.csrfToken());
  }

  /** Appends a button that ends a form. */
  Html submit(String label) {
    return raw("<button type=\"submit\">" + escape(label) + "</button></form>");
  }

  /** Appends findings as a list. */
  Html findings(List<Finding> findings) {
    raw("<ul class=\"findings\">");
    for (Finding finding : findings) {
      element("li class=\"" + finding.severity().label() + "\"", finding.format("line"));
    }
    return raw("</ul>");
  }

  /** Appends changes as a list. */
  Html changes(List<ConfigurationDiff.Change> changes) {
    if (changes.isEmpty()) {
      return element("p", "No difference.");
    }
    raw("<ul class=\"changes\">");
    changes.forEach(change -> element("li", change.toString()));
    return raw("</ul>");
  }

  /** Returns the whole page. */
  String page(String title, String operator) {
    Html page = new Html();
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
