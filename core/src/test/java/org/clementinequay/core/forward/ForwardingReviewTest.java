package org.clementinequay.core.forward;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.clementinequay.core.config.Finding;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against a configuration that is sent although parts of it have no effect. */
public class ForwardingReviewTest {
  private static final CallerLimits LIMITS = new CallerLimits(16_384, 4 << 20, 3000, 15_000);
  private static final ServiceProfile ENGINES =
      new ServiceProfile(
          "engines",
          100,
          Optional.of(
              new EngineProfile(
                  8,
                  100_000,
                  1,
                  List.of(
                      new EngineProfile.Model("small", 0.1),
                      new EngineProfile.Model("large", 1)))));

  private static Route.Builder route(String name) {
    return Route.builder(name)
        .host("a.example")
        .pathPrefix("/" + name + "/")
        .kind(RequestKind.RESUMABLE_STREAM)
        .timeoutMillis(5000)
        .latencyObjectiveMillis(1000)
        .eventGapObjectiveMillis(500)
        .maxAttempts(3)
        .targets(List.of(new Route.WeightedTarget("engines", 1)))
        .modelsBySize(List.of("small", "large"));
  }

  private static AccountKeys account(String name, String... keys) {
    return new AccountKeys(name, List.of(keys), OptionalInt.empty(), Set.of());
  }

  private static List<String> review(
      List<Route> routes,
      List<ServiceProfile> services,
      List<AccountKeys> accounts,
      CallerLimits limits) {
    ForwardingConfiguration configuration =
        new ForwardingConfiguration(
            1, new RouteTable(routes), services, Optional.of(accounts), limits);
    return ForwardingReview.review(configuration).stream().map(f -> f.format("f")).toList();
  }

  private static List<String> review(Route... routes) {
    return review(List.of(routes), List.of(ENGINES), List.of(account("a", "k")), LIMITS);
  }

  @Test
  public void soundConfigurationHasNoFindings() {
    assertEquals(review(route("one").build(), route("two").build()), List.of());
  }

  @DataProvider
  public Object[][] routes() {
    return new Object[][] {
      {
        route("r").targets(List.of(new Route.WeightedTarget("gone", 1))),
        "f: error: service \"gone\" is not defined (/routes/r)"
      },
      {
        route("r").pathPrefix("/x"),
        "f: error: never matches: the path must begin and end with a slash (/routes/r)"
      },
      {route("r").timeoutMillis(0), "f: error: the time limit must be above 0 ms: 0 (/routes/r)"},
      {
        route("r").timeoutMillis(900),
        "f: warning: the time limit of 900 ms ends before the objective of 1000 ms (/routes/r)"
      },
      {
        route("r").maxAttempts(1),
        "f: warning: no larger model is ever asked: one attempt is allowed (/routes/r)"
      },
      {
        route("r").modelsBySize(List.of("huge")),
        "f: error: service \"engines\" has no model \"huge\" (/routes/r)"
      },
      {
        route("r").kind(RequestKind.IDEMPOTENT),
        "f: warning: the objective for pauses has no effect: the answers are no streams (/routes/r)"
      },
      {
        route("r")
            .targets(
                List.of(
                    new Route.WeightedTarget("engines", 1),
                    new Route.WeightedTarget("engines", 0))),
        "f: warning: sends nothing to \"engines\": its weight is not above 0 (/routes/r)"
      },
    };
  }

  @Test(dataProvider = "routes")
  public void namesWhatIsWrongWithARoute(Route.Builder route, String finding) {
    assertEquals(review(route.build(), route("other").build()), List.of(finding));
  }

  @Test
  public void namesTheRouteThatAnotherOneHides() {
    Route hidden = route("first").pathPrefix("/same/").host("A.example").build();
    assertEquals(
        review(hidden, route("second").pathPrefix("/same/").build()),
        List.of(
            "f: warning: never matches: route \"second\" has the same host and path"
                + " (/routes/first)"));
  }

  @Test
  public void namesServicesAndAccountsWithoutUse() {
    ServiceProfile unused = new ServiceProfile("unused", 10, Optional.empty());
    AccountKeys distant =
        new AccountKeys("distant", List.of("k2"), OptionalInt.empty(), Set.of("east"));
    assertEquals(
        review(
            List.of(route("r").allowedRegions(Set.of("west")).build()),
            List.of(ENGINES, unused),
            List.of(account("a", "k"), account("b", "k"), account("c"), distant),
            LIMITS),
        List.of(
            "f: warning: no route leads to it (/services/unused)",
            "f: error: has an API key that account \"a\" has too (/accounts/b)",
            "f: warning: has no API key, so no request is its own (/accounts/c)",
            "f: warning: cannot use route \"r\": they have no allowed region in common"
                + " (/accounts/distant)"));
  }

  @Test
  public void namesLimitsThatNoRequestFits() {
    List<Finding> findings =
        ForwardingReview.review(
            new ForwardingConfiguration(
                1,
                new RouteTable(List.of()),
                List.of(),
                Optional.empty(),
                new CallerLimits(0, 1000, 0, 1000)));
    assertEquals(findings.size(), 2, findings.toString());
    assertEquals(
        review(
            List.of(route("r").build()),
            List.of(ENGINES),
            List.of(),
            new CallerLimits(100_000, 1000, 1000, 1000)),
        List.of("f: warning: no host takes a head above 65536 bytes (/limits)"));
  }
}
