package org.clementinequay.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides which client accounts are beyond their share of the engines. Load: callers compete for
 * too little room, one account sends many times its usual for some seconds, and some callers repeat
 * at once. Each host sees only a hundredth of that, so the hosts of a failure domain exchange sums.
 *
 * <p>Demand is the work of the requests of the last seconds, repeats included; room is the work
 * that engines began to answer. Shares are max-min fair (Bertsekas and Gallager, Data Networks, 2nd
 * edition, 6.5.2), so that what an account leaves is lent to the others. Without contention nobody
 * is beyond its share. What a source reported counts less the longer nothing more was heard of it;
 * a host that hears nobody decides by its own requests. Thread-safe.
 */
public final class AccountShares {
  /** Accounts that a report has at most. */
  public static final int MAX_ACCOUNTS = 256;

  /** Accounts of this host; requests of further ones are not counted. */
  private static final int MAX_OWN_ACCOUNTS = 4096;

  /** Time after a sign of contention in which it holds, in nanoseconds. */
  static final long CONTENTION_NANOS = 2_000_000_000L;

  /** Age of a report up to which it counts in full, in nanoseconds. */
  static final long FRESH_NANOS = 2_000_000_000L;

  /** Age of a report from which it does not count, in nanoseconds. */
  static final long EXPIRY_NANOS = 6_000_000_000L;

  /** Factor above its share up to which an account is not beyond it. */
  private static final double MARGIN = 1.25;

  /** Standard deviations of the sum of few requests that are added to the share. */
  private static final double DEVIATIONS = 2;

  /** Requests below which an account is not beyond its share; one may be a large one. */
  private static final double MIN_REQUESTS = 4;

  /** Share of the hosts heard whose contention is that of the domain. */
  private static final double CONTENDED_HOSTS = 0.1;

  /** Work that one source can have for an account, in engine milliseconds. */
  private static final double MAX_WORK_MILLIS = 1e7;

  private static final long LOG_INTERVAL_NANOS = 1_000_000_000L;
  private static final int MAX_REQUESTS = 1_000_000;
  private static final int MAX_NAME_LENGTH = 256;
  private static final int MAX_SOURCES = 1024;

  /** Change of the work from which an account is reported again. */
  private static final double REPORTED_CHANGE = 0.1;

  /** Age from which the shares are computed again, in nanoseconds. */
  private static final long STATE_NANOS = 200_000_000L;

  private final Map<String, WorkWindow> own = new HashMap<>();
  private final WorkWindow served = new WorkWindow();
  private final Map<String, Source> sources = new HashMap<>();
  private final Map<String, AccountSum> reported = new HashMap<>();
  private final Map<String, Long> logged = new HashMap<>();
  private boolean active;
  private boolean contentionSeen;
  private long contentionNanos;
  private State state;

  /**
   * Demand of one account in the last seconds.
   *
   * @param workMillis work of its requests in engine milliseconds
   */
  public record AccountSum(String account, double workMillis, int requests) {
    private boolean isValid() {
      return account != null
          && account.length() <= MAX_NAME_LENGTH
          && isWork(workMillis)
          && requests >= 0
          && requests <= MAX_REQUESTS;
    }

    private boolean differsFrom(AccountSum earlier) {
      double before = earlier == null ? 0 : earlier.workMillis;
      return Math.abs(workMillis - before) > REPORTED_CHANGE * before;
    }
  }

  /**
   * What one host tells the others.
   *
   * @param full whether accounts that are missing have no demand
   * @param servedMillis work that engines began to answer in the last seconds
   * @param contended whether the host saw contention itself
   */
  public record Report(
      boolean full, double servedMillis, boolean contended, List<AccountSum> accounts) {}

  private record Demand(double workMillis, double requests) {
    private Demand plus(Demand other) {
      return new Demand(workMillis + other.workMillis, requests + other.requests);
    }
  }

  private record State(
      long nanos, boolean contended, Map<String, Demand> demand, double boundMillis) {
    private boolean exceeds(String account) {
      Demand sum = demand.get(account);
      return contended
          && sum != null
          && sum.requests >= MIN_REQUESTS
          && sum.workMillis > boundMillis;
    }
  }

  private static final class Source {
    private final Map<String, AccountSum> sums = new HashMap<>();
    private double servedMillis;
    private boolean contended;
    private long heardNanos;

    private double weight(long nowNanos) {
      double left = (double) (EXPIRY_NANOS - (nowNanos - heardNanos));
      return Math.max(0, Math.min(1, left / (EXPIRY_NANOS - FRESH_NANOS)));
    }
  }

  private static boolean isWork(double millis) {
    return millis >= 0 && millis <= MAX_WORK_MILLIS;
  }

  /** Switches the decision on or off; while it is off nothing is kept. */
  public synchronized void activate(boolean value) {
    if (active && !value) {
      own.clear();
      sources.clear();
      reported.clear();
    }
    active = value;
    state = null;
  }

  /** Returns whether the decision is switched on. */
  public synchronized boolean active() {
    return active;
  }

  /** Records a request that an account sent, whether it is sent to an engine or not. */
  public synchronized void recordRequest(String account, double workMillis, long nowNanos) {
    if (!active || !isWork(workMillis)) {
      return;
    }
    if (!own.containsKey(account) && own.size() >= MAX_OWN_ACCOUNTS) {
      own.values().removeIf(window -> window.requests(nowNanos) == 0);
    }
    if (own.containsKey(account) || own.size() < MAX_OWN_ACCOUNTS) {
      own.computeIfAbsent(account, a -> new WorkWindow()).add(workMillis, nowNanos);
    }
  }

