package org.clementinequay.core.evacuation;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Set;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against domains that stay evacuated, or get requests although they are. */
public class EvacuatedDomainsTest {
  private static EvacuationReading all(String... domains) {
    return new EvacuationReading(List.of(domains), List.of(), true);
  }

  private static EvacuationReading change(List<String> takenBack, String... domains) {
    return new EvacuationReading(List.of(domains), takenBack, false);
  }

  @DataProvider
  public Object[][] readings() {
    return new Object[][] {
      // readings in order, domains that are evacuated afterwards
      {List.of(all()), List.of()},
      {List.of(all("b", "a")), List.of("a", "b")},
      {List.of(all("a"), EvacuationReading.UNCHANGED), List.of("a")},
      {List.of(all("a"), change(List.of(), "b")), List.of("a", "b")},
      {List.of(all("a", "b"), change(List.of("a"))), List.of("b")},
      {List.of(all("a", "b"), all("b")), List.of("b")},
      {List.of(all("a"), change(List.of("a")), change(List.of(), "a")), List.of("a")},
      {List.of(change(List.of("x"))), List.of()},
    };
  }

  @Test(dataProvider = "readings")
  public void lastReadingCounts(List<EvacuationReading> readings, List<String> expected) {
    EvacuatedDomains domains = new EvacuatedDomains();
    readings.forEach(reading -> domains.apply(reading, 0, 0));
    assertEquals(domains.names(), expected);
    expected.forEach(domain -> assertTrue(domains.contains(domain)));
  }

  @Test
  public void changesAreToldOnce() {
    EvacuatedDomains domains = new EvacuatedDomains();
    assertEquals(domains.apply(all("a"), 0, 0).evacuated(), List.of("a"));
    assertTrue(domains.apply(all("a"), 0, 5_000_000).isEmpty());
    assertEquals(domains.longestMillis(7_000_000), 7);
    assertEquals(domains.apply(all(), 0, 0).takenBack(), List.of("a"));
    assertEquals(domains.longestMillis(7_000_000), 0);
  }

  // Readings of peers arrive late, and after own ones.
  @Test
  public void olderReadingChangesNothing() {
    EvacuatedDomains domains = new EvacuatedDomains();
    domains.apply(all("a"), 500, 0);
    assertTrue(domains.apply(all(), 499, 0).isEmpty());
    assertEquals(domains.apply(all("b"), 501, 0).takenBack(), List.of("a"));
    assertEquals(domains.names(), List.of("b"));
  }

  @DataProvider
  public Object[][] regions() {
    return new Object[][] {
      // by route, by account, region, allowed
      {Set.of(), Set.of(), "", true},
      {Set.of("x"), Set.of(), "x", true},
      {Set.of("x"), Set.of(), "y", false},
      {Set.of("x", "y"), Set.of("y", "z"), "y", true},
      {Set.of("x", "y"), Set.of("y", "z"), "x", false},
      {Set.of(), Set.of("z"), "", false},
    };
  }

  @Test(dataProvider = "regions")
  public void bothLimitsOnRegionsBind(
      Set<String> byRoute, Set<String> byAccount, String region, boolean allowed) {
    assertEquals(new AllowedRegions(byRoute, byAccount).allow(region), allowed);
  }
}
