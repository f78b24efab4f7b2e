package org.clementinequay.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.DoubleStream;
import org.clementinequay.core.admission.AdmissionPolicy.Decision;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Decisions about requests for which there is too little room. */
public class AdmissionTest {
  private static final long MILLI = 1_000_000;

  /** Guards against waits that cannot help and against rejections while there is room. */
  public static class Policy {
    @DataProvider
    public static Object[][] demands() {
      return new Object[][] {
        // remaining, objective, waited, fastest, room
        {5000, 3000, 0, 0.0, true, Decision.START},
        {5000, 3000, 0, 4999.0, true, Decision.START},
        {5000, 3000, 0, 5001.0, true, Decision.REJECT},
        {5000, 3000, 0, 0.0, false, Decision.WAIT},
        {5000, 3000, 1249, 0.0, false, Decision.WAIT},
        {20_000, 3000, 1500, 0.0, false, Decision.REJECT},
        {600, 3000, 200, 0.0, false, Decision.REJECT},
        {9000, 0, 499, 0.0, false, Decision.WAIT},
        {9000, 0, 500, 0.0, false, Decision.REJECT},
      };
    }

    @Test(dataProvider = "demands")
    public void decides(
        long remaining, long objective, long waited, double fastest, boolean room, Decision is) {
      AdmissionPolicy.Demand demand =
          new AdmissionPolicy.Demand(remaining, objective, waited, fastest, room);
      assertEquals(AdmissionPolicy.decide(demand), is);
    }
  }

  /** Guards against a queue that grows without bound or forgets what is urgent. */
  public static class Queue {
    @Test
    public void urgentAndReturningRequestsComeFirst() {
      WaitingRequests<String> waiting = new WaitingRequests<>(3);
      waiting.add("new", 1, 900);
      waiting.add("returned", 1, 400);
      assertEquals(waiting.add("urgent", 0, 2000), Optional.empty());
      assertEquals(waiting.inOrder(), List.of("urgent", "returned", "new"));
      assertEquals(waiting.add("late", 0, 3000), Optional.of("new"));
      assertEquals(waiting.add("least", 5, 1), Optional.of("least"));
      assertTrue(waiting.remove("returned"));
      assertFalse(waiting.remove("returned"));
      assertEquals(waiting.size(), 2);
    }

    @Test
    public void nothingWaitsIfItIsTurnedOff() {
      assertEquals(new WaitingRequests<String>(0).add("a", 0, 1), Optional.of("a"));
    }
  }

  /** Guards against requests that are offered again and again to an upstream that is full. */
  public static class Full {
    // 111 hosts offer a request each to an upstream that is full for two seconds.
    @Test
    public void fewRequestsReachAFullUpstream() {
      SplittableRandom random = new SplittableRandom(3);
      int offers = 0;
      for (int host = 0; host < 111; host++) {
        FullUpstreams full = new FullUpstreams();
        for (long now = 0; now < 2000 * MILLI; now += 20 * MILLI) {
          if (!full.full("a", now)) {
            full.recordOffer("a", now);
            full.recordFull("a", random.nextDouble(), now);
            offers++;
          }
        }
      }
      assertTrue(offers < 8 * 111, offers + " offers; 11,100 without a pause");
    }

    @Test
    public void oneRequestFindsOutWhetherThereIsRoom() {
      FullUpstreams full = new FullUpstreams();
      full.recordFull("a", 0.5, 0);
      assertTrue(full.full("a", 40 * MILLI));
      assertFalse(full.full("a", 60 * MILLI));
      full.recordOffer("a", 60 * MILLI);
      assertTrue(full.full("a", 61 * MILLI));
      full.recordRoom("a");
      assertFalse(full.full("a", 61 * MILLI));
      assertEquals(full.nanosUntilRoom(List.of(), 0), 0);
    }
  }

  /** Guards against rejected callers who all return at once, or who are told to return too late. */
  public static class Return {
    @Test
    public void returnsAreSpreadOverTheTimeOfTheRoom() {
      SplittableRandom random = new SplittableRandom(4);
      double[] millis =
          DoubleStream.generate(
                  () -> RetryAfterEstimate.millis(100, 3, 500, 20_000, random.nextDouble()))
              .limit(1000)
              .sorted()
              .toArray();
      assertTrue(millis[0] >= 100 && millis[999] <= 2100);
      assertTrue(millis[500] > 900 && millis[500] < 1300, "median " + millis[500]);
    }

    @Test
    public void callersAreGivenAtMostAThirdOfTheirTime() {
      assertEquals(RetryAfterEstimate.millis(5000, 9, 5000, 900, 0.9), 300, 1);
      assertEquals(RetryAfterEstimate.millis(5000, 9, 5000, -5, 0.9), 0, 0);
    }
  }

  /** Guards against estimates from times that are long past. */
  public static class Times {
    @Test
    public void quantilesFollowTheLoad() {
      FirstEventTimes times = new FirstEventTimes();
      for (int i = 1; i <= 10; i++) {
        times.record("s", 100 * i, i * MILLI);
      }
      assertEquals(times.quantile("s", 0.9, 11 * MILLI), 900);
      assertEquals(times.quantile("s", 0.1, 11 * MILLI), 100);
      assertEquals(times.quantile("s", 0.9, 6000 * MILLI), 0, "no recent time");
      assertEquals(times.quantile("other", 0.9, 0), 0);
    }
  }
}
