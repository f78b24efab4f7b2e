package org.clementinequay.server.cli;

import static org.clementinequay.server.operator.OperatorServer.DOCUMENT;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import org.clementinequay.core.platform.AnswerLostException;
import org.clementinequay.core.platform.PlatformUnavailableException;
import org.clementinequay.server.operator.OperatorServer;
import org.clementinequay.server.settings.PasswordHash;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the commands of the command line in process. */
public final class CommandLineTest {
  private static final String SETTINGS =
      """
      {"name": "e1", "domain": "a", "region": "pnw",
       "listeners": {"callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0"},
       "platform": {"tableService": "127.0.0.1:1", "objectStore": "127.0.0.1:1",
         "hostDirectory": "127.0.0.1:1", "ratingService": "127.0.0.1:1"},
       "sessionKeys": [{"id": "k", "secret": "SECRET"}]}
      """
          .replace("SECRET", Base64.getEncoder().encodeToString(new byte[32]));

  /** Runs commands and captures their output. */
  abstract static class Fixture {
    final ByteArrayOutputStream out = new ByteArrayOutputStream();
    final ByteArrayOutputStream err = new ByteArrayOutputStream();
    final List<String> launched = new ArrayList<>();
    private Path directory;

    /** Creates a directory for documents; all tests of a class share the instance. */
    @BeforeMethod
    public void createDirectory() throws Exception {
      directory = Files.createTempDirectory("cli");
      launched.clear();
    }

    /** Deletes the directory. */
    @AfterMethod(alwaysRun = true)
    public void deleteDirectory() throws Exception {
      try (var files = Files.list(directory)) {
        for (Path file : files.toList()) {
          Files.delete(file);
        }
      }
      Files.delete(directory);
    }

    String file(String name, String text) throws Exception {
      return Files.writeString(directory.resolve(name), text).toString();
    }

    ExitCode run(String... args) {
      out.reset();
      err.reset();
      Terminal terminal =
          new Terminal(
              new PrintStream(out, true, StandardCharsets.UTF_8),
              new PrintStream(err, true, StandardCharsets.UTF_8),
              Map.of("CLEMENTINEQUAY_PASSWORD", OperatorServer.PASSWORD + "x".repeat(8)));
      return new CommandLine(terminal, settings -> launched.add(settings.name())).run(args);
    }

    String out() {
      return out.toString(StandardCharsets.UTF_8);
    }

    String err() {
      return err.toString(StandardCharsets.UTF_8);
    }
  }

  /** Commands that do not connect to an entry host. */
  public static final class Offline extends Fixture {
    /** Guards against commands without help, and wrong exit codes for mistyped arguments. */
    @Test
    public void everyCommandHasHelp() {
      assertEquals(run("help"), ExitCode.DONE);
      List<String> names =
          List.of(
              "entry",
              "check",
              "show",
              "diff",
              "apply",
              "history",
              "status",
              "bill",
              "password",
              "version",
              "help");
      for (String name : names) {
        assertTrue(out().contains("  " + name), name);
      }
      for (String name : names) {
        assertEquals(run("help", name), ExitCode.DONE);
        String help = out();
        assertTrue(help.startsWith("Usage: clementinequay " + name), help);
        assertEquals(run(name, "--help"), ExitCode.DONE);
      }
      assertEquals(run(), ExitCode.USAGE);
      assertEquals(run("chek"), ExitCode.USAGE);
      assertEquals(run("check", "--outptu", "json"), ExitCode.USAGE);
      assertEquals(run("show"), ExitCode.USAGE);
    }

    /** Guards against a check that omits findings or exits with success in spite of them. */
    @Test
    public void checkPrintsFindings() throws Exception {
      assertEquals(run("check", file("good.json", DOCUMENT)), ExitCode.DONE);
      assertEquals(out(), "");
      String bad = file("bad.json", DOCUMENT.replace("\"live\"", "\"alive\""));
      assertEquals(run("check", bad), ExitCode.REFUSED);
      assertTrue(out().startsWith(bad + ":5:29: error: must be one of"), out());
      assertEquals(run("check", "--output", "json", bad), ExitCode.REFUSED);
      assertTrue(out().contains("\"line\":5"), out());
      assertEquals(run("check", "--output", "xml", bad), ExitCode.USAGE);
      assertEquals(run("check", bad + ".missing"), ExitCode.USAGE);
      assertEquals(run("check"), ExitCode.USAGE);
    }

