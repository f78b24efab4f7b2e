package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.clementinequay.core.coldstart.ColdStartBound;
import org.clementinequay.core.coldstart.ColdStartLimiter;
import org.clementinequay.core.evacuation.EvacuationReading;
import org.clementinequay.core.forward.CallerLimits;
import org.clementinequay.core.forward.ForwardingConfiguration;
import org.clementinequay.core.forward.RequestKind;
import org.clementinequay.core.forward.RouteTable;
import org.clementinequay.core.forward.ServiceProfile;
import org.clementinequay.core.forward.UpstreamInstance;
import org.eclipse.jetty.http.HttpHeader;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests to upstreams that must not get them, at the last step before a send. */
public class AcceptedUpstreamsTest {
  private static UpstreamInstance instance(String id, String domain, long coldMillis) {
    return new UpstreamInstance(id, "s", "10.0.0.1:1", domain, "v1", 8, false, 1, coldMillis);
  }

  private static void evacuate(Gateway gateway, String... domains) {
    gateway.applyEvacuations(new EvacuationReading(List.of(domains), List.of(), true), 0, "test");
  }

  private static String upstream(GatewayFixture fixture) {
    return fixture.lastAttempt().headers.get("instance");
  }

  /** Upstreams of failure domains that are evacuated. */
  public static class Evacuated {
    private GatewayFixture fixture;

    @BeforeMethod
    public void start() {
      fixture = new GatewayFixture();
      fixture.gateway.updateInstances(List.of(instance("a", "x", 0), instance("b", "y", 0)));
    }

    @DataProvider
    public Object[][] kinds() {
      return new Object[][] {
        {RequestKind.AT_MOST_ONCE, OptionalLong.empty()},
        {RequestKind.IDEMPOTENT, OptionalLong.empty()},
        {RequestKind.RESUMABLE_STREAM, OptionalLong.of(7)},
      };
    }

    @Test(dataProvider = "kinds")
    public void requestThatWaitsGoesElsewhere(RequestKind kind, OptionalLong lastEventId) {
      fixture.lastEventId = lastEventId;
      fixture.start(kind, List.of());
      String first = upstream(fixture);
      evacuate(fixture.gateway, first.equals("a") ? "x" : "y");
      assertFalse(fixture.lastAttempt().isStillNeeded());
      fixture.lastAttempt().fail(false);
      assertEquals(upstream(fixture), first.equals("a") ? "b" : "a");
      assertTrue(fixture.lastAttempt().isStillNeeded());
      assertEquals(fixture.gateway.health.state(first), "healthy");
    }

    @Test
    public void retryGoesElsewhereAndRunningWorkGoesOn() {
      fixture.start(RequestKind.IDEMPOTENT, List.of());
      String first = upstream(fixture);
      assertTrue(fixture.lastAttempt().isStillNeeded());
      evacuate(fixture.gateway, "x", "y");
      assertFalse(fixture.lastAttempt().abandoned);
      fixture.lastAttempt().fail(true);
      assertEquals(fixture.sent.size(), 1);
      evacuate(fixture.gateway, first.equals("a") ? "x" : "y");
      fixture.start(RequestKind.IDEMPOTENT, List.of());
      assertEquals(upstream(fixture), first.equals("a") ? "b" : "a");
    }

    @Test
    public void refusalIsTruthfulIfEveryDomainIsEvacuated() {
      evacuate(fixture.gateway, "x", "y");
      fixture.start(RequestKind.AT_MOST_ONCE, List.of());
      assertTrue(fixture.sent.isEmpty());
      assertEquals(fixture.response.status, 503);
      assertNotNull(fixture.response.headers.get(HttpHeader.RETRY_AFTER));
    }

    @Test
    public void domainThatIsTakenBackIsUsedAgain() {
      evacuate(fixture.gateway, "x", "y");
      evacuate(fixture.gateway, "y");
      fixture.start(RequestKind.AT_MOST_ONCE, List.of());
      assertEquals(upstream(fixture), "a");
    }
  }

  /** Upstreams that have just started. */
  public static class Cold {
    private static final Duration SETTLED = Duration.ofSeconds(4);
    private GatewayFixture fixture;

