package org.clementinequay.core.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.clementinequay.core.admission.AccountShares.AccountSum;
import org.clementinequay.core.admission.AccountShares.Report;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against accounts that take the room of others, and against shares without contention. */
public class AccountSharesTest {
  private static final long SECOND = 1_000_000_000L;

  private static AccountShares newShares() {
    AccountShares shares = new AccountShares();
    shares.activate(true);
    return shares;
  }

  private static void record(AccountShares shares, String account, int requests, long now) {
    for (int i = 0; i < requests; i++) {
      shares.recordRequest(account, 100, now);
    }
  }

  private static Report report(boolean full, double served, AccountSum... sums) {
    return new Report(full, served, false, Arrays.asList(sums));
  }

  /** Callers of 24 accounts at engines that serve the most urgent request first. */
  private static final class Siege {
    private static final int SEEDS = 5;
    private static final int ACCOUNTS = 24;
    private static final int DOMAINS = 3;
    private static final double REQUESTS_PER_SECOND = 60;
    private static final double WORK_MILLIS = 100;
    private static final double USUAL_LOAD = 0.85;
    private static final long STEP = SECOND / 20;
    private static final long OBJECTIVE = SECOND;
    private static final long TIME_LIMIT = 3 * SECOND;
    private static final long SURGE_START = 8 * SECOND;
    private static final long SURGE_END = 18 * SECOND;

    private SplittableRandom random;
    private final List<AccountShares> hosts = new ArrayList<>();
    private final List<Request> queue = new ArrayList<>();
    private final boolean shared;
    private double room;
    private int othersSent;
    private int othersInTime;
    private int hotServed;
    private int served;
    private int othersOver;
    private int hotAfter;
    private int hotOverAfter;

    private record Request(int account, int host, int urgency, long sentNanos, int repeats) {}

    private Siege(int hostCount, boolean shared) {
      this.shared = shared;
      for (int seed = 1; seed <= SEEDS; seed++) {
        random = new SplittableRandom(seed);
        hosts.clear();
        queue.clear();
        for (int i = 0; i < hostCount; i++) {
          hosts.add(newShares());
        }
        run();
      }
    }

    private void run() {
      for (long now = 0; now < 38 * SECOND; now += STEP) {
        boolean surge = now >= SURGE_START && now < SURGE_END;
        for (int account = 0; account < ACCOUNTS; account++) {
          double usual = (1.5 - account % 3 * 0.5) / ACCOUNTS * REQUESTS_PER_SECOND;
          double expected = usual * (surge && account == 0 ? 7.5 : 1) * STEP / SECOND;
          for (; random.nextDouble() < expected; expected--) {
            send(account, account < 2 ? 2 : 0, now);
          }
        }
        serve(now);
        if (now % SECOND == 0) {
          exchange(now);
        }
      }
    }

    private void send(int account, int repeats, long now) {
      // Traffic is uneven: the last hosts get few requests.
      int host = (int) (hosts.size() * random.nextDouble() * random.nextDouble());
      AccountShares shares = hosts.get(host);
      shares.recordRequest("a" + account, WORK_MILLIS, now);
      boolean over = shared && shares.exceedsShare("a" + account, now);
      othersOver += over && account > 1 ? 1 : 0;
      boolean afterSurge = now >= SURGE_END + 10 * SECOND;
      hotAfter += afterSurge && account == 0 ? 1 : 0;
      hotOverAfter += afterSurge && account == 0 && over ? 1 : 0;
      queue.add(new Request(account, host, over ? 9 : 4, now, repeats));
      othersSent += inSurge(now) && account != 0 ? 1 : 0;
    }

    private void serve(long now) {
      room = Math.min(WORK_MILLIS, room);
      room += REQUESTS_PER_SECOND * WORK_MILLIS / USUAL_LOAD * STEP / SECOND;
      queue.sort(Comparator.comparingInt(Request::urgency).thenComparing(Request::sentNanos));
      while (room >= WORK_MILLIS && !queue.isEmpty()) {
        room -= WORK_MILLIS;
        Request request = queue.remove(0);
        boolean late = now - request.sentNanos >= OBJECTIVE;
        hosts.get(request.host).recordServed(WORK_MILLIS, now);
        // A median does not show the few answers that come last.
        if (request.urgency == 4 && now - request.sentNanos > OBJECTIVE / 2) {
          hosts.get(request.host).recordContention(now);
        }
        served += inSurge(now) ? 1 : 0;
        hotServed += inSurge(request.sentNanos) && request.account == 0 ? 1 : 0;
        othersInTime += inSurge(request.sentNanos) && request.account != 0 && !late ? 1 : 0;
      }
      List<Request> expired = new ArrayList<>(queue);
      expired.removeIf(request -> now - request.sentNanos < TIME_LIMIT);
      queue.removeAll(expired);
      // Some callers repeat at once, twice, as new requests to any host.
      expired.stream()
          .filter(request -> request.repeats > 0)
          .forEach(request -> send(request.account, request.repeats - 1, now));
    }

