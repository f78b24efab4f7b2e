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
 * The billing record of one request. Each request has one record, regardless of its attempts.
 *
 * @param id id of the request
 * @param account name of the client account
 * @param requestClass name of the request class
 * @param model model, cascade or route that the caller asked for
 * @param outcome whether the request was executed, as far as is known
 * @param finishedAt end of the request by the wall clock of the entry host, in whole milliseconds
 * @param attempts all attempts in order, including cancelled and failed ones
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
  private static final String FORMAT_VERSION = "1";
  private static final int REQUEST_FIELDS = 7;

  /** Copies the list and truncates the time to milliseconds, the precision of the stored form. */
  public BillRecord {
    attempts = List.copyOf(attempts);
    finishedAt = Instant.ofEpochMilli(finishedAt.toEpochMilli());
  }

  /** Returns the total price of all attempts, in millionths of the billing unit. */
  public long costMicros() {
    return attempts.stream().mapToLong(BilledAttempt::costMicros).sum();
  }

  /** Returns the stored form: one line of tab-separated fields, with one field per attempt last. */
  public String toLine() {
    List<String> fields = new ArrayList<>();
    fields.add(FORMAT_VERSION);
    fields.add(id.toString());
    fields.add(escape(account));
    fields.add(escape(requestClass));
    fields.add(escape(model));
    fields.add(outcome.label());
    fields.add(Long.toString(finishedAt.toEpochMilli()));
    attempts.forEach(attempt -> fields.add(attempt.encode()));
    return String.join(SEPARATOR, fields);
  }

  /**
   * Parses the stored form.
   *
   * @throws IllegalArgumentException if the line does not have that form
   */
  public static BillRecord parse(String line) {
    String[] fields = line.split(SEPARATOR, -1);
    if (fields.length < REQUEST_FIELDS || !fields[0].equals(FORMAT_VERSION)) {
      throw new IllegalArgumentException("invalid bill record: " + line);
    }
    return new BillRecord(
        RequestId.parse(fields[1]),
        unescape(fields[2]),
        unescape(fields[3]),
        unescape(fields[4]),
        Outcome.ofLabel(fields[5]),
        Instant.ofEpochMilli(Long.parseLong(fields[6])),
        Arrays.stream(fields).skip(REQUEST_FIELDS).map(BilledAttempt::parse).toList());
  }

  static String escape(String text) {
    return URLEncoder.encode(text, StandardCharsets.UTF_8);
  }

  static String unescape(String text) {
    return URLDecoder.decode(text, StandardCharsets.UTF_8);
  }
}
