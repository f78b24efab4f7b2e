package org.clementinequay.core.config;

import static org.clementinequay.core.config.SampleConfiguration.ENGINE;
import static org.clementinequay.core.config.SampleConfiguration.KEY_HASH;
import static org.clementinequay.core.config.SampleConfiguration.LIMITS;
import static org.clementinequay.core.config.SampleConfiguration.SERVICE;
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
import java.util.Locale;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of the validation of configurations. */
public final class ConfigurationValidatorTest {
  private static RouterConfiguration.Builder valid() {
    return configuration().toBuilder();
  }

  private static RouterConfiguration withUpstream(String address, String domain, String... serves) {
    Upstream added =
        new Upstream("e2", UpstreamKind.ENGINE, address, domain, List.of(serves), 0, true);
    return valid().upstreams(List.of(ENGINE, SERVICE, added)).build();
  }

  private static RouterConfiguration withAccount(ClientAccount second) {
    return valid().accounts(List.of(account(), second)).build();
  }

  /** Configurations with a single error. */
  public static final class SingleErrors {
    /** Guards against findings about a valid configuration. */
    @Test
    public void validConfigurationHasNoFindings() {
      assertEquals(ConfigurationValidator.validate(configuration()), List.of());
      assertEquals(
          ConfigurationValidator.validate(RouterConfiguration.builder().build()), List.of());
    }

    /**
     * Invalid configurations with the pointer and a part of the message of the expected finding.
     */
    @DataProvider
    public static Object[][] invalidVersionConfigurations() {
      VersionSpec liveWithShare = new VersionSpec("v1", VersionState.LIVE, 0.5, 10, 30);
      VersionSpec withdrawn = V1.withState(VersionState.WITHDRAWN, 0);
      VersionSpec largeShare = V2.withState(VersionState.ROLLING_OUT, 0.75);
      VersionSpec alsoLargeShare = new VersionSpec("v0", VersionState.ROLLING_OUT, 0.75, 1, 1);
      return new Object[][] {
        {withVersions(V0, liveWithShare, V2), "/models/0/versions/1/share", "must be 0"},
        {withVersions(alsoLargeShare, V1, largeShare), "/models/0/versions", "exceed 1"},
        {withVersions(V0, withdrawn, V2), "/models/0/versions", "no live one"},
        {withVersions(V0, withdrawn), "/models/0/versions", "takes no new work"},
        {withVersions(V1, V1, V2), "/models/0/versions/1/name", "more than once"},
        {
          valid().cascades(List.of(new Cascade("auto", List.of("tiny"), 0.7))).build(),
          "/cascades/0/models/0",
          "\"tiny\" is not defined"
        },
        {
          valid()
              .models(List.of(new Model("small", List.of(V0)), new Model("large", List.of(V0))))
              .build(),
          "/cascades/0/models",
          "no model with a live version"
        },
        {
          valid().cascades(List.of(new Cascade("small", List.of("large"), 0.7))).build(),
          "/cascades/0/name",
          "also a model"
        },
        {
          valid().cascades(List.of(new Cascade("auto", List.of("large"), Double.NaN))).build(),
          "/cascades/0/acceptScore",
          "from 0 to 1"
        },
      };
    }

    /**
     * Invalid configurations with the pointer and a part of the message of the expected finding.
     */
    @DataProvider
    public static Object[][] otherInvalidConfigurations() {
      String otherKey = "cd".repeat(32);
      return new Object[][] {
        {withUpstream("localhost:80", "a"), "/upstreams/2/address", "not an IP address"},
        {withUpstream("10.0.0.256:80", "a"), "/upstreams/2/address", "not an IP address"},
        {withUpstream("10.0.0.2:0", "a"), "/upstreams/2/address", "not an IP address"},
        {withUpstream("10.0.0.1:8000", "a"), "/upstreams/2/address", "upstream \"e1\" too"},
        {withUpstream("10.0.0.2:1", "b"), "/upstreams/2/domain", "not defined"},
        {withUpstream("10.0.0.2:1", "a", "small@v9"), "/upstreams/2/serves/0", "not defined"},
        {withUpstream("10.0.0.2:1", "a", "stamp"), "/upstreams/2/serves/0", "not defined"},
        {withUpstream("10.0.0.2:1", "a"), "/upstreams/2/slots", "from 1"},
        {valid().upstreams(List.of(SERVICE)).build(), "/models/0/versions/1", "no upstream serves"},
        {valid().upstreams(List.of(ENGINE)).build(), "/routes/0", "no upstream serves"},
        {
          valid().classes(List.of(new RequestClass("a/b", -1, 0, 1.5))).build(),
          "/classes/0/name",
          "not a name"
        },
        {
          valid().classes(List.of(new RequestClass("a", -1, 0, 1.5))).build(),
          "/classes/0/priority",
          "from 0"
        },
        {
          valid().routes(List.of(new Route("stamp", false, 0, 100))).build(),
          "/routes/0/timeoutMillis",
          "from 1"
        },
        {
          withAccount(accountWith("b", "large").build()), "/accounts/1/apiKeySha256/0", "\"stalls\""
        },
        {
          withAccount(
              accountWith("b", "large").apiKeySha256(KEY_HASH.toUpperCase(Locale.ROOT)).build()),
          "/accounts/1/apiKeySha256/0",
          "lower-case"
        },
        {
          withAccount(accountWith("b", "small@v9").apiKeySha256(otherKey).build()),
          "/accounts/1/models/0",
          "not defined"
        },
        {
          withAccount(accountWith("b").apiKeySha256(otherKey).build()),
          "/accounts/1/cascades/0",
          "lists no model"
        },
        {
          withAccount(accountWith("b", "large").limits(new AccountLimits(0, 1, 1)).build()),
          "/accounts/1/limits/requestsPerSecond",
          "from 0.001"
        },
        {valid().weights(new ObjectiveWeights(0, 0, 0)).build(), "/weights", "at least one"},
      };
    }

    /** Guards against an error that is missed or reported with the wrong pointer. */
    @Test(dataProvider = "invalidVersionConfigurations")
    public void versionErrorIsReportedAtItsPointer(
        RouterConfiguration configuration, String pointer, String message) {
      otherErrorIsReportedAtItsPointer(configuration, pointer, message);
    }

    /** Guards against an error that is missed or reported with the wrong pointer. */
    @Test(dataProvider = "otherInvalidConfigurations")
    public void otherErrorIsReportedAtItsPointer(
        RouterConfiguration configuration, String pointer, String message) {
      List<Finding> findings = ConfigurationValidator.validate(configuration);
      assertTrue(
          findings.stream()
              .anyMatch(f -> f.pointer().equals(pointer) && f.message().contains(message)),
          findings.toString());
    }
  }

  /** Several findings in one configuration, and their severity. */
  public static final class Reports {
    /** Guards against a validation that stops at the first error. */
    @Test
    public void allErrorsAreReportedTogether() {
      RouterConfiguration invalid =
          valid()
              .classes(List.of(new RequestClass("a b", -1, 0, 1.5)))
              .weights(new ObjectiveWeights(-1, 1, 1))
              .accounts(List.of(account(), accountWith("stalls", "tiny").limits(LIMITS).build()))
              .build();
      assertEquals(ConfigurationValidator.validate(invalid).size(), 9);
    }

    /** Guards against rejecting a document for something that deserves only a warning. */
    @Test
    public void unservedVersionIsOnlyAWarning() {
      List<Finding> findings =
          ConfigurationValidator.validate(valid().upstreams(List.of()).build());
      assertEquals(findings.size(), 5);
      assertFalse(Finding.hasErrors(findings));
    }
  }
}
