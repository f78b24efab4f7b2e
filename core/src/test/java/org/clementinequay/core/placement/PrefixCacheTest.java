package org.clementinequay.core.placement;

import static org.testng.Assert.assertEquals;

import java.util.List;
import java.util.stream.IntStream;
import org.testng.annotations.Test;

/** Guards against a heap that is filled with the parts of prompts, of which callers send many. */
public class PrefixCacheTest {
  private static final int PARTS = 3900;

  private static PromptPrefix prompt(int number) {
    List<PromptPrefix.Part> parts =
        IntStream.range(0, PARTS)
            .mapToObj(i -> new PromptPrefix.Part(number + "-" + i, 1))
            .toList();
    return new PromptPrefix("m", parts);
  }

  @Test
  public void veryLongPromptsAreKeptInPart() {
    PrefixCache cache = new PrefixCache();
    for (int i = 0; i < 3; i++) {
      cache.record(prompt(i), Long.MAX_VALUE);
      assertEquals(cache.size(), PrefixCache.MAX_PARTS);
    }
    PromptPrefix last = prompt(2);
    assertEquals(cache.cachedTokens(last, last.keys()), PrefixCache.MAX_PARTS);
  }
}
