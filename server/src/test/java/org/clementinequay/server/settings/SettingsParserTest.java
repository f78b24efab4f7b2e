package org.clementinequay.server.settings;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests of settings and password hashes. */
public final class SettingsParserTest {
  private static final String SECRET = Base64.getEncoder().encodeToString(new byte[32]);
  private static final PasswordHash HASH =
      PasswordHash.create("pass".toCharArray(), 1_000, new SecureRandom());
  private static final String VALID =
      """
      {
        "name": "entry-1", "domain": "a", "region": "pnw",
        "listeners": {"callers": "0.0.0.0:8080", "operators": "[::1]:8081", "peers": "10.0.0.1:0"},
        "platform": {"tableService": "10.0.1.1:1", "objectStore": "10.0.1.1:2",
          "hostDirectory": "10.0.1.1:3", "ratingService": "10.0.1.1:4"},
        // The first signs.
        "sessionKeys": [{"id": "k1", "secret": "SECRET"}],
        "operators": [{"name": "asha", "passwordHash": "HASH"}]
      }
      """
          .replace("SECRET", SECRET)
          .replace("HASH", HASH.encode());

  /** Complete settings documents. */
  public static final class Documents {
    /** Guards against wrong defaults. */
    @Test
    public void missingKeysHaveDefaults() {
      ParsedSettings parsed = SettingsParser.parse(VALID);
      assertEquals(parsed.findings(), List.of());
      Settings settings = parsed.settings().orElseThrow();
      assertEquals(settings.weight(), 1.0);
      assertEquals(settings.drainSeconds(), 30);
      assertEquals(settings.timeouts(), new Settings.Timeouts(2_000, 10_000, 30_000));
      assertEquals(settings.tls(), Optional.empty());
    }

    /** Guards against errors that are reported only after an earlier one was fixed. */
    @Test
    public void allErrorsAreReportedTogether() {
      String text =
          VALID
              .replace("\"domain\": \"a\"", "\"domian\": \"a\"")
              .replace("[::1]:8081", "0.0.0.0:8080")
              .replace("10.0.1.1:2", "store:2")
              .replace(SECRET, "c2hvcnQ=")
              .replace("pbkdf2-sha256", "md5")
              .replace("\"region\"", "\"tls\": {\"keyStore\": \"\"}, \"weight\": 0, \"region\"");
      ParsedSettings parsed = SettingsParser.parse(text);
      assertTrue(parsed.settings().isEmpty());
      assertEquals(
          parsed.findings().stream().map(f -> f.line() + " " + f.pointer()).toList(),
          List.of(
              "1 /domain",
              "2 /domian",
              "2 /tls/passwordFile",
              "2 /tls/keyStore",
              "2 /weight",
              "3 /listeners/operators",
              "4 /platform/objectStore",
              "7 /sessionKeys/0/secret",
              "8 /operators/0/passwordHash"));
    }

    /** Guards against secrets in logs. */
    @Test
    public void textFormHidesSecrets() {
      String text = SettingsParser.parse(VALID).settings().orElseThrow().toString();
      assertFalse(text.contains(SECRET));
      assertFalse(text.contains(HASH.encode()));
    }
  }

  /** Password hashes. */
  public static final class Passwords {
    /** Guards against a hash that accepts another password, or changes in its text form. */
    @Test
    public void onlyTheHashedPasswordMatches() {
      PasswordHash parsed = PasswordHash.parse(HASH.encode()).orElseThrow();
      assertTrue(parsed.matches("pass".toCharArray()));
      assertFalse(parsed.matches("Pass".toCharArray()));
      assertFalse(parsed.matches(new char[0]));
    }

    /** Guards against weak or malformed hashes, and against exceptions on them. */
    @Test
    public void malformedHashesAreRejected() {
      for (String text :
          List.of(
              "",
              "pbkdf2-sha256$1000",
              HASH.encode().replace("$1000$", "$1$"),
              HASH.encode().replace("$1000$", "$99999999$"),
              "pbkdf2-sha256$1000$!$!")) {
        assertEquals(PasswordHash.parse(text), Optional.empty(), text);
      }
    }
  }
}
