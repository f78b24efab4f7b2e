package org.clementinequay.server.operator;

import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.security.SecureRandom;
import java.util.List;
import org.clementinequay.server.settings.PasswordHash;
import org.clementinequay.server.settings.Settings;
import org.testng.annotations.Test;

/** Tests of the limits on password checks. */
public final class OperatorAuthenticatorTest {
  private static List<Settings.OperatorLogin> operators() {
    PasswordHash hash = PasswordHash.create("quay".toCharArray(), 1_000, new SecureRandom());
    return List.of(new Settings.OperatorLogin("asha", hash.encode()));
  }

  /** Guards against a flood of wrong passwords that blocks the threads of the readiness check. */
  @Test
  public void checkFailsAtOnceWithoutFreePermit() {
    OperatorAuthenticator full = new OperatorAuthenticator(operators(), 0, 0);
    assertThrows(PasswordChecksBusyException.class, () -> full.checkPassword("asha", "quay"));
  }

  /** Guards against permits that are not released after a check. */
  @Test
  public void permitsAreReturned() throws Exception {
    OperatorAuthenticator single = new OperatorAuthenticator(operators(), 1, 0);
    for (int i = 0; i < 3; i++) {
      single.checkPassword("asha", "wrong");
    }
    assertTrue(single.checkPassword("asha", "quay"));
  }
}
