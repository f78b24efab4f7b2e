package org.clementinequay.core.config;

import static org.clementinequay.core.config.SampleConfiguration.ENGINE;
import static org.clementinequay.core.config.SampleConfiguration.KEY;
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

/** Tests of the checks of a configuration. */
public final class ConfigurationValidatorTest {
  private static RouterConfiguration.Builder base() {
    return configuration().toBuilder();
  }

  private static RouterConfiguration upstream(String address, String domain, String... serves) {
    Upstream added =
        new Upstream("e2", UpstreamKind.ENGINE, address, domain, List.of(serves), 0, true);
    return base().upstreams(List.of(ENGINE, SERVICE, added)).build();
  }

  private static RouterConfiguration accounts(ClientAccount second) {
    return base().accounts(List.of(account(), second)).build();
  }

  /** One fault at a time. */
  public static final class SingleFaults {
    /** Guards against findings about a document that is right. */
    @Test
    public void validConfigurationHasNoFindings() {
      assertEquals(ConfigurationValidator.validate(configuration()), List.of());
      assertEquals(
          ConfigurationValidator.validate(RouterConfiguration.builder().build()), List.of());
    }

    /** Faulty configurations with the place and a part of the message of their finding. */
    @DataProvider
    public static Object[][] versionFaults() {
      VersionSpec live = new VersionSpec("v1", VersionState.LIVE, 0.5, 10, 30);
      VersionSpec withdrawn = V1.withState(VersionState.WITHDRAWN, 0);
      VersionSpec large = V2.withState(VersionState.ROLLING_OUT, 0.75);
      VersionSpec alsoLarge = new VersionSpec("v0", VersionState.ROLLING_OUT, 0.75, 1, 1);
      return new Object[][] {
        {withVersions(V0, live, V2), "/models/0/versions/1/share", "must be 0"},
        {withVersions(alsoLarge, V1, large), "/models/0/versions", "exceed 1"},
        {withVersions(V0, withdrawn, V2), "/models/0/versions", "no live one"},
        {withVersions(V0, withdrawn), "/models/0/versions", "takes no new work"},
        {withVersions(V1, V1, V2), "/models/0/versions/1/name", "more than once"},
        {
          base().cascades(List.of(new Cascade("auto", List.of("tiny"), 0.7))).build(),
          "/cascades/0/models/0",
          "\"tiny\" is not defined"
        },
        {
          base()
              .models(List.of(new Model("small", List.of(V0)), new Model("large", List.of(V0))))
              .build(),
          "/cascades/0/models",
          "no model with a live version"
        },
        {
          base().cascades(List.of(new Cascade("small", List.of("large"), 0.7))).build(),
          "/cascades/0/name",
          "also a model"
        },
        {
          base().cascades(List.of(new Cascade("auto", List.of("large"), Double.NaN))).build(),
          "/cascades/0/acceptScore",
          "from 0 to 1"
        },
      };
    }

    /** Faulty configurations with the place and a part of the message of their finding. */
    @DataProvider
    public static Object[][] otherFaults() {
      String otherKey = "cd".repeat(32);
      return new Object[][] {
        {upstream("localhost:80", "a"), "/upstreams/2/address", "not an IP address"},
        {upstream("10.0.0.256:80", "a"), "/upstreams/2/address", "not an IP address"},
        {upstream("10.0.0.2:0", "a"), "/upstreams/2/address", "not an IP address"},
        {upstream("10.0.0.1:8000", "a"), "/upstreams/2/address", "upstream \"e1\" too"},
        {upstream("10.0.0.2:1", "b"), "/upstreams/2/domain", "not defined"},
        {upstream("10.0.0.2:1", "a", "small@v9"), "/upstreams/2/serves/0", "not defined"},
        {upstream("10.0.0.2:1", "a", "stamp"), "/upstreams/2/serves/0", "not defined"},
        {upstream("10.0.0.2:1", "a"), "/upstreams/2/slots", "from 1"},
        {base().upstreams(List.of(SERVICE)).build(), "/models/0/versions/1", "no upstream serves"},
        {base().upstreams(List.of(ENGINE)).build(), "/routes/0", "no upstream serves"},
        {
          base().classes(List.of(new RequestClass("a/b", -1, 0, 1.5))).build(),
          "/classes/0/name",
          "not a name"
        },
        {
          base().classes(List.of(new RequestClass("a", -1, 0, 1.5))).build(),
          "/classes/0/priority",
          "from 0"
        },
        {
          base().routes(List.of(new Route("stamp", false, 0, 100))).build(),
          "/routes/0/timeoutMillis",
          "from 1"
        },
        {accounts(accountWith("b", "large").build()), "/accounts/1/apiKeySha256/0", "\"stalls\""},
        {
          accounts(accountWith("b", "large").apiKeySha256(KEY.toUpperCase(Locale.ROOT)).build()),
          "/accounts/1/apiKeySha256/0",
          "lower-case"
        },
        {
          accounts(accountWith("b", "small@v9").apiKeySha256(otherKey).build()),
          "/accounts/1/models/0",
          "not defined"
        },
        {
          accounts(accountWith("b").apiKeySha256(otherKey).build()),
          "/accounts/1/cascades/0",
          "lists no model"
        },
        {
          accounts(accountWith("b", "large").limits(new AccountLimits(0, 1, 1)).build()),
          "/accounts/1/limits/requestsPerSecond",
          "from 0.001"
        },
        {base().weights(new ObjectiveWeights(0, 0, 0)).build(), "/weights", "at least one"},
      };
    }

    /** Guards against a fault that is accepted, or reported at the wrong place. */
    @Test(dataProvider = "versionFaults")
    public void versionFaultIsReportedAtItsPlace(
        RouterConfiguration configuration, String pointer, String message) {
      otherFaultIsReportedAtItsPlace(configuration, pointer, message);
    }

    /** Guards against a fault that is accepted, or reported at the wrong place. */
    @Test(dataProvider = "otherFaults")
    public void otherFaultIsReportedAtItsPlace(
        RouterConfiguration configuration, String pointer, String message) {
      List<Finding> findings = ConfigurationValidator.validate(configuration);
      assertTrue(
          findings.stream()
              .anyMatch(f -> f.pointer().equals(pointer) && f.message().contains(message)),
          findings.toString());
    }
  }

  /** Several faults, and the weight of each. */
  public static final class Reports {
    /** Guards against a check that stops at the first fault. */
    @Test
    public void allFaultsAreReportedTogether() {
      RouterConfiguration faulty =
          base()
              .classes(List.of(new RequestClass("a b", -1, 0, 1.5)))
              .weights(new ObjectiveWeights(-1, 1, 1))
              .accounts(List.of(account(), accountWith("stalls", "tiny").limits(LIMITS).build()))
              .build();
      assertEquals(ConfigurationValidator.validate(faulty).size(), 9);
    }

    /** Guards against refusing a document for something that is only suspicious. */
    @Test
    public void unservedVersionIsOnlyWarnedOf() {
      List<Finding> findings = ConfigurationValidator.validate(base().upstreams(List.of()).build());
      assertEquals(findings.size(), 5);
      assertFalse(Finding.hasErrors(findings));
    }
  }
}