    /** Starts a host that is the only member, so that all slots are its own. */
    @BeforeMethod
    public void start() {
      ColdStartLimiter limiter =
          new ColdStartLimiter("h1", Optional.of(new ColdStartBound(0.5, 0)));
      fixture = GatewayFixture.with(builder -> builder.coldStarts(limiter));
      limiter.updateMembers(List.of("h1"), fixture.clock.nanoTime());
      fixture.clock.advance(SETTLED);
      fixture.gateway.updateInstances(List.of(instance("a", "x", 0), instance("b", "y", 0)));
    }

    /** Returns the upstreams that get requests of a herd. */
    private List<String> sendHerd() {
      fixture.sent.clear();
      for (int i = 0; i < 20; i++) {
        fixture.start(RequestKind.AT_MOST_ONCE, List.of());
      }
      List<String> reached = new ArrayList<>();
      for (int i = 0; i < fixture.sent.size(); i++) {
        GatewayFixture.SentAttempt attempt = fixture.sent.get(i);
        if (attempt.isStillNeeded()) {
          reached.add(attempt.headers.get("instance"));
        } else {
          attempt.fail(false);
        }
      }
      return reached;
    }

    private void assertHerdIsBounded() {
      List<String> reached = sendHerd();
      // 10 x 0.5 may arrive; half of that is shared out.
      assertTrue(reached.stream().filter("a"::equals).count() <= 2, reached.toString());
      assertEquals(reached.size(), 20);
    }

    @Test
    public void herdGoesElsewhere() {
      fixture.gateway.updateInstances(List.of(instance("a", "x", 3000), instance("b", "y", 0)));
      assertHerdIsBounded();
      fixture.clock.advance(Duration.ofSeconds(4));
      assertTrue(sendHerd().stream().filter("a"::equals).count() > 2);
    }

    // The entry does not tell yet that the upstreams have become cold.
    @Test
    public void herdAfterAnEvacuationGoesElsewhere() {
      evacuate(fixture.gateway, "x");
      evacuate(fixture.gateway);
      assertHerdIsBounded();
    }

    @Test
    public void restartedUpstreamWithAnEntryThatDoesNotTellIsCold() {
      UpstreamInstance restarted =
          new UpstreamInstance("a", "s", "10.0.0.1:1", "x", "v1", 8, false, 2);
      fixture.gateway.updateInstances(List.of(restarted, instance("b", "y", 0)));
      assertHerdIsBounded();
    }

    @Test
    public void upstreamOfAServiceThatIsConfiguredLaterIsCold() {
      fixture.gateway.updateInstances(
          List.of(new UpstreamInstance("n", "new", "10.0.0.1:1", "x", "v1", 8, false, 1, 3000L)));
      fixture.gateway.configure(
          new ForwardingConfiguration(
              2,
              new RouteTable(List.of()),
              List.of(new ServiceProfile("new", 10, Duration.ofSeconds(3), 10, Optional.empty())),
              Optional.empty(),
              new CallerLimits(1000, 1000, 1000, 1000)));
      assertEquals(fixture.gateway.coldStarts.coldUpstreams(fixture.clock.nanoTime()), 1);
    }

    @Test
    public void refusalIsTruthfulIfEveryUpstreamIsCold() {
      fixture.gateway.updateInstances(List.of(instance("a", "x", 3000), instance("b", "y", 3000)));
      assertEquals(sendHerd().size(), 4);
      assertEquals(fixture.response.status, 503);
    }
  }

  /** Requests that may be served in some regions only. */
  public static class Regions {
    @Test
    public void requestStaysInItsRegionsOrIsRefused() {
      GatewayFixture fixture =
          GatewayFixture.with(builder -> builder.regions(Map.of("x", "r1", "y", "r2")));
      fixture.gateway.updateInstances(
          List.of(instance("a", "x", 0), instance("b", "y", 0), instance("c", "unknown", 0)));
      fixture.allowedRegions = Set.of("r2");
      fixture.start(RequestKind.IDEMPOTENT, List.of());
      assertEquals(upstream(fixture), "b");
      fixture.lastAttempt().fail(true);
      assertEquals(fixture.sent.size(), 1, "no second attempt in another region");
      evacuate(fixture.gateway, "y");
      fixture.start(RequestKind.AT_MOST_ONCE, List.of());
      assertEquals(fixture.sent.size(), 1);
      assertEquals(fixture.response.status, 503);
    }
  }
}
