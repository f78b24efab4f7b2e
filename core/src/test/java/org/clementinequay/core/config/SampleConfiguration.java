package org.clementinequay.core.config;

import java.util.List;

/** A small valid configuration for tests. */
final class SampleConfiguration {
  static final String KEY_HASH = "ab".repeat(32);
  static final AccountLimits LIMITS = new AccountLimits(10, 20, 5);
  static final VersionSpec V1 = new VersionSpec("v1", VersionState.LIVE, 0, 10, 30);
  static final VersionSpec V2 = new VersionSpec("v2", VersionState.ROLLING_OUT, 0.25, 12, 36);
  static final VersionSpec V0 = new VersionSpec("v0", VersionState.CLOSING, 0, 10, 30);
  static final Upstream ENGINE =
      new Upstream(
          "e1",
          UpstreamKind.ENGINE,
          "10.0.0.1:8000",
          "a",
          List.of("small@v0", "small@v1", "small@v2", "large@v1"),
          8,
          true);
  static final Upstream SERVICE =
      new Upstream("s1", UpstreamKind.SERVICE, "[fd00::1]:8000", "a", List.of("stamp"), 8, false);

  private SampleConfiguration() {}

  static RouterConfiguration configuration() {
    return RouterConfiguration.builder()
        .domains(List.of(new Domain("a", "pnw")))
        .classes(List.of(new RequestClass("sheet", 0, 60_000, 0.9)))
        .models(List.of(new Model("small", List.of(V0, V1, V2)), new Model("large", List.of(V1))))
        .cascades(List.of(new Cascade("auto", List.of("small", "large"), 0.7)))
        .routes(List.of(new Route("stamp", false, 5_000, 100)))
        .upstreams(List.of(ENGINE, SERVICE))
        .accounts(List.of(account()))
        .build();
  }

  static ClientAccount account() {
    return accountWith("stalls", "small", "large").build();
  }

  static ClientAccount.Builder accountWith(String name, String... models) {
    return ClientAccount.builder(name)
        .apiKeySha256(KEY_HASH)
        .models(models)
        .cascades("auto")
        .routes("stamp")
        .limits(LIMITS);
  }

  static RouterConfiguration withVersions(VersionSpec... versions) {
    return configuration().toBuilder()
        .models(List.of(new Model("small", List.of(versions)), new Model("large", List.of(V1))))
        .build();
  }
}
