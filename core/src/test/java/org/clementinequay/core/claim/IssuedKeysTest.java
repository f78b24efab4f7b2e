package org.clementinequay.core.claim;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Optional;
import org.clementinequay.core.RefusalReason;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of keys that the router issues. */
public final class IssuedKeysTest {
  private ClaimFixture fixture;
  private ClaimService host;
  private IssuedKeys keys;

  @BeforeMethod
  public void createHost() {
    fixture = new ClaimFixture();
    host = fixture.host();
    keys = new IssuedKeys(host, fixture.clock, "pnw-1");
  }

  private Optional<ClaimResult> begin(IssuedKey key, String body) {
    return keys.begin(key, fixture.request(key.toString(), body));
  }

  private ClaimAttempt granted(IssuedKey key) {
    return ((ClaimResult.Granted) begin(key, "body").orElseThrow()).attempt();
  }

  /** Guards against a second execution, and a wait for the store, while the store is down. */
  @Test
  public void issuerDecidesWithoutTheStore() throws Exception {
    fixture.down = true;
    IssuedKey key = keys.issue("labelworks");
    ClaimAttempt attempt = granted(key);
    assertTrue(begin(key, "body").orElseThrow() instanceof ClaimResult.InProgress);
    keys.complete(attempt, ClaimFixture.answer("stamp"));
    assertEquals(
        begin(key, "body"), Optional.of(new ClaimResult.Completed(ClaimFixture.answer("stamp"))));
    assertEquals(
        begin(key, "other"),
        Optional.of(new ClaimResult.Refused(RefusalReason.IDEMPOTENCY_KEY_REUSED)));
  }

  /** Guards against an answer that is lost with its issuer although it was recorded. */
  @Test
  public void recordedAnswerIsFoundByOtherHosts() throws Exception {
    IssuedKey key = keys.issue("labelworks");
    keys.complete(granted(key), ClaimFixture.answer("stamp"));
    host.recordCompletions();
    assertEquals(begin(key, "body"), Optional.empty());
    assertEquals(
        fixture.host().lookUp(fixture.request(key.toString(), "body")),
        Optional.of(new ClaimResult.Completed(ClaimFixture.answer("stamp"))));
  }

  /** Guards against a first use of a key that the issuer may have forgotten to have used. */
  @Test
  public void expiredKeyIsNotGranted() throws Exception {
    IssuedKey key = keys.issue("labelworks");
    fixture.clock.advance(IssuedKeys.LIFETIME.plus(Duration.ofSeconds(1)));
    assertEquals(begin(key, "body"), Optional.empty());
  }

  /** Guards against a key of one account that another account uses. */
  @Test
  public void otherAccountIsNotGranted() throws Exception {
    assertEquals(begin(keys.issue("another account"), "body"), Optional.empty());
  }

  /** Guards against a key that stays blocked although nothing was sent. */
  @Test
  public void releasedKeyCanBeUsed() throws Exception {
    IssuedKey key = keys.issue("labelworks");
    keys.release(granted(key));
    keys.release(granted(key));
  }

  /** Guards against callers' keys that are taken for issued ones. */
  @Test
  public void textFormIsExact() throws Exception {
    IssuedKey key = keys.issue("labelworks");
    assertEquals(IssuedKey.parse(key.toString()), Optional.of(key));
    assertEquals(IssuedKey.parse(key + "x"), Optional.empty());
    assertEquals(IssuedKey.parse("order-17"), Optional.empty());
  }
}
