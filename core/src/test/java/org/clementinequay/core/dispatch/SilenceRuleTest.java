package org.clementinequay.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.clementinequay.core.dispatch.SilenceRule.Evidence;
import org.clementinequay.core.forward.RequestKind;
import org.clementinequay.core.forward.Route;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against requests that busy engines lose because they move on the silence of one of them.
 */
public class SilenceRuleTest {
  private static final Route ROUTE =
      Route.builder("r")
          .kind(RequestKind.RESUMABLE_STREAM)
          .latencyObjectiveMillis(3000)
          .eventGapObjectiveMillis(1000)
          .build();

  @DataProvider
  public static Object[][] silences() {
    return new Object[][] {
      {Evidence.NONE, false, 2399, 0, false},
      {Evidence.NONE, false, 2400, 0, true},
      {Evidence.UNREACHABLE, false, 1050, 2000, true},
      {Evidence.ACCEPTS_CONNECTIONS, false, 2399, 100, false},
      {Evidence.ACCEPTS_CONNECTIONS, false, 2400, 100, true},
      {Evidence.ACCEPTS_CONNECTIONS, false, 1799, 1500, false},
      {Evidence.ACCEPTS_CONNECTIONS, false, 1800, 1500, true},
      {Evidence.ACCEPTS_CONNECTIONS, false, 1999, 1000, false},
      {Evidence.ACCEPTS_CONNECTIONS, false, 2000, 1000, true},
      {Evidence.ACCEPTS_CONNECTIONS, false, 5900, 2000, false},
      {Evidence.ACCEPTS_CONNECTIONS, false, 6000, 1e9, true},
      {Evidence.UNREACHABLE, true, 600, 0, true},
      {Evidence.ACCEPTS_CONNECTIONS, true, 1900, 0, false},
      {Evidence.ACCEPTS_CONNECTIONS, true, 2000, 0, true},
    };
  }

  @Test(dataProvider = "silences")
  public void movesOnEvidence(
      Evidence evidence, boolean begun, long millis, double usual, boolean moves) {
    SilenceRule.Silence silence = new SilenceRule.Silence(begun, millis, usual);
    assertEquals(SilenceRule.moves(ROUTE, silence, evidence), moves);
  }

  /** A wave of prompts for 40 engines, which read all their prompts at the same time. */
  public static class Waves {
    private static final int ENGINES = 40;
    private static final int STEP_MILLIS = 20;
    private static final int READING_MILLIS = 300;
    private static final int MAX_ATTEMPTS = 3;

    private static final class Prompt {
      int host;
      int engine;
      long arrived;
      long sent;
      int attempts;
      double left;
    }

    private final SplittableRandom random = new SplittableRandom(5);
    private final Map<Integer, Long> heard = new HashMap<>();
    private final List<List<Prompt>> engines = new ArrayList<>();
    private int inTime;

    @DataProvider
    public static Object[][] hosts() {
      return new Object[][] {{9}, {111}, {300}};
    }

    @Test(dataProvider = "hosts")
    public void moreAreReadInTimeThanIfSilenceMovesThem(int hosts) {
      int before = new Waves().play(hosts, false);
      int after = new Waves().play(hosts, true);
      assertTrue(after >= before, hosts + " hosts: " + after + " against " + before);
      assertTrue(hosts == 9 || after >= 1.1 * before, hosts + ": " + after + " of " + before);
    }

    private int play(int hosts, boolean evidence) {
      for (int i = 0; i < ENGINES; i++) {
        engines.add(new ArrayList<>());
      }
      for (long now = 0; now < 30_000; now += STEP_MILLIS) {
        // The engines read 133 prompts a second; the wave brings 170 for four seconds.
        double rate = now >= 4000 && now < 8000 ? 170 : 90;
        for (double due = rate * STEP_MILLIS / 1000; random.nextDouble() < due; due--) {
          arrive(hosts, now);
        }
        read(now);
        if (now % 100 == 0) {
          check(now, evidence);
        }
      }
      return inTime;
    }

    private void arrive(int hosts, long now) {
      Prompt prompt = new Prompt();
      prompt.host = random.nextInt(hosts);
      prompt.arrived = now;
      send(prompt, now);
    }

    private void send(Prompt prompt, long now) {
      prompt.engine = random.nextInt(ENGINES);
      prompt.sent = now;
      prompt.attempts++;
      prompt.left = READING_MILLIS;
      engines.get(prompt.engine).add(prompt);
    }

    private void read(long now) {
      for (List<Prompt> reading : engines) {
        double each = (double) STEP_MILLIS / Math.max(1, reading.size());
        reading.forEach(prompt -> prompt.left -= each);
        for (Prompt prompt : reading) {
          if (prompt.left <= 0) {
            heard.put(prompt.host * ENGINES + prompt.engine, now);
            inTime += now - prompt.arrived <= ROUTE.latencyObjectiveMillis() ? 1 : 0;
          }
        }
        reading.removeIf(prompt -> prompt.left <= 0);
      }
    }

    private void check(long now, boolean evidence) {
      for (Prompt prompt : engines.stream().flatMap(List::stream).toList()) {
        long silence = now - prompt.sent;
        long last = heard.getOrDefault(prompt.host * ENGINES + prompt.engine, 0L);
        StallRule.Progress progress =
            new StallRule.Progress(
                false, READING_MILLIS, false, silence, Math.min(silence, now - last));
        if (prompt.attempts < MAX_ATTEMPTS
            && StallRule.isStalled(ROUTE, progress)
            && (!evidence
                || SilenceRule.moves(
                    ROUTE,
                    new SilenceRule.Silence(false, silence, 1500),
                    Evidence.ACCEPTS_CONNECTIONS))) {
          engines.get(prompt.engine).remove(prompt);
          send(prompt, now);
        }
      }
    }
  }
}