  /** Records work that an engine began to answer. */
  public synchronized void recordServed(double workMillis, long nowNanos) {
    if (active && isWork(workMillis)) {
      served.add(workMillis, nowNanos);
    }
  }

  /** Records that this host saw an engine that was full, or answers that were late. */
  public synchronized void recordContention(long nowNanos) {
    contentionSeen = true;
    contentionNanos = nowNanos;
  }

  /** Returns whether requests of an account are beyond its share now. */
  public synchronized boolean exceedsShare(String account, long nowNanos) {
    return active && state(nowNanos).exceeds(account);
  }

  /** Returns whether a log line about an account is due; at most one a second is. */
  public synchronized boolean tryLog(String account, long nowNanos) {
    Long last = logged.get(account);
    if (last != null && nowNanos - last < LOG_INTERVAL_NANOS) {
      return false;
    }
    logged.values().removeIf(nanos -> nowNanos - nanos >= LOG_INTERVAL_NANOS);
    logged.put(account, nowNanos);
    return true;
  }

  /** Returns the number of accounts that are beyond their share. */
  public synchronized int accountsOverShare(long nowNanos) {
    if (!active) {
      return 0;
    }
    State now = state(nowNanos);
    return (int) now.demand.keySet().stream().filter(now::exceeds).count();
  }

  /**
   * Returns what a message to the peers contains; of too many accounts those with most work.
   *
   * @param full whether accounts without a change are included
   */
  public synchronized Report takeReport(boolean full, long nowNanos) {
    if (full) {
      reported.clear();
    }
    List<AccountSum> sums = new ArrayList<>();
    own.forEach((account, window) -> sums.add(window.sum(account, nowNanos)));
    own.values().removeIf(window -> window.requests(nowNanos) == 0);
    sums.removeIf(sum -> !sum.differsFrom(reported.get(sum.account)));
    sums.sort(Comparator.comparingDouble(AccountSum::workMillis).reversed());
    List<AccountSum> largest = List.copyOf(sums.subList(0, Math.min(MAX_ACCOUNTS, sums.size())));
    largest.forEach(sum -> reported.put(sum.account, sum));
    reported.values().removeIf(sum -> sum.workMillis == 0);
    return new Report(full, served.workMillis(nowNanos), seesContention(nowNanos), largest);
  }

  /** Merges the report of a host; parts that make no sense are ignored. Returns their number. */
  public synchronized int merge(String host, Report report, long nowNanos) {
    if (!active || sources.size() >= MAX_SOURCES && !sources.containsKey(host)) {
      return 0;
    }
    Source source = sources.computeIfAbsent(host, h -> new Source());
    source.heardNanos = nowNanos;
    source.contended = report.contended();
    if (report.full()) {
      source.sums.clear();
    }
    int invalid = 0;
    if (isWork(report.servedMillis())) {
      source.servedMillis = report.servedMillis();
    } else {
      source.servedMillis = 0;
      invalid++;
    }
    for (AccountSum sum : report.accounts()) {
      if (sum == null || !sum.isValid()) {
        invalid++;
      } else if (sum.workMillis == 0) {
        source.sums.remove(sum.account);
      } else if (source.sums.size() < MAX_ACCOUNTS || source.sums.containsKey(sum.account)) {
        source.sums.put(sum.account, sum);
      }
    }
    return invalid;
  }

  /** Removes what a host reported, because its process ended or its link is down. */
  public synchronized void remove(String host) {
    sources.remove(host);
    state = null;
  }

  private State state(long nowNanos) {
    if (state == null || nowNanos - state.nanos >= STATE_NANOS) {
      state = newState(nowNanos);
    }
    return state;
  }

  private State newState(long nowNanos) {
    sources.values().removeIf(source -> source.weight(nowNanos) == 0);
    Map<String, Demand> demand = new HashMap<>();
    own.forEach(
        (account, window) ->
            demand.put(
                account, new Demand(window.workMillis(nowNanos), window.requests(nowNanos))));
    double room = served.workMillis(nowNanos);
    double contended = 0;
    double heard = 0;
    for (Source source : sources.values()) {
      double weight = source.weight(nowNanos);
      heard += weight;
      contended += source.contended ? weight : 0;
      room += weight * source.servedMillis;
      for (AccountSum sum : source.sums.values()) {
        demand.merge(
            sum.account, new Demand(weight * sum.workMillis, weight * sum.requests), Demand::plus);
      }
    }
    demand.values().removeIf(sum -> sum.workMillis <= 0);
    boolean contention =
        seesContention(nowNanos) || contended > 0 && contended >= CONTENDED_HOSTS * heard;
    return new State(nowNanos, contention, demand, boundMillis(demand, room));
  }

  private boolean seesContention(long nowNanos) {
    return contentionSeen && nowNanos - contentionNanos < CONTENTION_NANOS;
  }

  /** Returns the work from which an account is beyond its share. */
  private static double boundMillis(Map<String, Demand> demand, double roomMillis) {
    Demand total = demand.values().stream().reduce(new Demand(0, 0), Demand::plus);
    double share =
        MaxMinShare.largest(
            demand.values().stream().mapToDouble(Demand::workMillis).toArray(), roomMillis);
    double meanMillis = total.workMillis / Math.max(1, total.requests);
    return MARGIN * share + DEVIATIONS * Math.sqrt(share * meanMillis);
  }
}