    /** Returns whether the surge is on and the hosts had some seconds to see it. */
    private static boolean inSurge(long nanos) {
      return nanos >= SURGE_START + 3 * SECOND && nanos < SURGE_END;
    }

    private void exchange(long now) {
      for (int i = 0; i < hosts.size(); i++) {
        Report report = hosts.get(i).takeReport(now % (8 * SECOND) == 0, now);
        for (int j = i % DOMAINS; j < hosts.size(); j += DOMAINS) {
          if (j != i) {
            hosts.get(j).merge("h" + i, report, now);
          }
        }
      }
    }

    private double inTime() {
      return (double) othersInTime / othersSent;
    }
  }

  @DataProvider
  public Object[][] sizes() {
    return new Object[][] {{9}, {111}, {300}};
  }

  @Test(dataProvider = "sizes")
  public void aSurgeOfOneAccountLeavesTheOthersTheirRoom(int hostCount) {
    Siege before = new Siege(hostCount, false);
    Siege after = new Siege(hostCount, true);

    String figures =
        "%d hosts: others in time %.2f, %.2f with shares; served %d, %d; hot %d, %d; others over %d; hot over after %d of %d"
            .formatted(
                hostCount,
                before.inTime(),
                after.inTime(),
                before.served,
                after.served,
                before.hotServed,
                after.hotServed,
                after.othersOver,
                after.hotOverAfter,
                after.hotAfter);
    assertTrue(before.inTime() < 0.5, figures);
    assertTrue(after.inTime() > 0.8, figures);
    assertTrue(after.served >= 0.98 * before.served, figures);
    assertTrue(after.hotServed > 0, figures);
    assertTrue(after.othersOver < 0.05 * after.othersSent, figures);
    assertTrue(after.hotOverAfter <= 0.1 * after.hotAfter, figures);
  }

  @Test
  public void unusedRoomIsLentAndTakenBack() {
    AccountShares shares = newShares();
    record(shares, "hot", 40, 0);
    record(shares, "small", 4, 0);
    shares.recordServed(2000, 0);
    assertFalse(shares.exceedsShare("hot", 0), "without contention");

    long contended = SECOND;
    shares.recordContention(contended);
    assertTrue(shares.exceedsShare("hot", contended));
    assertFalse(shares.exceedsShare("small", contended));
    assertEquals(shares.accountsOverShare(contended), 1);

    assertFalse(shares.exceedsShare("hot", contended + AccountShares.CONTENTION_NANOS));
  }

  @Test
  public void aloneAnAccountHasAllRoom() {
    AccountShares shares = newShares();
    record(shares, "hot", 40, 0);
    shares.recordContention(0);
    assertFalse(shares.exceedsShare("hot", 0));
  }

  @Test
  public void aHostThatIsCutOffForgetsTheOthers() {
    AccountShares shares = newShares();
    shares.merge("near", report(true, 100, new AccountSum("hot", 9000, 90)), 0);
    record(shares, "hot", 5, 0);
    record(shares, "small", 5, 0);
    shares.recordContention(0);
    assertTrue(shares.exceedsShare("hot", 0));

    shares.remove("near");
    assertFalse(shares.exceedsShare("hot", 0), "removed");

    shares.merge("near", report(true, 100, new AccountSum("hot", 9000, 90)), 0);
    long expired = AccountShares.EXPIRY_NANOS;
    record(shares, "hot", 5, expired);
    record(shares, "small", 5, expired);
    shares.recordContention(expired);
    assertFalse(shares.exceedsShare("hot", expired), "expired");
    record(shares, "hot", 60, expired);
    assertTrue(shares.exceedsShare("hot", expired + SECOND), "by its own view");
  }

  @Test
  public void valuesThatMakeNoSenseAreIgnored() {
    AccountShares shares = newShares();
    record(shares, "small", 5, 0);
    shares.recordContention(0);
    Report bad =
        report(
            false,
            Double.NaN,
            null,
            new AccountSum(null, 1, 1),
            new AccountSum("x".repeat(1000), 1, 1),
            new AccountSum("small", -1, 5),
            new AccountSum("small", 1e300, 5),
            new AccountSum("small", Double.NaN, 5),
            new AccountSum("small", 9000, Integer.MAX_VALUE));
    assertEquals(shares.merge("near", bad, 0), 8);
    record(shares, "other", 5, 0);
    assertEquals(shares.accountsOverShare(0), 0);
  }

  @Test
  public void aReportHasTheLargestAccountsAndThenOnlyChanges() {
    AccountShares shares = newShares();
    for (int i = 0; i <= AccountShares.MAX_ACCOUNTS; i++) {
      shares.recordRequest("a" + i, 100 + i, 0);
    }
    List<AccountSum> first = shares.takeReport(true, 0).accounts();
    assertEquals(first.size(), AccountShares.MAX_ACCOUNTS);
    assertFalse(first.stream().anyMatch(sum -> sum.account().equals("a0")));

    List<AccountSum> second = shares.takeReport(false, 0).accounts();
    assertEquals(second, List.of(new AccountSum("a0", 100, 1)));
    assertEquals(shares.takeReport(false, 6 * SECOND).accounts().size(), 257 - 1);
  }
}
