package org.clementinequay.server.gateway;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.IntStream;
import org.clementinequay.core.forward.CallerLimits;
import org.clementinequay.core.forward.EngineProfile;
import org.clementinequay.core.forward.ForwardingConfiguration;
import org.clementinequay.core.forward.RequestKind;
import org.clementinequay.core.forward.RouteTable;
import org.clementinequay.core.forward.ServiceProfile;
import org.clementinequay.core.rollout.ShiftOrder;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards the use of engines of their own for long prompts. */
public class PromptLaneTest {
  private static final int ENGINES = 14;
  private static final int ENGINE_MEMORY_TOKENS = 500_000;

  /** Returns the engines to which requests with a prompt of the given length go. */
  private static Set<String> engines(GatewayFixture fixture, int tokens) {
    Set<String> engines = new TreeSet<>();
    for (int i = 0; i < 100; i++) {
      fixture.promptParts =
          List.of(new PromptPart("shared", tokens), new PromptPart("own" + i, 10));
      fixture.start(RequestKind.RESUMABLE_STREAM, List.of("large"));
      engines.add(fixture.lastAttempt().headers.get("instance"));
    }
    return engines;
  }

  private static GatewayFixture fixture(int promptLaneEngines) {
    GatewayFixture fixture =
        GatewayFixture.with(
            builder -> builder.promptLaneEngines(promptLaneEngines).promptCache(false));
    EngineProfile engine =
        new EngineProfile(
            8, ENGINE_MEMORY_TOKENS, 1, List.of(new EngineProfile.Model("large", 0.25)));
    fixture.gateway.configure(
        new ForwardingConfiguration(
            2,
            new RouteTable(List.of()),
            List.of(new ServiceProfile("s", 10, Duration.ZERO, 0, Optional.of(engine))),
            Optional.empty(),
            new CallerLimits(1000, 1000, 1000, 1000)));
    fixture.gateway.updateInstances(
        IntStream.range(0, ENGINES).mapToObj(i -> GatewayFixture.instance("e" + i)).toList());
    return fixture;
  }

  @Test
  public void longPromptsKeepToEnginesOfTheirOwn() {
    GatewayFixture fixture = fixture(12);
    Set<String> longPrompts = engines(fixture, 20_000);
    Set<String> shortPrompts = engines(fixture, 500);
    assertTrue(longPrompts.size() > 1 && shortPrompts.size() > 1, longPrompts + " " + shortPrompts);
    assertTrue(longPrompts.size() < ENGINES, longPrompts.toString());
  }

  @Test
  public void withoutTheSettingEveryEngineTakesEveryPrompt() {
    assertEquals(engines(fixture(0), 20_000).size(), ENGINES);
    assertEquals(engines(fixture(0), 500).size(), ENGINES);
  }

  // Replays a good version that was rolled back: the lanes of its engines were not those of the old
  // one.
  @Test
  public void whileVersionsAreComparedEveryEngineTakesEveryPrompt() {
    GatewayFixture fixture = fixture(12);
    fixture.gateway.applyOrder(new ShiftOrder("s", "v2", Duration.ofSeconds(24), 1));
    assertEquals(engines(fixture, 20_000).size(), ENGINES);
  }

  @Test
  public void nothingIsInBothLanesWhileTheDemandStays() {
    GatewayFixture fixture = fixture(12);
    engines(fixture, 20_000);
    engines(fixture, 500);
    Set<String> shortPrompts = engines(fixture, 500);
    Set<String> longPrompt = new TreeSet<>();
    fixture.promptParts = List.of(new PromptPart("shared", 20_000), new PromptPart("own", 10));
    fixture.start(RequestKind.RESUMABLE_STREAM, List.of("large"));
    longPrompt.add(fixture.lastAttempt().headers.get("instance"));
    assertTrue(Collections.disjoint(longPrompt, shortPrompts), longPrompt + " " + shortPrompts);
  }

  @DataProvider
  public Object[][] settings() {
    return new Object[][] {
      {"\"promptCache\":true", 0},
      {"\"promptLaneEngines\":null", 0},
      {"\"promptLaneEngines\":-1", 0},
      {"\"promptLaneEngines\":\"12\"", 0},
      {"\"promptLaneEngines\":1e300", 0},
      {"\"promptLaneEngines\":12.5", 0},
      {"\"promptLaneEngines\":12", 12},
    };
  }

  @Test(dataProvider = "settings")
  public void lanesAreOnOnlyIfTheSettingsSaySo(String fields, int engines)
      throws InvalidSettingsException {
    String text =
        """
        {"name":"h","domain":"d","region":"r","callers":"h:1","ready":"h:2","peers":"h:3",
        "store":"h:4","stopSeconds":1,"retryWindowSeconds":1,%s}"""
            .formatted(fields);
    assertEquals(GatewaySettings.parse(text).enginesForPromptLanes(), engines);
  }
}
