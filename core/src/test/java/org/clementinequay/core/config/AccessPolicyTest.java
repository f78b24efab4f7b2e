package org.clementinequay.core.config;

import static org.clementinequay.core.config.SampleConfiguration.V0;
import static org.clementinequay.core.config.SampleConfiguration.V1;
import static org.clementinequay.core.config.SampleConfiguration.V2;
import static org.clementinequay.core.config.SampleConfiguration.account;
import static org.clementinequay.core.config.SampleConfiguration.accountWith;
import static org.clementinequay.core.config.SampleConfiguration.configuration;
import static org.clementinequay.core.config.SampleConfiguration.withVersions;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.clementinequay.core.ModelVersion;
import org.clementinequay.core.RefusalReason;
import org.testng.annotations.Test;

/** Tests of the access rights of client accounts. */
public final class AccessPolicyTest {
  private static final ModelVersion SMALL_V0 = new ModelVersion("small", "v0");
  private static final ModelVersion SMALL_V1 = new ModelVersion("small", "v1");
  private static final ModelVersion SMALL_V2 = new ModelVersion("small", "v2");

  private final AccessPolicy policy = new AccessPolicy(configuration());

  private static VersionShare share(ModelVersion version, VersionState state, double share) {
    return new VersionShare(version, state, share);
  }

  /** Guards against new sessions on closing or withdrawn versions, and against wrong shares. */
  @Test
  public void newSessionsGetLiveAndRollingOutVersionsByShare() {
    assertEquals(
        policy.versionsForNewSession(account(), "small", version -> true),
        List.of(
            share(SMALL_V1, VersionState.LIVE, 0.75),
            share(SMALL_V2, VersionState.ROLLING_OUT, 0.25)));
    VersionSpec second = V0.withState(VersionState.LIVE, 0);
    AccessPolicy twoLive = new AccessPolicy(withVersions(second, V1, V2));
    assertEquals(
        twoLive.versionsForNewSession(account(), "small", version -> true).get(0).share(),
        0.375,
        1e-12);
  }

  /** Guards against new sessions on a version that this host stopped, and against lost shares. */
  @Test
  public void sharesOfUnusableVersionsGoToLiveVersions() {
    assertEquals(
        policy.versionsForNewSession(account(), "small", version -> !version.equals(SMALL_V2)),
        List.of(share(SMALL_V1, VersionState.LIVE, 1)));
  }

  /** Guards against a pinned account that gets another version of the model (rule R1). */
  @Test
  public void pinnedAccountGetsOnlyItsVersion() {
    ClientAccount pinned = accountWith("p", "small@v2").build();
    assertEquals(
        policy.versionsForNewSession(pinned, "small", version -> true),
        List.of(share(SMALL_V2, VersionState.ROLLING_OUT, 1)));
    assertFalse(policy.allowsVersion(pinned, SMALL_V1));
    assertTrue(policy.allowsModel(pinned, "small"));
    assertFalse(policy.allowsModel(pinned, "smal"));
    assertEquals(
        policy.refusalForNewSession(pinned, "small", version -> false),
        Optional.of(RefusalReason.NO_LIVE_VERSION));
    assertEquals(
        policy.refusalForNewSession(pinned, "large", version -> true),
        Optional.of(RefusalReason.MODEL_NOT_ALLOWED));
    assertEquals(
        policy.refusalForNewSession(pinned, "tiny", version -> true),
        Optional.of(RefusalReason.UNKNOWN_MODEL));
  }

  /**
   * Guards against bound sessions that continue on a withdrawn version or end on any other: only
   * the state of the version decides (rules R2 and R3).
   */
  @Test
  public void boundSessionsContinueUnlessWithdrawn() {
    for (VersionState state : VersionState.values()) {
      AccessPolicy changed = new AccessPolicy(withVersions(V0.withState(state, 0), V1));
      Optional<RefusalReason> expected =
          state == VersionState.WITHDRAWN
              ? Optional.of(RefusalReason.SESSION_VERSION_WITHDRAWN)
              : Optional.empty();
      assertEquals(changed.refusalForBoundSession(account(), SMALL_V0), expected);
    }
    assertEquals(
        new AccessPolicy(withVersions(V1)).refusalForBoundSession(account(), SMALL_V0),
        Optional.of(RefusalReason.SESSION_VERSION_WITHDRAWN));
    assertEquals(
        policy.refusalForBoundSession(accountWith("p", "large").build(), SMALL_V0),
        Optional.of(RefusalReason.MODEL_NOT_ALLOWED));
  }

  /**
   * Guards against a cascade that gives access to models that the account does not list (rule R1).
   */
  @Test
  public void cascadeDoesNotExtendRights() {
    Cascade cascade = configuration().cascade("auto").orElseThrow();
    assertEquals(policy.cascadeModels(account(), cascade), List.of("small", "large"));
    assertEquals(
        policy.cascadeModels(accountWith("p", "large").build(), cascade), List.of("large"));
    assertEquals(
        policy.cascadeModels(ClientAccount.builder("q").models("large").build(), cascade),
        List.of());
  }

  /** Guards against an API key that is attributed to the wrong account. */
  @Test
  public void accountsAreFoundByKeyDigest() {
    assertEquals(policy.accountForApiKey(SampleConfiguration.KEY_HASH), Optional.of(account()));
    assertEquals(policy.accountForApiKey("cd".repeat(32)), Optional.empty());
  }
}
