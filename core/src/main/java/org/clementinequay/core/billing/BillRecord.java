package org.clementinequay.core.billing;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.clementinequay.core.Outcome;
import org.clementinequay.core.RequestId;

/**
 * What one request is billed. There is one record per request, whatever number of attempts it took.
 *
 * @param id identity of the request
 * @param account name of the client account
 * @param requestClass name of the request class
 * @param model model, cascade or route that the caller asked for
 * @param outcome what is known about the execution
 * @param finishedAt wall-clock time of the entry host at the end, to the millisecond
 * @param attempts all attempts in order, also those that were cancelled or failed
 */
public record BillRecord(
    RequestId id,
    String account,
    String requestClass,
    String model,
    Outcome outcome,
    Instant finishedAt,
    List<BilledAttempt> attempts) {
  private static final String SEPARATOR = "\t";
  private static final String FORM = "1";
  private static final int FIXED_PARTS = 7;

  /** Copies the list and drops what is finer than the stored form. */
  public BillRecord {
    attempts = List.copyOf(attempts);
    finishedAt = Instant.ofEpochMilli(finishedAt.toEpochMilli());
  }

  /** Returns the price of all attempts, in millionths of the billing unit. */
  public long costMicros() {
    return attempts.stream().mapToLong(BilledAttempt::costMicros).sum();
  }

  /** Returns the stored form: one line of fields separated by tabs, then the attempts. */
  public String toLine() {
    List<String> parts = new ArrayList<>();
    parts.add(FORM);
    parts.add(id.toString());
    parts.add(escape(account));
    parts.add(escape(requestClass));
    parts.add(escape(model));
    parts.add(outcome.label());
    parts.add(Long.toString(finishedAt.toEpochMilli()));
    attempts.forEach(attempt -> parts.add(attempt.encode()));
    return String.join(SEPARATOR, parts);
  }

  /**
   * Parses the stored form.
   *
   * @throws IllegalArgumentException if the line is not of that form
   */
  public static BillRecord parse(String line) {
    String[] parts = line.split(SEPARATOR, -1);
    if (parts.length < FIXED_PARTS || !parts[0].equals(FORM)) {
      throw new IllegalArgumentException("not a bill record: " + line);
    }
    return new BillRecord(
        RequestId.parse(parts[1]),
        unescape(parts[2]),
        unescape(parts[3]),
        unescape(parts[4]),
        Outcome.ofLabel(parts[5]),
        Instant.ofEpochMilli(Long.parseLong(parts[6])),
        Arrays.stream(parts).skip(FIXED_PARTS).map(BilledAttempt::parse).toList());
  }

  static String escape(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  static String unescape(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }
}