    /** Guards against a document whose changes are seen only after it was sent. */
    @Test
    public void checkPrintsTheChangesToAnotherDocument() throws Exception {
      String before = file("before.json", DOCUMENT);
      String after = file("after.json", DOCUMENT.replace("\"pnw\"", "\"east\""));
      assertEquals(run("check", before, "--against", before), ExitCode.DONE);
      assertEquals(out(), "");
      assertEquals(run("check", after, "--against", before), ExitCode.DONE);
      assertTrue(out().contains("pnw -> east"), out());
      String bad = file("bad.json", DOCUMENT.replace("\"live\"", "\"alive\""));
      assertEquals(run("check", after, "--against", bad), ExitCode.USAGE);
    }

    /** Guards against a host that starts with invalid settings. */
    @Test
    public void settingsAreCheckedBeforeTheHostStarts() throws Exception {
      String good = file("good.json", SETTINGS);
      String bad = file("bad.json", SETTINGS.replace("127.0.0.1:1\"", "platform\""));
      assertEquals(run("check", "--settings", good), ExitCode.DONE);
      assertEquals(run("check", "--settings", bad), ExitCode.USAGE);
      assertEquals(out().lines().count(), 5);
      assertEquals(run("entry", "--settings", bad), ExitCode.USAGE);
      assertEquals(launched, List.of());
      assertEquals(run("entry", "--settings", good), ExitCode.DONE);
      assertEquals(launched, List.of("e1"));
    }

    /** Guards against a host that serves plain HTTP although its settings configure TLS. */
    @Test
    public void tlsIsNotIgnored() throws Exception {
      String tls = "\"tls\": {\"keyStore\": \"s.p12\", \"passwordFile\": \"p.txt\"}, \"name\"";
      String file = file("tls.json", SETTINGS.replace("\"name\"", tls));
      assertEquals(run("check", "--settings", file), ExitCode.DONE);
      assertEquals(run("entry", "--settings", file), ExitCode.USAGE);
      assertEquals(launched, List.of());
      assertTrue(err().contains("do not support \"tls\""), err());
    }

    /** Guards against a printed hash that cannot be parsed or does not match the password. */
    @Test
    public void passwordPrintsItsHash() {
      assertEquals(run("password"), ExitCode.DONE);
      PasswordHash hash = PasswordHash.parse(out().strip()).orElseThrow();
      assertTrue(hash.matches((OperatorServer.PASSWORD + "x".repeat(8)).toCharArray()));
    }
  }

  /** Commands that connect to an entry host. */
  public static final class Remote extends Fixture {
    private OperatorServer server;

    /** Starts the operator interface. */
    @BeforeMethod
    public void start() throws Exception {
      server = new OperatorServer();
    }

    /** Stops the operator interface. */
    @AfterMethod(alwaysRun = true)
    public void stop() throws Exception {
      server.close();
    }

    private ExitCode runRemote(String operator, String command, String... args) {
      List<String> all =
          new ArrayList<>(List.of(command, "--host", server.address(), "--operator", operator));
      all.addAll(Arrays.asList(args));
      out.reset();
      err.reset();
      Terminal terminal =
          new Terminal(
              new PrintStream(out, true, StandardCharsets.UTF_8),
              new PrintStream(err, true, StandardCharsets.UTF_8),
              Map.of("CLEMENTINEQUAY_PASSWORD", OperatorServer.PASSWORD));
      return new CommandLine(terminal, settings -> {}).run(all.toArray(String[]::new));
    }

