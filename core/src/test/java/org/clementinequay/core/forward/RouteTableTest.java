package org.clementinequay.core.forward;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Guards against requests that are forwarded to the wrong service. */
public class RouteTableTest {
  private static Route route(String name, String host, String prefix) {
    return Route.builder(name)
        .host(host)
        .pathPrefix(prefix)
        .targets(List.of(new Route.WeightedTarget("s-" + name, 1)))
        .build();
  }

  private static final RouteTable TABLE =
      new RouteTable(
          List.of(
              route("short", "a.example", "/x/"),
              route("long", "a.example", "/x/y/"),
              route("other", "b.example", "/x/y/z/")));

  private static Optional<String> findRouteName(String host, String path) {
    return TABLE.find(host, path).map(Route::name);
  }

  /** Selection among the routes of one host name. */
  public static class Prefixes {
    @Test
    public void longestPrefixWins() {
      assertEquals(findRouteName("a.example", "/x/y/1"), Optional.of("long"));
      assertEquals(findRouteName("a.example", "/x/1"), Optional.of("short"));
    }

    @Test
    public void prefixEndsAtSlash() {
      assertEquals(findRouteName("a.example", "/x/yy"), Optional.of("short"));
      assertTrue(findRouteName("a.example", "/xx/").isEmpty());
      assertTrue(findRouteName("a.example", "/x").isEmpty());
    }

    @Test
    public void pathMayBeThePrefixItself() {
      assertEquals(findRouteName("a.example", "/x/y/"), Optional.of("long"));
    }
  }

  /** Matching of host names. */
  public static class Hosts {
    @Test
    public void routesOfOtherHostsDoNotMatch() {
      assertEquals(findRouteName("b.example", "/x/y/z/1"), Optional.of("other"));
      assertTrue(findRouteName("b.example", "/x/y/1").isEmpty());
      assertTrue(findRouteName("c.example", "/x/").isEmpty());
    }

    @Test
    public void caseAndPortAreIgnored() {
      assertEquals(findRouteName("A.Example:80", "/x/1"), Optional.of("short"));
    }
  }

  /** Weighted split of a route over services. */
  public static class Split {
    @Test
    public void selectionFollowsTheWeights() {
      Route split =
          Route.builder("split")
              .targets(
                  List.of(new Route.WeightedTarget("a", 90), new Route.WeightedTarget("b", 10)))
              .build();
      assertEquals(split.selectService(0), "a");
      assertEquals(split.selectService(0.89), "a");
      assertEquals(split.selectService(0.91), "b");
      assertEquals(split.selectService(0.999999), "b");
    }
  }
}
