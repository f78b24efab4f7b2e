package org.clementinequay.server.document;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.Collectors;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.config.VersionState;
import org.testng.annotations.Test;

/** Tests of reading and editing configuration documents. */
public final class DocumentParserTest {
  private static final String VALID =
      """
      {
        // The only domain.
        "domains": [{"name": "a", "region": "pnw"}],
        "classes": [
          {"name": "sheet", "priority": 0, "deadlineMillis": 60000, "qualityTarget": 1}
        ],
        "models": [{"name": "small", "versions": [
          {"name": "v1", "state": "live", /* price */ "promptMicrosPerToken": 10,
           "completionMicrosPerToken": 30},
          {"name": "v2", "share": 0.25, "state": "rolling-out", "promptMicrosPerToken": 10,
           "completionMicrosPerToken": 30}]}],
        "upstreams": [{"name": "e1", "kind": "engine", "address": "10.0.0.1:80", "domain": "a",
          "serves": ["small@v1", "small@v2"], "slots": 4}]
      }
      """;

  private static List<String> findings(String text) {
    return DocumentParser.parse(text).findings().stream()
        .map(finding -> finding.format("f"))
        .collect(Collectors.toList());
  }

  /** Tests of valid documents. */
  public static final class Accepted {
    /** Guards against rejecting comments, missing optional keys or enum labels. */
    @Test
    public void documentWithCommentsIsRead() {
      ParsedDocument parsed = DocumentParser.parse(VALID);
      assertEquals(parsed.findings(), List.of());
      RouterConfiguration configuration = parsed.configuration().orElseThrow();
      assertEquals(configuration.models().get(0).versions().get(1).state().label(), "rolling-out");
      assertEquals(configuration.models().get(0).versions().get(0).share(), 0.0);
      assertEquals(configuration.classes().get(0).qualityTarget(), 1.0);
    }
  }

  /** Tests of documents that a host of another release may have accepted. */
  public static final class AcceptedByOtherRelease {
    /** Guards against a host that cannot serve during an upgrade because of a new key or check. */
    @Test
    public void unknownKeysAndChecksDoNotPreventUse() {
      String text =
          VALID
              .replace("\"slots\": 4", "\"slots\": 4, \"rack\": \"r7\"")
              .replace("10.0.0.1:80", "engine:80");
      assertTrue(DocumentParser.parse(text).configuration().isEmpty());
      RouterConfiguration used = DocumentParser.parseAccepted(text).orElseThrow();
      assertEquals(used.upstreams().get(0).slots(), 4);
    }

    /** Guards against using a document with placeholders in place of invalid values. */
    @Test
    public void invalidValuesPreventUse() {
      String text = VALID.replace("\"live\"", "\"alive\"");
      assertTrue(DocumentParser.parseAccepted(text).isEmpty());
      assertTrue(DocumentParser.parseAccepted("{").isEmpty());
    }
  }

  /** Tests of the reported errors. */
  public static final class ReportedErrors {
    /** Guards against a parser that stops at the first error or reports wrong locations. */
    @Test
    public void allErrorsAreReportedWithTheirLocation() {
      String text =
          VALID
              .replace("\"deadlineMillis\": 60000", "\"deadlinMillis\": 60000")
              .replace("\"priority\": 0", "\"priority\": \"high\"")
              .replace("\"live\"", "\"liv\"")
              .replace("\"slots\": 4", "\"slots\": 4.5")
              .replace("10.0.0.1:80", "engine:80");
      assertEquals(
          findings(text),
          List.of(
              "f:5:5: error: key \"deadlineMillis\" is missing (/classes/0/deadlineMillis)",
              "f:5:35: error: must be a whole number of at most 32 bits, not a string"
                  + " (/classes/0/priority)",
              "f:5:43: error: unknown key \"deadlinMillis\"; did you mean \"deadlineMillis\"?"
                  + " (/classes/0/deadlinMillis)",
              "f:8:29: error: must be one of [rolling-out, live, closing, withdrawn]; did you"
                  + " mean \"live\" instead of \"liv\"? (/models/0/versions/0/state)",
              "f:12:61: error: \"engine:80\" is not an IP address and port such as 10.1.0.7:8000"
                  + " (/upstreams/0/address)",
              "f:13:50: error: must be a whole number of at most 32 bits, not a fraction"
                  + " (/upstreams/0/slots)"));
      assertTrue(DocumentParser.parse(text).configuration().isEmpty());
    }