    /** Guards against conflicts that are not reported, and wrong show, diff and history output. */
    @Test
    public void applyShowDiffHistoryAndConflict() throws Exception {
      String first = file("first.json", DOCUMENT);
      String second = file("second.json", DOCUMENT.replace("\"slots\": 4", "\"slots\": 8"));
      assertEquals(runRemote("asha", "apply", "--base", "0", first), ExitCode.DONE);
      assertEquals(out(), "accepted as revision 1\n");
      assertEquals(runRemote("asha", "show"), ExitCode.DONE);
      assertEquals(out(), DOCUMENT);
      assertTrue(err().startsWith("revision 1 of asha"), err());
      assertEquals(runRemote("asha", "diff", second), ExitCode.DONE);
      assertEquals(out(), "~ /upstreams/e1/slots: 4 -> 8\n");
      assertEquals(runRemote("asha", "apply", "--base", "1", second), ExitCode.DONE);
      assertEquals(runRemote("ben", "apply", "--base", "1", first), ExitCode.LOST_RACE);
      assertTrue(err().contains("asha submitted revision 2"), err());
      assertTrue(err().contains("~ /upstreams/e1/slots: 4 -> 8"), err());
      assertEquals(runRemote("ben", "diff", "--from", "1", "--to", "2"), ExitCode.DONE);
      assertEquals(out(), "~ /upstreams/e1/slots: 4 -> 8\n");
      assertEquals(runRemote("ben", "history", "--limit", "1"), ExitCode.DONE);
      assertTrue(out().endsWith("2         2026-12-04T11:59:00Z  asha      1\n"), out());
      assertEquals(runRemote("ben", "history", "--output", "json"), ExitCode.DONE);
      assertTrue(out().startsWith("{\"revisions\":[{\"revision\":2,"), out());
    }

    /** Guards against an invalid document that is sent to the entry host. */
    @Test
    public void invalidDocumentIsNotSubmitted() throws Exception {
      String bad = file("bad.json", "{\"modles\": []}");
      assertEquals(runRemote("asha", "apply", "--base", "0", bad), ExitCode.REFUSED);
      assertTrue(out().contains("did you mean \"models\"?"), out());
    }

    /** Guards against a submission whose result is lost with no way to retry it safely. */
    @Test
    public void submissionWithUnknownResultCanBeRepeated() throws Exception {
      String document = file("first.json", DOCUMENT);
      server.fail(new PlatformUnavailableException("down"), "commit");
      assertEquals(
          runRemote("asha", "apply", "--base", "0", "--submission-id", "s", document),
          ExitCode.UNREACHABLE);
      assertTrue(err().contains("--submission-id s"), err());
      assertEquals(
          runRemote("asha", "apply", "--base", "0", "--submission-id", "s", document),
          ExitCode.DONE);
      assertEquals(out(), "accepted as revision 1\n");
    }

    /** Guards against wrong exit codes if the login, the entry host or the platform fails. */
    @Test
    public void failuresReturnTheirExitCodes() throws Exception {
      assertEquals(runRemote("eve", "status"), ExitCode.REFUSED);
      assertEquals(runRemote("asha", "show"), ExitCode.REFUSED);
      server.fail(new AnswerLostException("timeout"), "");
      assertEquals(runRemote("asha", "history"), ExitCode.UNREACHABLE);
      String address = server.address();
      server.close();
      assertEquals(run("status", "--host", address, "--operator", "asha"), ExitCode.UNREACHABLE);
      assertEquals(run("status", "--host", "not an address", "--operator", "asha"), ExitCode.USAGE);
    }

    /** Guards against missing host states, peers or totals in the printed status and bill. */
    @Test
    public void statusAndBillArePrinted() {
      assertEquals(runRemote("asha", "status"), ExitCode.DONE);
      assertTrue(out().contains("entry-1 in a (pnw): ready, revision 0"), out());
      assertTrue(out().contains("entry-2"), out());
      assertFalse(out().contains("stopped"), out());
      assertEquals(
          runRemote(
              "asha",
              "bill",
              "--account",
              "stalls",
              "--from",
              "2026-12-01T00:00:00Z",
              "--to",
              "2026-12-02T00:00:00Z"),
          ExitCode.DONE);
      assertTrue(out().contains("2 requests, total cost 70"), out());
    }
  }
}
