package org.clementinequay.core.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.clementinequay.core.RefusalReason;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of idempotency keys that the router issues. */
public final class IssuedKeysTest {
  private ClaimFixture fixture;
  private ClaimService host;
  private IssuedKeys keys;

  @BeforeMethod
  public void createHost() {
    fixture = new ClaimFixture();
    host = fixture.newHost();
    keys = new IssuedKeys(host, fixture.clock, "pnw-1");
  }

  private Optional<ClaimResult> begin(IssuedKey key, String body) {
    return keys.begin(key, fixture.request(key.toString(), body));
  }

  private ClaimAttempt beginGranted(IssuedKey key) {
    return ((ClaimResult.Granted) begin(key, "body").orElseThrow()).attempt();
  }

  /** Guards against a second execution, and against waiting for the store, while it is down. */
  @Test
  public void issuerDecidesWithoutTheStore() throws Exception {
    fixture.down = true;
    IssuedKey key = keys.issue("labelworks");
    ClaimAttempt attempt = beginGranted(key);
    assertTrue(begin(key, "body").orElseThrow() instanceof ClaimResult.InProgress);
    keys.complete(attempt, ClaimFixture.answer("stamp"));
    assertEquals(
        begin(key, "body"), Optional.of(new ClaimResult.Completed(ClaimFixture.answer("stamp"))));
    assertEquals(
        begin(key, "other"),
        Optional.of(new ClaimResult.Refused(RefusalReason.IDEMPOTENCY_KEY_REUSED)));
  }

  /** Guards against a recorded answer that is lost with its issuer. */
  @Test
  public void recordedAnswerIsFoundByOtherHosts() throws Exception {
    IssuedKey key = keys.issue("labelworks");
    keys.complete(beginGranted(key), ClaimFixture.answer("stamp"));
    host.recordCompletions();
    assertEquals(begin(key, "body"), Optional.empty());
    assertEquals(
        fixture.newHost().lookUp(fixture.request(key.toString(), "body")),
        Optional.of(new ClaimResult.Completed(ClaimFixture.answer("stamp"))));
  }

  /** Guards against a second execution under a key whose first use was evicted from memory. */
  @Test
  public void expiredKeyIsNotGranted() throws Exception {
    IssuedKey key = keys.issue("labelworks");
    fixture.clock.advance(IssuedKeys.LIFETIME.plus(Duration.ofSeconds(1)));
    assertEquals(begin(key, "body"), Optional.empty());
  }

  /** Guards against the use of an issued key by another account. */
  @Test
  public void otherAccountIsNotGranted() throws Exception {
    assertEquals(begin(keys.issue("another account"), "body"), Optional.empty());
  }

  /** Guards against a key that stays blocked although nothing was sent. */
  @Test
  public void releasedKeyCanBeUsedAgain() throws Exception {
    IssuedKey key = keys.issue("labelworks");
    keys.release(beginGranted(key));
    keys.release(beginGranted(key));
  }

  /** Guards against keys made by callers that are parsed as issued keys. */
  @Test
  public void onlyExactTextFormIsParsed() throws Exception {
    IssuedKey key = keys.issue("labelworks");
    assertEquals(IssuedKey.parse(key.toString()), Optional.of(key));
    assertEquals(IssuedKey.parse(key + "x"), Optional.empty());
    assertEquals(IssuedKey.parse("order-17"), Optional.empty());
  }
}
