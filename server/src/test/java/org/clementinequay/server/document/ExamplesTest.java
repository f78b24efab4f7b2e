package org.clementinequay.server.document;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Predicate;
import org.clementinequay.core.config.RouterConfiguration;
import org.clementinequay.core.config.Upstream;
import org.clementinequay.core.config.UpstreamKind;
import org.clementinequay.server.settings.Settings;
import org.clementinequay.server.settings.SettingsParser;
import org.testng.annotations.Test;

/** Tests of the sample configurations and settings, and of the page that describes their keys. */
public final class ExamplesTest {
  private static final Path EXAMPLES = Path.of("..", "examples");

  private static String text(String name) throws Exception {
    return Files.readString(EXAMPLES.resolve(name));
  }

  /** Guards against sample configurations with findings or of the wrong size (R16, R17). */
  @Test
  public void sampleDocumentsHaveNoFindings() throws Exception {
    for (String name : List.of("pnw.json", "wa-south.json", "quickstart.json")) {
      assertEquals(DocumentParser.parse(text(name)).findings(), List.of(), name);
    }
    assertSize("pnw.json", 6);
    assertSize("wa-south.json", 8);
  }

  private static void assertSize(String name, long engines) throws Exception {
    RouterConfiguration sample = DocumentParser.parse(text(name)).configuration().orElseThrow();
    Predicate<Upstream> isEngine = upstream -> upstream.kind() == UpstreamKind.ENGINE;
    assertEquals(sample.domains().size(), 3);
    assertEquals(sample.upstreams().stream().filter(isEngine).count(), engines);
    assertEquals(sample.upstreams().stream().filter(isEngine.negate()).count(), 3);
    assertEquals(sample.accounts().size(), 10);
  }

  /** Guards against sample settings with findings. */
  @Test
  public void sampleSettingsHaveNoFindings() throws Exception {
    assertEquals(SettingsParser.parse(text("entry.json")).findings(), List.of());
  }

  /** Guards against keys that docs/configuration.md does not mention. */
  @Test
  public void pageNamesEveryKey() throws Exception {
    String page = Files.readString(Path.of("..", "docs", "configuration.md"));
    for (Class<?> type : List.of(RouterConfiguration.class, Settings.class)) {
      assertDocumented(type, page);
    }
  }

  private static void assertDocumented(Class<?> type, String page) {
    for (var component : type.getRecordComponents()) {
      assertTrue(page.contains("`" + component.getName() + "`"), type + " " + component);
      Class<?> nested = component.getType();
      if (component.getGenericType() instanceof java.lang.reflect.ParameterizedType generic) {
        nested = (Class<?>) generic.getActualTypeArguments()[0];
      }
      if (nested.isRecord()) {
        assertDocumented(nested, page);
      }
    }
  }
}
