package org.clementinequay.core.config;

import static org.clementinequay.core.config.SampleConfiguration.V0;
import static org.clementinequay.core.config.SampleConfiguration.V1;
import static org.clementinequay.core.config.SampleConfiguration.V2;
import static org.clementinequay.core.config.SampleConfiguration.account;
import static org.clementinequay.core.config.SampleConfiguration.configuration;
import static org.clementinequay.core.config.SampleConfiguration.withVersions;
import static org.testng.Assert.assertEquals;

import java.util.List;
import org.testng.annotations.Test;

/** Tests of the differences between two configurations. */
public final class ConfigurationDiffTest {
  private static List<String> diff(RouterConfiguration before, RouterConfiguration after) {
    return ConfigurationDiff.between(before, after).stream()
        .map(ConfigurationDiff.Change::toString)
        .toList();
  }

  /** Guards against reported changes between equal documents. */
  @Test
  public void equalConfigurationsHaveNoChanges() {
    assertEquals(diff(configuration(), configuration()), List.of());
  }

  /** Guards against a state change that a handover omits, or reports by index instead of name. */
  @Test
  public void changedValuesAreReportedByItemName() {
    RouterConfiguration after =
        withVersions(V0.withState(VersionState.WITHDRAWN, 0), V1, V2.withState(V2.state(), 0.5));
    assertEquals(
        diff(configuration(), after),
        List.of(
            "~ /models/small/versions/v0/state: closing -> withdrawn",
            "~ /models/small/versions/v2/share: 0.25 -> 0.5"));
  }

  /** Guards against an inserted item that makes all later items look changed. */
  @Test
  public void addedAndRemovedItemsAreOneChangeEach() {
    RouterConfiguration before = configuration();
    RouterConfiguration after =
        before.toBuilder()
            .classes(List.of(new RequestClass("tag", 5, 100, 0.5), before.classes().get(0)))
            .routes(List.of())
            .build();
    assertEquals(
        diff(before, after),
        List.of(
            "+ /classes/tag: {name=tag, priority=5, deadlineMillis=100, qualityTarget=0.5}",
            "- /routes/stamp: {name=stamp, idempotent=false, timeoutMillis=5000,"
                + " costMicros=100}"));
  }

  /** Guards against a changed order or a changed list of strings that is not reported. */
  @Test
  public void changedOrderAndListsAreReported() {
    RouterConfiguration after =
        withVersions(V1, V0, V2).toBuilder()
            .accounts(List.of(SampleConfiguration.accountWith("stalls", "large").build()))
            .build();
    assertEquals(
        diff(configuration(), after),
        List.of(
            "~ /models/small/versions: order [v0, v1, v2] -> order [v1, v0, v2]",
            "~ /accounts/" + account().name() + "/models: [small, large] -> [large]"));
  }
}