    /** Guards against accepting values of a wrong type, and against exceptions caused by them. */
    @Test
    public void wrongTypesAreReported() {
      String text =
          "{\"domains\": {}, \"classes\": [7], \"weights\": null, \"accounts\": ["
              + "{\"name\": true, \"apiKeySha256\": [1], \"limits\": []}],"
              + " \"routes\": [{\"name\": \"r\", \"idempotent\": \"yes\","
              + " \"timeoutMillis\": 99999999999999999999, \"costMicros\": null}]}";
      assertEquals(
          DocumentParser.parse(text).findings().stream()
              .map(finding -> finding.pointer() + " " + finding.message())
              .filter(line -> !line.contains("no upstream serves"))
              .toList(),
          List.of(
              "/domains must be an array, not an object",
              "/classes/0 must be an object, not a whole number",
              "/weights must be an object, not null",
              "/accounts/0/name must be a string, not true",
              "/accounts/0/apiKeySha256/0 must be a string, not a whole number",
              "/accounts/0/limits must be an object, not an array",
              "/routes/0/idempotent must be true or false, not a string",
              "/routes/0/timeoutMillis must be a whole number of at most 64 bits,"
                  + " not a whole number",
              "/routes/0/costMicros must be a whole number of at most 64 bits, not null"));
    }

    /** Guards against exceptions or missing findings for a text that is not valid JSON. */
    @Test
    public void syntaxErrorsHaveALocation() {
      assertTrue(findings("").get(0).startsWith("f:1:1: error: the document is empty"));
      assertTrue(findings("{\n  \"models\": [}").get(0).startsWith("f:2:14: error: not valid"));
      assertTrue(findings("{} {}").get(0).startsWith("f:1:4: error: text after the end"));
      assertEquals(
          findings("{\"routes\": [],\n \"routes\": []}"),
          List.of("f:2:2: error: key \"routes\" occurs more than once (/routes)"));
    }
  }

  /** Tests of edits, which keep layout and comments. */
  public static final class Edits {
    /** Guards against an edit that loses comments or changes anything but the version. */
    @Test
    public void stateIsChangedInPlace() {
      String edited =
          DocumentEditor.withVersionState(
                  VALID, new ModelVersion("small", "v2"), VersionState.WITHDRAWN, 0)
              .orElseThrow();
      assertEquals(
          edited,
          VALID.replace(
              "\"share\": 0.25, \"state\": \"rolling-out\"",
              "\"share\": 0, \"state\": \"withdrawn\""));
      String rolledOut =
          DocumentEditor.withVersionState(
                  VALID, new ModelVersion("small", "v1"), VersionState.ROLLING_OUT, 0.5)
              .orElseThrow();
      assertEquals(
          rolledOut,
          VALID.replace("\"state\": \"live\"", "\"state\": \"rolling-out\", \"share\": 0.5"));
    }

    /** Guards against editing a version that does not exist, or a text that is no document. */
    @Test
    public void unknownVersionIsNotEdited() {
      ModelVersion unknown = new ModelVersion("small", "v9");
      assertTrue(DocumentEditor.withVersionState(VALID, unknown, VersionState.LIVE, 0).isEmpty());
      assertTrue(DocumentEditor.withVersionState("[]", unknown, VersionState.LIVE, 0).isEmpty());
      assertTrue(DocumentEditor.withVersionState("{", unknown, VersionState.LIVE, 0).isEmpty());
    }
  }
}
